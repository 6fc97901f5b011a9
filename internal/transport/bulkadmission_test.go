package transport

import (
	"testing"
	"time"
)

// TestBulkAdmission checks that bulk is admitted if the backlog ahead of it takes at most a
// third of its remaining time and it would be delivered within half of it. A body that needs
// half by itself is admitted only when nothing is queued; otherwise it never would be.
func TestBulkAdmission(t *testing.T) {
	const rate = 100_000
	for _, c := range []struct {
		backlog, size int
		admitted      bool
	}{{0, 290_000, true}, {0, 310_000, false}, {190_000, 90_000, true}, {210_000, 10_000, false}, {190_000, 120_000, false}} {
		l := &link{node: &Node{started: time.Now(), SilenceTimeout: time.Second}, zone: &zoneScheduler{}}
		l.queue.congestion.enabled = true
		l.queue.congestion.rate = rateEstimator{bytesPerSecond: rate, lastAck: l.node.now()}
		l.queue.congestion.reserved = c.backlog
		queued := &queuedFrame{head: head{lane: LaneBulk, timeoutMS: 6000}, body: &buffer{b: make([]byte, c.size)}}
		if admitted := !l.wouldMissDeadline(queued); admitted != c.admitted {
			t.Errorf("%d bytes behind %d at %d bytes per second with 6 s left: admitted: %v", c.size, c.backlog, rate, admitted)
		}
	}
}
