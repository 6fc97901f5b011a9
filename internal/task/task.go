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
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	mu   sync.Mutex
	shut bool
	live map[string]int
	// pause is how Every waits, Pause if nothing else was said.
	pause func(context.Context, time.Duration)
}

// New makes a Group whose goroutines end with root.
func New(root context.Context) *Group {
	ctx, stop := context.WithCancel(root)
	return &Group{ctx: ctx, stop: stop, live: map[string]int{}, pause: Sleep}
}

// SetSleep sets how Every waits between two beats.
func (g *Group) SetSleep(pause func(context.Context, time.Duration)) *Group {
	if pause != nil {
		g.pause = pause
	}
	return g
}

// Context ends when the group is stopped.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts f under a name. It returns false when the group has been stopped.
func (g *Group) Go(name string, f func(context.Context)) bool {
	g.mu.Lock()
	// A start after the stop would outlive the wait, so it is turned away.
	if g.shut {
		g.mu.Unlock()
		return false
	}
	g.live[name]++
	g.wg.Add(1)
	g.mu.Unlock()
	go func() {
		defer g.done(name)
		f(g.ctx)
	}()
	return true
}

func (g *Group) done(name string) {
	g.mu.Lock()
	g.live[name]--
	if g.live[name] == 0 {
		delete(g.live, name)
	}
	g.mu.Unlock()
	g.wg.Done()
}

// Every runs f at each beat until the group stops.
func (g *Group) Every(name string, beat time.Duration, f func(context.Context)) bool {
	return g.Go(name, func(ctx context.Context) {
		for {
			g.pause(ctx, beat)
			if ctx.Err() != nil {
				return
			}
			f(ctx)
		}
	})
}

// Live counts the running goroutines by name.
func (g *Group) Live() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string]int, len(g.live))
	for k, v := range g.live {
		out[k] = v
	}
	return out
}

// Cancel tells all to end, without the wait.
func (g *Group) Cancel() {
	g.mu.Lock()
	g.shut = true
	g.mu.Unlock()
	g.stop()
}

// Stop tells all to end and waits for them.
func (g *Group) Stop() {
	g.Cancel()
	g.wg.Wait()
}

// Sleep waits for a time, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
