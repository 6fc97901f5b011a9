package actors

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"puffincrank/internal/standin/checker"
	"puffincrank/internal/task"
)

// The ways in which a holder goes on after it has a lock.
const (
	givesBack  = iota // after a moment
	holdsOn           // for seconds, renewing in time
	dies              // says nothing more; the same name comes again later
	oversleeps        // renews only after its time
	takesAgain        // takes what it holds, for the same fence and more time
	holderKinds
)

// lock takes a lock for a caller and goes on as one of the kinds of holder.
func (a *Apps) lock(ctx context.Context, owner, name string) {
	ttl := time.Duration(1000+a.dice.below(2500)) * time.Millisecond
	got := a.take(ctx, owner, name, ttl)
	if got.Code != 200 {
		return
	}
	// It counts itself holder from the answer on, for the time from before the
	// call was sent.
	h := &checker.Hold{Name: name, Owner: owner, Fence: got.Num, From: got.To, Until: got.From.Add(ttl)}
	a.Wit.Holds(h)
	switch a.dice.below(holderKinds) {
	case givesBack:
		task.Sleep(ctx, a.dice.about(60*time.Millisecond))
	case holdsOn:
		for range 1 + a.dice.below(4) {
			task.Sleep(ctx, ttl/3)
			if !a.renew(ctx, h, ttl) {
				return
			}
		}
	case dies:
		task.Sleep(ctx, a.dice.about(100*time.Millisecond))
		a.Wit.Change(func() { h.Until = earlier(h.Until, time.Now()) })
		return
	case oversleeps:
		task.Sleep(ctx, ttl+a.dice.about(time.Second))
		a.renew(ctx, h, ttl)
		if time.Now().After(h.Until) {
			return
		}
	case takesAgain:
		task.Sleep(ctx, ttl/4)
		again := a.take(ctx, owner, name, ttl)
		if again.Code == 200 && again.To.Before(h.Until) && again.Num == h.Fence {
			a.Wit.Change(func() { h.Until = later(h.Until, again.From.Add(ttl)) })
		}
	}
	a.Wit.Change(func() { h.Until = earlier(h.Until, time.Now()) })
	body := map[string]any{"owner": owner, "fence": h.Fence}
	a.call(ctx, checker.Op{Kind: checker.Free, Name: name, Owner: owner}, http.MethodDelete, "locks/"+name, body, 2*time.Second, 0)
}

func (a *Apps) take(ctx context.Context, owner, name string, ttl time.Duration) *checker.Op {
	body := map[string]any{"owner": owner, "ttl_ms": ttl.Milliseconds()}
	return a.call(ctx, checker.Op{Kind: checker.Take, Name: name, Owner: owner}, http.MethodPost, "locks/"+name, body, 2*time.Second, 0)
}

// renew asks for more time; a 200 after the time has run out counts for
// nothing, and the lock is given up.
func (a *Apps) renew(ctx context.Context, h *checker.Hold, ttl time.Duration) bool {
	body := map[string]any{"owner": h.Owner, "fence": h.Fence, "ttl_ms": ttl.Milliseconds()}
	got := a.call(ctx, checker.Op{Kind: checker.Renew, Name: h.Name, Owner: h.Owner}, http.MethodPut, "locks/"+h.Name, body, time.Second, 0)
	if got.Code != 200 || !got.To.Before(h.Until) {
		if got.Code == 409 {
			a.Wit.Change(func() { h.Until = earlier(h.Until, time.Now()) })
		}
		return false
	}
	a.Wit.Change(func() { h.Until = later(h.Until, got.From.Add(ttl)) })
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// follow watches a group from the present revision on.
func (a *Apps) follow(ctx context.Context, group string) {
	at, known := uint64(0), false
	for ctx.Err() == nil {
		got := a.look(ctx, group, at, 2*time.Second, false)
		switch {
		case got.Code == 200:
			at, known = got.Num, true
			a.mu.Lock()
			a.saved[group] = at
			a.mu.Unlock()
			if at == 0 {
				task.Sleep(ctx, 500*time.Millisecond)
			}
		case got.Code == 410 && known:
			at = 0
		default:
			task.Sleep(ctx, 100*time.Millisecond)
		}
	}
}

func (a *Apps) look(ctx context.Context, group string, after uint64, wait time.Duration, final bool) *checker.Op {
	o := checker.Op{Kind: checker.Watch, Name: group, After: after, Final: final}
	return a.call(ctx, o, http.MethodGet, fmt.Sprintf("watch/%s?after=%d&wait_ms=%d", group, after, wait.Milliseconds()), nil, a.long(final), wait)
}

// Finish asks for everything once more when the day ends: keys are read,
// numbers and locks asked for, watches go on from where they stood.
func (a *Apps) Finish(ctx context.Context) {
	for g := range a.Groups {
		name := fmt.Sprintf("g%d.", g)
		for k := range a.Keys {
			a.get(ctx, fmt.Sprintf("g%d.%x", g, k), true)
		}
		a.mu.Lock()
		at := a.saved[name]
		a.mu.Unlock()
		a.look(ctx, name, at, 100*time.Millisecond, true)
	}
	for n := range a.Numbers {
		name := fmt.Sprintf("n%d", n)
		a.call(ctx, checker.Op{Kind: checker.Number, Name: name, Final: true}, http.MethodPost, "numbers/"+name, map[string]any{}, 4*time.Second, 0)
	}
	for n := range a.Locks {
		name := fmt.Sprintf("l%d", n)
		ttl := time.Second
		body := map[string]any{"owner": "last", "ttl_ms": ttl.Milliseconds()}
		got := a.call(ctx, checker.Op{Kind: checker.Take, Name: name, Owner: "last", Final: true}, http.MethodPost, "locks/"+name, body, 4*time.Second, 0)
		if got.Code == 200 {
			a.Wit.Holds(&checker.Hold{Name: name, Owner: "last", Fence: got.Num, From: got.To, Until: got.From.Add(ttl)})
		}
	}
}
