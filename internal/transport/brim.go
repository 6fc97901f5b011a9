package transport

import "time"

// brim measures how fast a full socket takes bytes, from when it was full first.
// Once begun, a piece can't be passed by what is urgent: on a slow link a whole
// one would hold that up for as long as all that the socket holds.
type brim struct {
	full, from, last time.Duration // it was full first, and bytes are counted from and until
	bytes            float64
}

// fills notes that the socket is full.
func (s *brim) fills(now time.Duration) {
	if s.full == 0 {
		s.full, s.from, s.last = now, now, now
	}
}

// took notes bytes that were taken. What is older than the patience counts less
// and less, since others come and go on the way.
func (s *brim) took(n int, now, patience time.Duration) {
	if s.full == 0 {
		return
	}
	s.bytes += float64(n)
	if s.last = now; now-s.from > patience {
		s.from, s.bytes = now-(now-s.from)/2, s.bytes/2
	}
}

// piece is how much of a body goes at once, so that it takes no longer than a
// time: a whole piece where that isn't known, the shortest step at the least.
func (s *brim) piece(long time.Duration) int {
	if s.last == s.from {
		return piece
	}
	n := s.bytes / float64(s.last-s.from) * float64(long)
	return int(max(short, min(n, piece)))
}
