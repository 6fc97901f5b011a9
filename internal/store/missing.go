package store

import (
	"context"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/ledger"
	"puffincrank/internal/wire"
)

// missing names the member that has not answered for longer than the bound.
func (t *term) missing(members []ledger.Member, bound time.Duration) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		if m.ID != t.s.acc.Me().ID && time.Since(t.heard[m.ID]) > bound {
			return m.ID
		}
	}
	return ""
}

// onRemove takes a store out by an operator's word. It is refused when those
// who stay could not decide at once without it: fewer than two, or one of them
// out of touch.
func (s *Store) onRemove(ctx context.Context, _ wire.Hello, in RemoveAsk) (Given, error) {
	t, g := s.standing()
	if t == nil {
		return g, nil
	}
	g.Done = true
	stay, found := 0, false
	t.mu.Lock()
	for _, m := range g.Members {
		if m.ID == in.ID {
			found = true
		} else if m.ID == s.acc.Me().ID || time.Since(t.heard[m.ID]) < s.P.Lease() {
			stay++
		}
	}
	t.mu.Unlock()
	if !found {
		g.Receipt = ledger.Receipt{Code: ledger.Absent, Say: "no such member"}
		return g, nil
	}
	if left := len(g.Members) - 1; left < 2 || stay < left {
		s.e.Log.Emit(event.Unsafe, "member", in.ID, "left", left, "in_touch", stay)
		g.Receipt = ledger.Receipt{Code: ledger.Conflict, Say: "the stores that stay would be without a majority"}
		return g, nil
	}
	p, err := ledger.Pack("store.remove", &ledger.RemoveStore{ID: in.ID})
	if err != nil {
		return g, fault.Wrap(fault.Refused, err, "remove")
	}
	g.Receipt, err = t.offer(ctx, p)
	return g, err
}
