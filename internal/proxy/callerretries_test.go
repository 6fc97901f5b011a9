package proxy

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/balancer"
	"puffincrank/internal/rules"
	"puffincrank/internal/task"
)

// TestCallerRetries checks that a request that was not served is recognized by its deadline
// alone when it comes back, also after several refusals. Requests of other routes or with other
// deadlines are new, and past deadlines are dropped.
func TestCallerRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tolerance, remaining = 6 * time.Millisecond, 3 * time.Second
		r := newCallerRetries(tolerance)
		from := time.Now()
		end := from.Add(remaining)
		if got := r.firstArrival("p", from, end); !got.Equal(from) {
			t.Errorf("a new request counts as first seen %v earlier", from.Sub(got))
		}
		r.record("p", from, end)
		for i, offset := range []time.Duration{-tolerance, 0, 2 * time.Millisecond, tolerance} {
			task.Sleep(t.Context(), 200*time.Millisecond)
			now := time.Now()
			got := r.firstArrival("p", now, end.Add(offset))
			if !got.Equal(from) {
				t.Errorf("try %d, deadline %v off: first seen %v earlier, want %v", i, offset, now.Sub(got), now.Sub(from))
			}
			// After another refusal the first arrival still counts.
			r.record("p", got, end.Add(offset))
			r.record("p", now, end)
		}
		now := time.Now()
		if got := r.firstArrival("q", now, end); !got.Equal(now) {
			t.Error("a request of another route was taken for it")
		}
		for _, offset := range []time.Duration{-4 * tolerance, 4 * tolerance, time.Second} {
			if got := r.firstArrival("p", now, end.Add(offset)); !got.Equal(now) {
				t.Errorf("a request with a deadline %v off was taken for it", offset)
			}
		}
		// A new request has a later deadline than all before it.
		if got := r.firstArrival("p", now, now.Add(remaining)); !got.Equal(now) {
			t.Error("a new request was taken for an old one")
		}
		r.expire(end.Add(-tolerance))
		if got := r.firstArrival("p", now, end); !got.Equal(from) {
			t.Error("forgotten before its deadline")
		}
		r.expire(end.Add(4 * tolerance))
		if got := r.firstArrival("p", now, end); !got.Equal(now) || len(r.firstSeen) != 0 {
			t.Errorf("%d requests are remembered beyond their deadline", len(r.firstSeen))
		}
	})
}

// TestCallerRetryAfter checks that a refused request is told when the missing capacity may be
// there, unless it would miss its target by then anyway.
func TestCallerRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const target, remaining, ms = 500 * time.Millisecond, 3 * time.Second, time.Millisecond
		x := &Proxy{balancer: balancer.New("a", time.Second, time.Second, nil)}
		now := time.Now()
		for _, c := range []struct{ spent, come, want time.Duration }{
			{0, 100 * ms, 100 * ms}, {0, 500 * ms, 500 * ms}, {0, 501 * ms, time.Second}, {0, 2 * time.Second, 2 * time.Second},
			{300 * ms, 200 * ms, 200 * ms}, {300 * ms, 201 * ms, 900 * ms}, {1500 * ms, 50 * ms, 500 * ms},
		} {
			first := now.Add(-c.spent)
			req := &request{route: &rules.Route{Name: "p"}, arm: &rules.Arm{Target: target}, firstSeen: first, deadline: first.Add(remaining), retryAfter: c.come}
			if got := x.callerRetryAfter(req); got != c.want {
				t.Errorf("seen %v ago, capacity in %v: retry after %v, want %v", c.spent, c.come, got, c.want)
			}
		}
	})
}

// TestCallerRetriesBound checks that a bounded number of refused requests is remembered, and
// that those beyond it look like new ones.
func TestCallerRetriesBound(t *testing.T) {
	r := newCallerRetries(time.Millisecond)
	now := time.Now()
	for i := range 2 * maxCallerRetries {
		r.record(fmt.Sprint("p", i), now, now.Add(time.Hour))
	}
	if len(r.firstSeen) != maxCallerRetries {
		t.Errorf("%d requests are remembered, want %d", len(r.firstSeen), maxCallerRetries)
	}
	later := now.Add(time.Second)
	if got := r.firstArrival("p0", later, now.Add(time.Hour)); !got.Equal(now) {
		t.Error("the first request was forgotten")
	}
	if got := r.firstArrival(fmt.Sprint("p", 2*maxCallerRetries-1), later, now.Add(time.Hour)); !got.Equal(later) {
		t.Error("a request beyond the bound is remembered")
	}
}
