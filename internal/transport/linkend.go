package transport

import "puffincrank/internal/event"

// endReason is why this end closed a link.
type endReason string

// The reasons, as they are logged.
const (
	endReading   endReason = "the other end closed it, or reading failed"
	endWriting   endReason = "writing failed"
	endFrames    endReason = "a frame broke the rules"
	endSilent    endReason = "nothing came in under calls, not even after a ping"
	endSuspected endReason = "it had been silent, and new calls went another way"
	endUnused    endReason = "more links than the bound, and nothing under way"
	endStopping  endReason = "this process ends"
)

// endLogDivisor sets the interval, as a fraction of the silence timeout, in which at most
// one ended link is logged; the next log line counts those that were left out.
const endLogDivisor = 16

// logEnd logs a link that ended with calls in progress: how many calls of this node wait
// for responses, and how many of the peer's calls, of the kinds that are canceled with
// their callers, are being handled here.
func (l *link) logEnd(reason endReason, waiting, serving int) {
	if reason == endStopping || waiting+serving == 0 {
		return
	}
	l.node.endLog.Emit(l.node.env.Log, event.LinkEnded, "fellow", l.peer.Node, "why", string(reason), "waiting", waiting, "serving", serving)
}
