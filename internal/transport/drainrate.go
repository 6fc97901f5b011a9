package transport

import "time"

// drainRate measures how fast a full socket takes bytes, from when it was full first.
// Once begun, a piece can't be passed by what is urgent: on a slow link a whole
// one would hold that up for as long as all that the socket holds.
type drainRate struct {
	fullSince, windowStart, lastWrite time.Duration // it was full first, and bytes are counted from and until
	bytes                             float64
}

// socketFull notes that the socket is full.
func (s *drainRate) socketFull(now time.Duration) {
	if s.fullSince == 0 {
		s.fullSince, s.windowStart, s.lastWrite = now, now, now
	}
}

// recordWrite notes bytes that were taken. What is older than the patience counts less
// and less, since others come and go on the way.
func (s *drainRate) recordWrite(n int, now, silenceTimeout time.Duration) {
	if s.fullSince == 0 {
		return
	}
	s.bytes += float64(n)
	if s.lastWrite = now; now-s.windowStart > silenceTimeout {
		s.windowStart, s.bytes = now-(now-s.windowStart)/2, s.bytes/2
	}
}

// chunkSize is how much of a body goes at once, so that it takes no longer than a
// time: a whole piece where that isn't known, the shortest step at the least.
func (s *drainRate) chunkSize(limit time.Duration) int {
	if s.lastWrite == s.windowStart {
		return maxChunk
	}
	n := s.bytes / float64(s.lastWrite-s.windowStart) * float64(limit)
	return int(max(minStep, min(n, maxChunk)))
}
