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
func (i *pauseGate) setPaused(paused bool) {
	i.mu.Lock()
	if paused == (i.resumed != nil) {
		i.mu.Unlock()
		return
	}
	if paused {
		i.resumed = make(chan struct{})
		i.mu.Unlock()
		return
	}
	close(i.resumed)
	callbacks := i.onResume
	i.resumed, i.onResume = nil, nil
	i.mu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
}

// deferUntilResume postpones a callback until the process resumes; it returns false if the
// process is running. Closing a connection is postponed this way, because blocking in Close
// could hold a lock.
func (i *pauseGate) deferUntilResume(callback func()) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.resumed == nil {
		return false
	}
	i.onResume = append(i.onResume, callback)
	return true
}

// waitWhilePaused blocks while the process is paused and reports whether it had to.
func (i *pauseGate) waitWhilePaused() bool {
	for waited := false; ; waited = true {
		i.mu.Lock()
		resumed := i.resumed
		i.mu.Unlock()
		if resumed == nil {
			return waited
		}
		<-resumed
	}
}

// sleep is how a process sleeps. A paused process wakes late and after its sockets, which
// is the harder order.
func (i *pauseGate) sleep(ctx context.Context, d time.Duration) {
	task.Sleep(ctx, d)
	if i.waitWhilePaused() {
		task.Sleep(ctx, 3*time.Millisecond)
	}
}

// ice returns the gate of a process by name. Starting a process reopens its gate, so that a
// process killed while paused does not block its successor.
func (n *Net) ice(process string) *pauseGate {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pauseGates[process] == nil {
		n.pauseGates[process] = &pauseGate{}
	}
	return n.pauseGates[process]
}

// Freeze pauses or resumes a process. An empty name has no effect.
func (n *Net) Freeze(process string, on bool) { n.ice(process).setPaused(on) }

// Pause returns the sleep function of a process.
func (n *Net) Pause(process string) func(context.Context, time.Duration) {
	return n.ice(process).sleep
}
