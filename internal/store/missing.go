package store

import (
	"time"

	"puffincrank/internal/ledger"
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
