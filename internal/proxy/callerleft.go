package proxy

import (
	"context"
	"sync"

	"puffincrank/internal/event"
	"puffincrank/internal/shutdown"
	"puffincrank/internal/transport"
	"puffincrank/internal/workerconn"
)

// name is the id by which a job is known outside: its caller's own, if it has one.
func (j *job) name() string {
	if j.said != "" {
		return j.said
	}
	return j.id
}

// heedsLeaving notes it when the caller of a job goes before its answer; the
// result ends the watch.
func (x *Proxy) heedsLeaving(j *job) func() bool {
	request := j.name()
	return context.AfterFunc(j.req.Context(), func() {
		x.quit.Add(1)
		x.trail.add(Decision{Request: request, Step: stepLeft})
		x.gone.Emit(x.e.Log, event.CallerLeft, "request", request)
	})
}

// endsWith ends the run of an attempt by the connection to the worker: when this node
// can wait for it no longer, and, if it may run again, when its caller leaves, since
// whoever sends it anew has it run anew. What may run but once goes on for a caller
// that left, since its effect may be half done. The result, false if the connection
// was ended, is called before the connection is used again.
func (x *Proxy) endsWith(ctx context.Context, v *visit, c *workerconn.Conn) (release func() bool) {
	var mu sync.Mutex
	over := false
	stop := context.AfterFunc(ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		ending := shutdown.IsCutoff(ctx)
		if over || !ending && !transport.CanceledByCaller(ctx) {
			return
		}
		x.step(v, stepCancelled, "")
		if !ending && !v.in.Repeatable {
			x.step(v, stepKept, "")
			return
		}
		v.cut = whyLeft
		if ending {
			v.cut = whyEnding
		}
		_ = c.Close()
		x.step(v, stepEnded, v.cut)
		x.runsEnded.Emit(x.e.Log, event.RunEnded, "worker", v.in.Worker, "attempt", v.in.AttemptID, "why", v.cut)
	})
	return func() bool {
		stop()
		mu.Lock()
		defer mu.Unlock()
		over = true
		return v.cut == ""
	}
}

// Why this node ended a run.
const (
	whyLeft   = "its caller has left"
	whyEnding = "its node is ending"
)

// jobContext is the context of a job: until its time is up, its caller has left, or
// a stop of this node can wait for it no longer.
func (x *Proxy) jobContext(j *job) (ctx context.Context, stop func()) {
	ctx, over := x.late.Bind(j.req.Context())
	ctx, end := context.WithDeadline(ctx, j.end)
	return ctx, func() {
		end()
		over()
	}
}
