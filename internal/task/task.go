// Package task is the one place where goroutines start. Each has a name, and
// a Group ends all that it started and waits for them.
package task

import (
	"context"
	"sync"
	"time"
)

// Group holds the goroutines of one process or of one part of it.
type Group struct {
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	stopped bool
	running map[string]int
	// pause is how Every waits, Pause if nothing else was said.
	sleep func(context.Context, time.Duration)
}

// New makes a Group whose goroutines end with root.
func New(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel, running: map[string]int{}, sleep: Sleep}
}

// SetSleep sets how Every waits between two beats.
func (g *Group) SetSleep(sleep func(context.Context, time.Duration)) *Group {
	if sleep != nil {
		g.sleep = sleep
	}
	return g
}

// Context ends when the group is stopped.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts f under a name. It returns false when the group has been stopped.
func (g *Group) Go(name string, run func(context.Context)) bool {
	g.mu.Lock()
	// A start after the stop would outlive the wait, so it is turned away.
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

// Every runs f at each beat until the group stops.
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

// Live counts the running goroutines by name.
func (g *Group) Live() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := make(map[string]int, len(g.running))
	for name, count := range g.running {
		counts[name] = count
	}
	return counts
}

// Cancel tells all to end, without the wait.
func (g *Group) Cancel() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.cancel()
}

// Stop tells all to end and waits for them.
func (g *Group) Stop() {
	g.Cancel()
	g.wg.Wait()
}

// Sleep waits for a time, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
