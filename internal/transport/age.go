package transport

import "time"

// slack is how much two steady clocks may differ, as a part of the time that
// passed: twice what the kernel slews a clock by at most.
const slack = 1000

// age tells how long frames were under way beyond what is usual on a link.
// The clocks of both ends have no common start, so only the differences
// between coming and sending are compared; the hellos are the first.
type age struct {
	least time.Duration // the least difference seen
	at    time.Duration // when it was looked at last
}

// of gives the age of a frame that was sent and came at these times, each by
// its own end's clock since the hello. The least difference rises by the
// slack, else a link that stands for days would make all its frames look old.
func (a *age) of(sent, came time.Duration) time.Duration {
	if gone := came - a.at; gone > 0 {
		a.least += gone / slack
		a.at = came
	}
	a.least = min(a.least, came-sent)
	return came - sent - a.least
}

// date sets when the time of a fellow's call is used up, in the node's
// monotonic time. What waited in a socket, behind a cut or before a process
// that stood still, has used up some on its way.
func (l *link) date(f *frame) {
	came := time.Duration(l.conn.seen.Load())
	f.end = came + time.Duration(min(f.left, int64(longest/time.Millisecond)))*time.Millisecond
	// Fellows of before don't say when they sent.
	if f.at > 0 {
		sent := time.Duration(min(f.at-1, int64(longest/time.Millisecond))) * time.Millisecond
		f.end -= l.conn.age.of(sent, came-l.conn.heard)
	}
}
