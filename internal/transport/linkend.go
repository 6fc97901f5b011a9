package transport

import "puffincrank/internal/event"

// endReason tells why this end ended a link.
type endReason string

// The reasons.
const (
	endReading  endReason = "the other end closed it, or reading failed"
	endWriting  endReason = "writing failed"
	endFrames   endReason = "a frame broke the rules"
	endSilent   endReason = "nothing came in under calls, not even after a ping"
	endDoubted  endReason = "it had been silent, and new calls went another way"
	endUnused   endReason = "more links than the bound, and nothing under way"
	endStopping endReason = "this process ends"
)

// endLogDivisor is, as a divisor of the patience, the span in which one end of a link is
// logged; the next line has a count of the others.
const endLogDivisor = 16

// logEnd tells of a link that ends with calls under way: how many calls of this end
// wait for their answers, and how many of the other end, of the kinds that end with
// their caller, are at work here.
func (l *link) logEnd(reason endReason, waiting, serving int) {
	if reason == endStopping || waiting+serving == 0 {
		return
	}
	l.node.endLog.Emit(l.node.env.Log, event.LinkEnded, "fellow", l.peer.Node, "why", string(reason), "waiting", waiting, "serving", serving)
}
