package proxy

import (
	"context"
	"sync"

	"puffincrank/internal/event"
	"puffincrank/internal/shutdown"
	"puffincrank/internal/transport"
	"puffincrank/internal/workerconn"
)

// externalID is the id by which a job is known outside: its caller's own, if it has one.
func (req *request) externalID() string {
	if req.callerAttemptID != "" {
		return req.callerAttemptID
	}
	return req.id
}

// watchCaller notes it when the caller of a job goes before its answer; the
// result ends the watch.
func (x *Proxy) watchCaller(req *request) func() bool {
	id := req.externalID()
	return context.AfterFunc(req.httpReq.Context(), func() {
		x.callersLeft.Add(1)
		x.decisions.add(Decision{Request: id, Step: stepLeft})
		x.callerLeftEvents.Emit(x.env.Log, event.CallerLeft, "request", id)
	})
}

// closeOnCancel ends the run of an attempt by the connection to the worker: when this node
// can wait for it no longer, and, if it may run again, when its caller leaves, since
// whoever sends it anew has it run anew. What may run but once goes on for a caller
// that left, since its effect may be half done. The result, false if the connection
// was ended, is called before the connection is used again.
func (x *Proxy) closeOnCancel(ctx context.Context, attempt *ownerAttempt, conn *workerconn.Conn) (release func() bool) {
	var mu sync.Mutex
	released := false
	stop := context.AfterFunc(ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		nodeEnding := shutdown.IsCutoff(ctx)
		if released || !nodeEnding && !transport.CanceledByCaller(ctx) {
			return
		}
		x.recordDecision(attempt, stepCancelled, "")
		if !nodeEnding && !attempt.req.Repeatable {
			x.recordDecision(attempt, stepKept, "")
			return
		}
		attempt.cutReason = reasonCallerLeft
		if nodeEnding {
			attempt.cutReason = reasonNodeEnding
		}
		_ = conn.Close()
		x.recordDecision(attempt, stepEnded, attempt.cutReason)
		x.runEndedEvents.Emit(x.env.Log, event.RunEnded, "worker", attempt.req.Worker, "attempt", attempt.req.AttemptID, "why", attempt.cutReason)
	})
	return func() bool {
		stop()
		mu.Lock()
		defer mu.Unlock()
		released = true
		return attempt.cutReason == ""
	}
}

// Why this node ended a run.
const (
	reasonCallerLeft = "its caller has left"
	reasonNodeEnding = "its node is ending"
)

// requestContext is the context of a job: until its time is up, its caller has left, or
// a stop of this node can wait for it no longer.
func (x *Proxy) requestContext(req *request) (ctx context.Context, release func()) {
	ctx, unbind := x.cutoff.Bind(req.httpReq.Context())
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	return ctx, func() {
		cancel()
		unbind()
	}
}
