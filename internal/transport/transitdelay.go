package transport

import "time"

// clockDriftDivisor bounds how much two clocks may drift apart, as a fraction of the
// elapsed time: twice the rate at which the kernel slews a clock at most.
const clockDriftDivisor = 1000

// transitDelay estimates how much longer than usual frames were in transit on a link. The
// clocks of both ends have no common start, so only the differences between the times of
// arrival and of sending are compared, beginning with those of the hellos.
type transitDelay struct {
	minOffset time.Duration // smallest difference observed
	updated   time.Duration
}

// excess returns by how much the transit of a frame exceeded the usual time. Both times
// count from the hello, each by the clock of its own end. The smallest difference rises
// with the possible clock drift; otherwise all frames on a link that has been open for
// days would look delayed.
func (a *transitDelay) excess(sent, received time.Duration) time.Duration {
	if elapsed := received - a.updated; elapsed > 0 {
		a.minOffset += elapsed / clockDriftDivisor
		a.updated = received
	}
	a.minOffset = min(a.minOffset, received-sent)
	return received - sent - a.minOffset
}

// setDeadline sets the deadline of a peer's call in the node's monotonic time. It
// subtracts the time by which the frame was delayed in a socket buffer, behind a partition
// or by a pause of this process.
func (l *link) setDeadline(f *frame) {
	received := time.Duration(l.conn.lastRead.Load())
	f.deadline = received + time.Duration(min(f.timeoutMS, int64(maxTimeout/time.Millisecond)))*time.Millisecond
	// Older peers do not report when they sent a frame.
	if f.sentAtMS > 0 {
		sent := time.Duration(min(f.sentAtMS-1, int64(maxTimeout/time.Millisecond))) * time.Millisecond
		f.deadline -= l.conn.transit.excess(sent, received-l.conn.helloReceived)
	}
}
