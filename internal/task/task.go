// Package task is the only place that starts goroutines. Each has a name, and a Group
// cancels all goroutines that it started and waits for them.
package task

import (
	"context"
	"sync"
	"time"
)

// Group holds the goroutines of one process or of one component of it.
type Group struct {
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	stopped bool
	running map[string]int
	// sleep is how Every waits; Sleep by default.
	sleep func(context.Context, time.Duration)
}

// New makes a Group whose context is derived from parent.
func New(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel, running: map[string]int{}, sleep: Sleep}
}

// SetSleep sets how Every waits between two runs.
func (g *Group) SetSleep(sleep func(context.Context, time.Duration)) *Group {
	if sleep != nil {
		g.sleep = sleep
	}
	return g
}

// Context returns the group's context, which ends when the group is stopped.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs a function in a new goroutine with a name. It returns false and starts nothing
// if the group has been stopped.
func (g *Group) Go(name string, run func(context.Context)) bool {
	g.mu.Lock()
	// A goroutine started after Stop could outlive its wait.
	if g.stopped {
		g.mu.Unlock()
		return false
	}
	g.running[name]++
	g.wg.Add(1)
	g.mu.Unlock()
	go func() {
		defer g.done(name)
		run(g.ctx)
	}()
	return true
}

func (g *Group) done(name string) {
	g.mu.Lock()
	g.running[name]--
	if g.running[name] == 0 {
		delete(g.running, name)
	}
	g.mu.Unlock()
	g.wg.Done()
}

// Every calls run after each interval until the group stops. It returns false if the group
// has been stopped.
func (g *Group) Every(name string, interval time.Duration, run func(context.Context)) bool {
	return g.Go(name, func(ctx context.Context) {
		for {
			g.sleep(ctx, interval)
			if ctx.Err() != nil {
				return
			}
			run(ctx)
		}
	})
}

// Live returns the number of running goroutines by name.
func (g *Group) Live() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := make(map[string]int, len(g.running))
	for name, count := range g.running {
		counts[name] = count
	}
	return counts
}

// Cancel ends the group's context without waiting for the goroutines.
func (g *Group) Cancel() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.cancel()
}

// Stop ends the group's context and waits for all goroutines.
func (g *Group) Stop() {
	g.Cancel()
	g.wg.Wait()
}

// Sleep waits for d, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
