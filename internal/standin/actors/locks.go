package actors

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"puffincrank/internal/standin/checker"
	"puffincrank/internal/task"
)

// The ways in which a holder behaves after it got a lock.
const (
	releasesSoon  = iota // releases it after about 60 ms
	renewsInTime         // renews it in time up to four times, then releases it
	goesSilent           // makes no more calls; the same owner name is used again later
	renewsLate           // renews it only after it has expired
	acquiresAgain        // acquires the lock that it holds, which keeps the fence and extends the time
	holderKindCount
)

// useLock acquires a lock and then behaves like a random kind of holder.
func (a *Apps) useLock(ctx context.Context, owner, name string) {
	ttl := time.Duration(1000+a.random.intN(2500)) * time.Millisecond
	result := a.acquire(ctx, owner, name, ttl)
	if result.Status != 200 {
		return
	}
	// The caller considers itself the holder from the answer on, but counts the time to
	// live from before the call was sent.
	hold := &checker.LockHold{Name: name, Owner: owner, Fence: result.Number, From: result.End, Until: result.Start.Add(ttl)}
	a.Recorder.RecordHold(hold)
	switch a.random.intN(holderKindCount) {
	case releasesSoon:
		task.Sleep(ctx, a.random.around(60*time.Millisecond))
	case renewsInTime:
		for range 1 + a.random.intN(4) {
			task.Sleep(ctx, ttl/3)
			if !a.renew(ctx, hold, ttl) {
				return
			}
		}
	case goesSilent:
		task.Sleep(ctx, a.random.around(100*time.Millisecond))
		a.Recorder.Update(func() { hold.Until = earlier(hold.Until, time.Now()) })
		return
	case renewsLate:
		task.Sleep(ctx, ttl+a.random.around(time.Second))
		a.renew(ctx, hold, ttl)
		if time.Now().After(hold.Until) {
			return
		}
	case acquiresAgain:
		task.Sleep(ctx, ttl/4)
		reacquired := a.acquire(ctx, owner, name, ttl)
		if reacquired.Status == 200 && reacquired.End.Before(hold.Until) && reacquired.Number == hold.Fence {
			a.Recorder.Update(func() { hold.Until = later(hold.Until, reacquired.Start.Add(ttl)) })
		}
	}
	a.Recorder.Update(func() { hold.Until = earlier(hold.Until, time.Now()) })
	body := map[string]any{"owner": owner, "fence": hold.Fence}
	a.call(ctx, checker.Op{Kind: checker.Release, Name: name, Owner: owner}, http.MethodDelete, "locks/"+name, body, 2*time.Second, 0)
}

func (a *Apps) acquire(ctx context.Context, owner, name string, ttl time.Duration) *checker.Op {
	body := map[string]any{"owner": owner, "ttl_ms": ttl.Milliseconds()}
	return a.call(ctx, checker.Op{Kind: checker.Acquire, Name: name, Owner: owner}, http.MethodPost, "locks/"+name, body, 2*time.Second, 0)
}

// renew extends a hold and reports whether the caller still has the lock. A 200 that arrives
// after the expiry does not count: the caller gives the lock up.
func (a *Apps) renew(ctx context.Context, hold *checker.LockHold, ttl time.Duration) bool {
	body := map[string]any{"owner": hold.Owner, "fence": hold.Fence, "ttl_ms": ttl.Milliseconds()}
	result := a.call(ctx, checker.Op{Kind: checker.Renew, Name: hold.Name, Owner: hold.Owner}, http.MethodPut, "locks/"+hold.Name, body, time.Second, 0)
	if result.Status != 200 || !result.End.Before(hold.Until) {
		if result.Status == 409 {
			a.Recorder.Update(func() { hold.Until = earlier(hold.Until, time.Now()) })
		}
		return false
	}
	a.Recorder.Update(func() { hold.Until = later(hold.Until, result.Start.Add(ttl)) })
	return true
}

func earlier(first, second time.Time) time.Time {
	if first.Before(second) {
		return first
	}
	return second
}

func later(first, second time.Time) time.Time {
	if first.After(second) {
		return first
	}
	return second
}

// watchGroup watches a key group from its current revision on.
func (a *Apps) watchGroup(ctx context.Context, group string) {
	revision, known := uint64(0), false
	for ctx.Err() == nil {
		result := a.watchOnce(ctx, group, revision, 2*time.Second, false)
		switch {
		case result.Status == 200:
			revision, known = result.Number, true
			a.mu.Lock()
			a.watchedTo[group] = revision
			a.mu.Unlock()
			if revision == 0 {
				task.Sleep(ctx, 500*time.Millisecond)
			}
		case result.Status == 410 && known:
			revision = 0
		default:
			task.Sleep(ctx, 100*time.Millisecond)
		}
	}
}

func (a *Apps) watchOnce(ctx context.Context, group string, after uint64, wait time.Duration, final bool) *checker.Op {
	op := checker.Op{Kind: checker.Watch, Name: group, After: after, Final: final}
	return a.call(ctx, op, http.MethodGet, fmt.Sprintf("watch/%s?after=%d&wait_ms=%d", group, after, wait.Milliseconds()), nil, a.callTimeout(final), wait)
}

// Finish makes the final calls of a test run: it reads all keys, continues the watches from
// their last revision, and requests each number and lock once.
func (a *Apps) Finish(ctx context.Context) {
	for g := range a.KeyGroups {
		name := fmt.Sprintf("g%d.", g)
		for k := range a.KeysPerGroup {
			a.get(ctx, fmt.Sprintf("g%d.%x", g, k), true)
		}
		a.mu.Lock()
		revision := a.watchedTo[name]
		a.mu.Unlock()
		a.watchOnce(ctx, name, revision, 100*time.Millisecond, true)
	}
	for n := range a.Numbers {
		name := fmt.Sprintf("n%d", n)
		a.call(ctx, checker.Op{Kind: checker.Number, Name: name, Final: true}, http.MethodPost, "numbers/"+name, map[string]any{}, 4*time.Second, 0)
	}
	for n := range a.Locks {
		name := fmt.Sprintf("l%d", n)
		ttl := time.Second
		body := map[string]any{"owner": "last", "ttl_ms": ttl.Milliseconds()}
		result := a.call(ctx, checker.Op{Kind: checker.Acquire, Name: name, Owner: "last", Final: true}, http.MethodPost, "locks/"+name, body, 4*time.Second, 0)
		if result.Status == 200 {
			a.Recorder.RecordHold(&checker.LockHold{Name: name, Owner: "last", Fence: result.Number, From: result.End, Until: result.Start.Add(ttl)})
		}
	}
}
