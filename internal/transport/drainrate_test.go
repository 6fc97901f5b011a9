package transport

import (
	"testing"
	"time"
)

// TestBrim: a piece is whole until the socket was full, and on a quick link; on a
// slow one it takes no longer than is put up with. It follows a link that turns
// slow or quick within a few patiences.
func TestBrim(t *testing.T) {
	const patience, long = 500 * time.Millisecond, 30 * time.Millisecond
	now := time.Second
	var s drainRate
	s.recordWrite(3*maxChunk, now, patience)
	if n := s.chunkSize(long); n != maxChunk {
		t.Errorf("a piece of %d before the socket was full", n)
	}
	s.socketFull(now)
	for _, c := range []struct{ speed, least, most int }{
		{125_000, 3000, 4500}, {1000, minStep, minStep}, {100_000_000, maxChunk, maxChunk}, {125_000, 3000, 4500}, {250_000, 6500, 8000},
	} {
		// A socket wakes its writer when it has room for some.
		for range 8 * patience / long {
			now += long
			s.socketFull(now)
			s.recordWrite(int(float64(c.speed)*long.Seconds()), now, patience)
		}
		if n := s.chunkSize(long); n < c.least || n > c.most {
			t.Errorf("at %d bytes a second a piece of %d", c.speed, n)
		}
	}
}
