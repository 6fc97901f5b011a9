package transport

import (
	"testing"
	"time"
)

// TestDrainRate checks that chunks have full size until the socket was full, and on a fast
// link. On a slow link a chunk takes no longer than the limit, and the size follows a
// change of the rate within a few silence timeouts.
func TestDrainRate(t *testing.T) {
	const silenceTimeout, limit = 500 * time.Millisecond, 30 * time.Millisecond
	now := time.Second
	var rate drainRate
	rate.recordWrite(3*maxChunk, now, silenceTimeout)
	if n := rate.chunkSize(limit); n != maxChunk {
		t.Errorf("chunk of %d bytes before the socket was full", n)
	}
	rate.socketFull(now)
	for _, c := range []struct{ rate, minimum, maximum int }{
		{125_000, 3000, 4500}, {1000, minStep, minStep}, {100_000_000, maxChunk, maxChunk}, {125_000, 3000, 4500}, {250_000, 6500, 8000},
	} {
		// A socket wakes its writer when it has some space.
		for range 8 * silenceTimeout / limit {
			now += limit
			rate.socketFull(now)
			rate.recordWrite(int(float64(c.rate)*limit.Seconds()), now, silenceTimeout)
		}
		if n := rate.chunkSize(limit); n < c.minimum || n > c.maximum {
			t.Errorf("at %d bytes per second a chunk of %d bytes", c.rate, n)
		}
	}
}
