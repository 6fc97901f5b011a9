package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/grace"
	"puffincrank/internal/session"
	"puffincrank/internal/wire"
)

// What ended a request that may have run and did not get its worker's answer.
const (
	endedByCaller    = "caller"     // it closed its connection
	endedByStop      = "stop"       // this node was told to end
	endedByDeadline  = "deadline"   // the caller's time was up
	endedByRouteTime = "route-time" // the route's time was up
	endedByAttempt   = "attempt"    // the time of an attempt was up, before that of the request
	endedByLink      = "link"       // the link to the owner ended
	endedByWorker    = "worker"     // the worker's connection ended, or its answer was wrong
)

// unansweredInStop bounds the log lines of one stop; the trail holds the rest.
const unansweredInStop = 64

// stopLines counts the lines that were written since this node was told to end.
type stopLines struct{ written atomic.Int64 }

// allow tells whether one more line may be written.
func (s *stopLines) allow() bool { return s.written.Add(1) <= unansweredInStop }

// noteUnanswered tells of a request that may have run and that ends without its
// worker's answer: by which bound, how long after the order to end, and at which
// worker it was. One line a beat with a count of the others; after the order to
// end each one, up to a bound. The trail has all of them.
func (x *Proxy) noteUnanswered(ctx context.Context, j *job) {
	if j.back.Kind == session.Done || j.unknown == nil {
		return
	}
	by := x.endedBy(ctx, j)
	stop := x.sinceStop()
	x.trail.add(Step{Request: j.name(), Attempt: j.id, Step: stepUnanswered, Worker: j.entry.Worker, Why: by + ": " + j.unknown.Why})
	pairs := []any{"request", j.name(), "path", j.path.Name, "by", by, "why", j.unknown.Why, "worker", j.entry.Worker, "owner", j.entry.Owner,
		"held_ms", time.Since(j.from).Milliseconds(), "stop_ms", stop.Milliseconds()}
	if stop < 0 {
		x.unanswered.Emit(x.e.Log, event.Unanswered, pairs...)
	} else if x.stopLines.allow() {
		x.e.Log.Emit(event.Unanswered, pairs...)
	}
}

// endedBy tells what ended the last attempt of a request.
func (x *Proxy) endedBy(ctx context.Context, j *job) string {
	switch {
	case wire.Abandoned(ctx):
		return endedByCaller
	case grace.IsLate(ctx):
		return endedByStop
	case !time.Now().Before(j.end):
		if j.due.IsZero() || j.end.Before(j.due) {
			return endedByRouteTime
		}
		return endedByDeadline
	case j.unknown.Late:
		return endedByAttempt
	case j.unknown.Why == noReceipt:
		return endedByLink
	}
	return endedByWorker
}

// sinceStop is how long ago this node was told to end; negative if it was not.
func (x *Proxy) sinceStop() time.Duration {
	plan := x.stop.Load()
	if plan == nil {
		return -time.Millisecond
	}
	return plan.Since()
}
