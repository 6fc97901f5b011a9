package sim

import (
	"context"
	"sync"
	"time"

	"puffincrank/internal/task"
)

// pauseGate is what holds one frozen process: every call of its network and disk
// stands still until the thaw, and bytes for it queue up meanwhile.
type pauseGate struct {
	mu       sync.Mutex
	resumed  chan struct{} // nil while the process runs
	onResume []func()      // what the process does first when it wakes
}

// setPaused freezes the process or lets it go on.
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

// deferUntilResume puts an act off until the thaw; false means that the process runs.
// Closing is such an act: waiting in it could hold a lock.
func (i *pauseGate) deferUntilResume(callback func()) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.resumed == nil {
		return false
	}
	i.onResume = append(i.onResume, callback)
	return true
}

// waitWhilePaused waits while the process is frozen, and tells whether it had to.
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

// sleep is a process's wait: a frozen one wakes late, and after its sockets,
// which is the worse order.
func (i *pauseGate) sleep(ctx context.Context, d time.Duration) {
	task.Sleep(ctx, d)
	if i.waitWhilePaused() {
		task.Sleep(ctx, 3*time.Millisecond)
	}
}

// ice finds the ice of a process by its name; each start has its own, so that
// a frozen process that is killed does not hold the next one.
func (n *Net) ice(process string) *pauseGate {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pauseGates[process] == nil {
		n.pauseGates[process] = &pauseGate{}
	}
	return n.pauseGates[process]
}

// Freeze stops a process or lets it go on; "" names nobody.
func (n *Net) Freeze(process string, on bool) { n.ice(process).setPaused(on) }

// Pause is how a process waits, by its name.
func (n *Net) Pause(process string) func(context.Context, time.Duration) {
	return n.ice(process).sleep
}
