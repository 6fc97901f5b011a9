package transport

import "time"

// drainRate measures how fast a socket accepts bytes, starting when its buffer was first
// full. Urgent frames cannot overtake a chunk that was begun: on a slow link a chunk of
// full size would delay them as much as everything in the socket's buffer does.
type drainRate struct {
	fullSince, windowStart, lastWrite time.Duration // first time that the buffer was full, and the interval in which bytes are counted
	bytes                             float64
}

// socketFull records that the socket's buffer is full.
func (s *drainRate) socketFull(now time.Duration) {
	if s.fullSince == 0 {
		s.fullSince, s.windowStart, s.lastWrite = now, now, now
	}
}

// recordWrite records n accepted bytes. Bytes older than the silence timeout lose weight,
// because other traffic on the network path comes and goes.
func (s *drainRate) recordWrite(n int, now, silenceTimeout time.Duration) {
	if s.fullSince == 0 {
		return
	}
	s.bytes += float64(n)
	if s.lastWrite = now; now-s.windowStart > silenceTimeout {
		s.windowStart, s.bytes = now-(now-s.windowStart)/2, s.bytes/2
	}
}

// chunkSize returns how many bytes of a body to send at once so that they take no longer
// than limit: maxChunk while the rate is unknown, and at least minStep.
func (s *drainRate) chunkSize(limit time.Duration) int {
	if s.lastWrite == s.windowStart {
		return maxChunk
	}
	n := s.bytes / float64(s.lastWrite-s.windowStart) * float64(limit)
	return int(max(minStep, min(n, maxChunk)))
}
