package proxy

import (
	"context"

	"puffincrank/internal/event"
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
		x.trail.add(Step{Request: request, Step: stepLeft})
		x.gone.Emit(x.e.Log, event.CallerLeft, "request", request)
	})
}
