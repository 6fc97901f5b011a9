package transport

import "time"

// clockDriftDivisor is how much two steady clocks may differ, as a part of the time that
// passed: twice what the kernel slews a clock by at most.
const clockDriftDivisor = 1000

// transitDelay tells how long frames were under way beyond what is usual on a link.
// The clocks of both ends have no common start, so only the differences
// between coming and sending are compared; the hellos are the first.
type transitDelay struct {
	minOffset time.Duration // the least difference seen
	updated   time.Duration // when it was looked at last
}

// excess gives the age of a frame that was sent and came at these times, each by
// its own end's clock since the hello. The least difference rises by the
// slack, else a link that stands for days would make all its frames look old.
func (a *transitDelay) excess(sent, received time.Duration) time.Duration {
	if elapsed := received - a.updated; elapsed > 0 {
		a.minOffset += elapsed / clockDriftDivisor
		a.updated = received
	}
	a.minOffset = min(a.minOffset, received-sent)
	return received - sent - a.minOffset
}

// setDeadline sets when the time of a fellow's call is used up, in the node's
// monotonic time. What waited in a socket, behind a cut or before a process
// that stood still, has used up some on its way.
func (l *link) setDeadline(f *frame) {
	received := time.Duration(l.conn.lastRead.Load())
	f.deadline = received + time.Duration(min(f.timeoutMS, int64(maxTimeout/time.Millisecond)))*time.Millisecond
	// Fellows of before don't say when they sent.
	if f.sentAtMS > 0 {
		sent := time.Duration(min(f.sentAtMS-1, int64(maxTimeout/time.Millisecond))) * time.Millisecond
		f.deadline -= l.conn.transit.excess(sent, received-l.conn.helloReceived)
	}
}
