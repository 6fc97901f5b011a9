package proxy

import (
	"context"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/task"
)

// Stop ends politely: readiness falls, fellows get the time to notice, jobs
// under way end, then the node signs off.
func (x *Proxy) Stop() {
	x.e.Log.Emit(event.Stopping, "program", "proxy", "jobs", x.busy.Load())
	if !x.life.Fire("stop") {
		return
	}
	from := time.Now()
	x.stopped.Store(&from)
	last := from.Add(x.P.Grace * 8 / 10)
	x.ends.Store(&last)
	// Large answers that wait for a thin link on their way here go first now.
	x.n.Haste()
	ctx, end := context.WithTimeout(x.g.Context(), x.P.Grace*17/20)
	defer end()
	// Callers learn from readiness, which the platform polls; until they had
	// the time to, this front goes on taking their jobs, and for as long as the
	// own worker runs some, since they may call others through it.
	// The own worker serves on meanwhile, and is flagged only so early that all
	// fronts have seen it when this node goes.
	task.Pause(ctx, x.P.Leave*3/4)
	x.left.Store(true)
	x.leaveGates()
	task.Pause(ctx, x.P.Leave/2)
	x.rest(ctx, x.owned.Load)
	// From here on an answer ends its connection, and idle ones end now: no
	// caller sends into a connection that is about to go.
	x.door.SetKeepAlivesEnabled(false)
	x.life.Fire("shut")
	x.rest(ctx, func() int64 { return x.busy.Load() + x.owned.Load() + x.n.Queued() })
	x.lastWord()
	x.signOff()
	x.touch.Bye()
	x.n.Leave(x.P.Parting())
	x.life.Fire("end")
	x.Kill()
	x.e.Log.Emit(event.Stopped, "program", "proxy", "after_ms", time.Since(from).Milliseconds())
}

// lastWord ends the jobs that this front can't wait for any longer: each caller
// is told that the outcome is unknown, or that it did not run, rather than that
// its connection just ends.
func (x *Proxy) lastWord() {
	x.over()
	ctx, end := context.WithTimeout(x.g.Context(), x.P.Grace/20)
	defer end()
	x.rest(ctx, x.busy.Load)
}

// rest waits until none of something is under way.
func (x *Proxy) rest(ctx context.Context, under func() int64) {
	for under() > 0 && ctx.Err() == nil {
		task.Pause(ctx, x.P.Beat()/10)
	}
}
