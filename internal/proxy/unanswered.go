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

// maxStopLines bounds the log lines of one stop; the trail holds the rest.
const maxStopLines = 64

// lineLimit counts the lines that were written since this node was told to end.
type lineLimit struct{ written atomic.Int64 }

// allow tells whether one more line may be written.
func (s *lineLimit) allow() bool { return s.written.Add(1) <= maxStopLines }

// logUnanswered tells of a request that may have run and that ends without its
// worker's answer: by which bound, how long after the order to end of this node and
// of the one beside the worker (negative: there was none), at which worker it was
// lost, and what was said of the newest attempt after that. One line a beat with a
// count of the others; after the order to end each one, up to a bound. The trail has
// all of them.
func (x *Proxy) logUnanswered(ctx context.Context, req *request) {
	if req.result.Outcome == protocol.Done || req.lost == nil {
		return
	}
	endedBy := x.endedBy(ctx, req)
	sinceStop := x.sinceStop()
	x.decisions.add(Decision{Request: req.externalID(), Attempt: req.id, Step: stepUnanswered, Worker: req.lost.entry.Worker, Reason: endedBy + ": " + req.lost.Reason})
	ownerStop := int64(-1)
	if req.lost.StoppingForMS > 0 {
		ownerStop = req.lost.StoppingForMS
	}
	fields := []any{"request", req.externalID(), "path", req.route.Name, "by", endedBy, "why", req.lost.Reason, "worker", req.lost.entry.Worker, "owner", req.lost.entry.Owner,
		"held_ms", time.Since(req.receivedAt).Milliseconds(), "stop_ms", sinceStop.Milliseconds(), "owner_stop_ms", ownerStop, "sends", req.attempts, "then", req.reason}
	if sinceStop < 0 {
		x.unansweredEvents.Emit(x.env.Log, event.Unanswered, fields...)
	} else if x.stopLogLimit.allow() {
		x.env.Log.Emit(event.Unanswered, fields...)
	}
}

// endedBy tells what ended the last attempt of a request.
func (x *Proxy) endedBy(ctx context.Context, req *request) string {
	switch {
	case transport.CanceledByCaller(ctx):
		return endedByCaller
	case shutdown.IsCutoff(ctx):
		return endedByStop
	case !time.Now().Before(req.deadline):
		if req.callerDeadline.IsZero() || req.deadline.Before(req.callerDeadline) {
			return endedByRouteTime
		}
		return endedByDeadline
	case req.lost.TimedOut:
		return endedByAttempt
	case req.lost.Reason == reasonNoResponse:
		return endedByLink
	case req.lost.Reason == reasonNodeEnding:
		return endedByOwner
	}
	return endedByWorker
}

// sinceStop is how long ago this node was told to end; negative if it was not.
func (x *Proxy) sinceStop() time.Duration {
	schedule := x.stopSchedule.Load()
	if schedule == nil {
		return -time.Millisecond
	}
	return schedule.Elapsed()
}
