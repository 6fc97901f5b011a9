package sim

import (
	"context"
	"sync"
	"time"

	"puffincrank/internal/task"
)

// ice is what holds one frozen process: every call of its network and disk
// stands still until the thaw, and bytes for it queue up meanwhile.
type ice struct {
	mu   sync.Mutex
	thaw chan struct{} // nil while the process runs
	then []func()      // what the process does first when it wakes
}

// set freezes the process or lets it go on.
func (i *ice) set(on bool) {
	i.mu.Lock()
	if on == (i.thaw != nil) {
		i.mu.Unlock()
		return
	}
	if on {
		i.thaw = make(chan struct{})
		i.mu.Unlock()
		return
	}
	close(i.thaw)
	then := i.then
	i.thaw, i.then = nil, nil
	i.mu.Unlock()
	for _, f := range then {
		f()
	}
}

// later puts an act off until the thaw; false means that the process runs.
// Closing is such an act: waiting in it could hold a lock.
func (i *ice) later(f func()) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.thaw == nil {
		return false
	}
	i.then = append(i.then, f)
	return true
}

// hold waits while the process is frozen, and tells whether it had to.
func (i *ice) hold() bool {
	for held := false; ; held = true {
		i.mu.Lock()
		thaw := i.thaw
		i.mu.Unlock()
		if thaw == nil {
			return held
		}
		<-thaw
	}
}

// pause is a process's wait: a frozen one wakes late, and after its sockets,
// which is the worse order.
func (i *ice) pause(ctx context.Context, d time.Duration) {
	task.Sleep(ctx, d)
	if i.hold() {
		task.Sleep(ctx, 3*time.Millisecond)
	}
}

// ice finds the ice of a process by its name; each start has its own, so that
// a frozen process that is killed does not hold the next one.
func (n *Net) ice(process string) *ice {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ices[process] == nil {
		n.ices[process] = &ice{}
	}
	return n.ices[process]
}

// Freeze stops a process or lets it go on; "" names nobody.
func (n *Net) Freeze(process string, on bool) { n.ice(process).set(on) }

// Pause is how a process waits, by its name.
func (n *Net) Pause(process string) func(context.Context, time.Duration) {
	return n.ice(process).pause
}
