package proxy

import (
	"context"
	"sync"

	"puffincrank/internal/event"
	"puffincrank/internal/shutdown"
	"puffincrank/internal/transport"
	"puffincrank/internal/workerconn"
)

// externalID is the ID by which the request is known outside: the caller's own if it sent one.
func (req *request) externalID() string {
	if req.callerAttemptID != "" {
		return req.callerAttemptID
	}
	return req.id
}

// watchCaller records it if the caller leaves before its response; the returned function ends
// the watch.
func (x *Proxy) watchCaller(req *request) func() bool {
	id := req.externalID()
	return context.AfterFunc(req.httpReq.Context(), func() {
		x.callersLeft.Add(1)
		x.decisions.add(Decision{Request: id, Step: stepLeft})
		x.callerLeftEvents.Emit(x.env.Log, event.CallerLeft, "request", id)
	})
}

// closeOnCancel ends the run of an attempt by closing the connection to the worker. It does so
// when this node can no longer wait for the run. If the request is repeatable it also does so
// when the caller leaves, since a caller that sends it again has it run again. A request that
// may run only once goes on after its caller left, since its effect may be half done. The
// returned function must be called before the connection is used again; it reports false if the
// connection was closed.
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

// Reasons for which this node ends a run.
const (
	reasonCallerLeft = "its caller has left"
	reasonNodeEnding = "its node is ending"
)

// requestContext is the context of a request: it ends at the deadline, when the caller leaves,
// or when a shutdown of this node can no longer wait for the request.
func (x *Proxy) requestContext(req *request) (ctx context.Context, release func()) {
	ctx, unbind := x.cutoff.Bind(req.httpReq.Context())
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	return ctx, func() {
		cancel()
		unbind()
	}
}
