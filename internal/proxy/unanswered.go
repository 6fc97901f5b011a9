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

// What ended a request that may have run and did not get its worker's response.
const (
	endedByCaller    = "caller"     // it closed its connection
	endedByStop      = "stop"       // this node got the stop signal
	endedByDeadline  = "deadline"   // the caller's timeout
	endedByRouteTime = "route-time" // the route's timeout
	endedByAttempt   = "attempt"    // an attempt timed out before the request did
	endedByLink      = "link"       // the link to the owner failed
	endedByOwner     = "owner"      // the owner's node got the stop signal
	endedByWorker    = "worker"     // the worker's connection failed, or its response was invalid
)

// lostAttempt is an attempt that may have run and has no response, with the registry entry of
// its worker.
type lostAttempt struct {
	protocol.AttemptResult
	entry ormap.Entry
}

// maxStopLines bounds the log lines during one shutdown; the decision log has the rest.
const maxStopLines = 64

// lineLimit counts the lines written since the stop signal.
type lineLimit struct{ written atomic.Int64 }

// allow tells whether one more line may be written.
func (l *lineLimit) allow() bool { return l.written.Add(1) <= maxStopLines }

// logUnanswered logs a request that may have run and ends without its worker's response: what
// ended it, how long after the stop signals of this node and of the owner (negative if there
// was none), which worker lost it, and the reason of the last refusal after that. Normally it
// writes one line per heartbeat interval, with a count of the others; after the stop signal it
// writes every line up to a limit. The decision log has all of them.
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

// sinceStop is the time since this node's stop signal, negative if there was none.
func (x *Proxy) sinceStop() time.Duration {
	schedule := x.stopSchedule.Load()
	if schedule == nil {
		return -time.Millisecond
	}
	return schedule.Elapsed()
}
