package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/ormap"
	"puffincrank/internal/protocol"
	"puffincrank/internal/shutdown"
	"puffincrank/internal/transport"
)

// What ended a request that may have run and did not get its worker's answer.
const (
	endedByCaller    = "caller"     // it closed its connection
	endedByStop      = "stop"       // this node was told to end
	endedByDeadline  = "deadline"   // the caller's time was up
	endedByRouteTime = "route-time" // the route's time was up
	endedByAttempt   = "attempt"    // the time of an attempt was up, before that of the request
	endedByLink      = "link"       // the link to the owner ended
	endedByOwner     = "owner"      // the node beside the worker was told to end
	endedByWorker    = "worker"     // the worker's connection ended, or its answer was wrong
)

// lostAttempt is an attempt that may have run and has no answer, with the entry of
// the worker that it was sent to.
type lostAttempt struct {
	protocol.AttemptResult
	entry ormap.Entry
}

// unansweredInStop bounds the log lines of one stop; the trail holds the rest.
const unansweredInStop = 64

// stopLines counts the lines that were written since this node was told to end.
type stopLines struct{ written atomic.Int64 }

// allow tells whether one more line may be written.
func (s *stopLines) allow() bool { return s.written.Add(1) <= unansweredInStop }

// noteUnanswered tells of a request that may have run and that ends without its
// worker's answer: by which bound, how long after the order to end of this node and
// of the one beside the worker (negative: there was none), at which worker it was
// lost, and what was said of the newest attempt after that. One line a beat with a
// count of the others; after the order to end each one, up to a bound. The trail has
// all of them.
func (x *Proxy) noteUnanswered(ctx context.Context, j *job) {
	if j.back.Outcome == protocol.Done || j.lost == nil {
		return
	}
	by := x.endedBy(ctx, j)
	stop := x.sinceStop()
	x.trail.add(Decision{Request: j.name(), Attempt: j.id, Step: stepUnanswered, Worker: j.lost.entry.Worker, Reason: by + ": " + j.lost.Reason})
	ownerStop := int64(-1)
	if j.lost.StoppingForMS > 0 {
		ownerStop = j.lost.StoppingForMS
	}
	pairs := []any{"request", j.name(), "path", j.path.Name, "by", by, "why", j.lost.Reason, "worker", j.lost.entry.Worker, "owner", j.lost.entry.Owner,
		"held_ms", time.Since(j.from).Milliseconds(), "stop_ms", stop.Milliseconds(), "owner_stop_ms", ownerStop, "sends", j.sends, "then", j.why}
	if stop < 0 {
		x.unanswered.Emit(x.e.Log, event.Unanswered, pairs...)
	} else if x.stopLines.allow() {
		x.e.Log.Emit(event.Unanswered, pairs...)
	}
}

// endedBy tells what ended the last attempt of a request.
func (x *Proxy) endedBy(ctx context.Context, j *job) string {
	switch {
	case transport.CanceledByCaller(ctx):
		return endedByCaller
	case shutdown.IsCutoff(ctx):
		return endedByStop
	case !time.Now().Before(j.end):
		if j.due.IsZero() || j.end.Before(j.due) {
			return endedByRouteTime
		}
		return endedByDeadline
	case j.lost.TimedOut:
		return endedByAttempt
	case j.lost.Reason == noReceipt:
		return endedByLink
	case j.lost.Reason == whyEnding:
		return endedByOwner
	}
	return endedByWorker
}

// sinceStop is how long ago this node was told to end; negative if it was not.
func (x *Proxy) sinceStop() time.Duration {
	plan := x.stop.Load()
	if plan == nil {
		return -time.Millisecond
	}
	return plan.Elapsed()
}
