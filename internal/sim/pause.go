package sim

import (
	"context"
	"sync"
	"time"

	"puffincrank/internal/task"
)

// pauseGate pauses one process: while it is closed, every network and disk call of the
// process blocks, and bytes sent to it are queued.
type pauseGate struct {
	mu       sync.Mutex
	resumed  chan struct{} // closed on resume; nil while the process runs
	onResume []func()      // run in order when the process resumes, before anything else
}

// setPaused pauses or resumes the process.
func (g *pauseGate) setPaused(paused bool) {
	g.mu.Lock()
	if paused == (g.resumed != nil) {
		g.mu.Unlock()
		return
	}
	if paused {
		g.resumed = make(chan struct{})
		g.mu.Unlock()
		return
	}
	close(g.resumed)
	callbacks := g.onResume
	g.resumed, g.onResume = nil, nil
	g.mu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
}

// deferUntilResume postpones a callback until the process resumes; it returns false if the
// process is running. Closing a connection is postponed this way, because blocking in Close
// could hold a lock.
func (g *pauseGate) deferUntilResume(callback func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil {
		return false
	}
	g.onResume = append(g.onResume, callback)
	return true
}

// waitWhilePaused blocks while the process is paused and reports whether it had to.
func (g *pauseGate) waitWhilePaused() bool {
	for waited := false; ; waited = true {
		g.mu.Lock()
		resumed := g.resumed
		g.mu.Unlock()
		if resumed == nil {
			return waited
		}
		<-resumed
	}
}

// sleep is how a process sleeps. A paused process wakes late and after its sockets, which
// is the harder order.
func (g *pauseGate) sleep(ctx context.Context, duration time.Duration) {
	task.Sleep(ctx, duration)
	if g.waitWhilePaused() {
		task.Sleep(ctx, 3*time.Millisecond)
	}
}

// pauseGate returns the gate of a process by name. Starting a process reopens its gate, so that a
// process killed while paused does not block its successor.
func (n *Net) pauseGate(process string) *pauseGate {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pauseGates[process] == nil {
		n.pauseGates[process] = &pauseGate{}
	}
	return n.pauseGates[process]
}

// PauseProcess pauses or resumes a process. An empty name has no effect.
func (n *Net) PauseProcess(process string, on bool) { n.pauseGate(process).setPaused(on) }

// Sleeper returns the sleep function of a process.
func (n *Net) Sleeper(process string) func(context.Context, time.Duration) {
	return n.pauseGate(process).sleep
}
