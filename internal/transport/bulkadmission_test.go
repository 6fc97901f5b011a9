package transport

import (
	"testing"
	"time"
)

// TestHope: bulk is let in as long as what waits before it takes no more than a
// third of its time left, and it would be through in a half. One that needs a
// half by itself is let in where nothing waits, else it would never be.
func TestHope(t *testing.T) {
	const speed = 100_000
	for _, c := range []struct {
		waits, size int
		in          bool
	}{{0, 290_000, true}, {0, 310_000, false}, {190_000, 90_000, true}, {210_000, 10_000, false}, {190_000, 120_000, false}} {
		l := &link{node: &Node{started: time.Now(), SilenceTimeout: time.Second}, zone: &zoneScheduler{}}
		l.queue.congestion.enabled = true
		l.queue.congestion.rate = rateEstimator{bytesPerSecond: speed, lastAck: l.node.now()}
		l.queue.congestion.reserved = c.waits
		i := &queuedFrame{head: head{lane: LaneBulk, timeoutMS: 6000}, body: &buffer{b: make([]byte, c.size)}}
		if got := !l.wouldMissDeadline(i); got != c.in {
			t.Errorf("%d bytes behind %d at %d bytes a second with 6 s left: let in is %v", c.size, c.waits, speed, got)
		}
	}
}
