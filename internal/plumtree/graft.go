package plumtree

import "time"

// lag has what is missing asked for half a wait from now, as far as it is still
// missing then; mu is held. A tick may be a whole wait away, and each gap of the
// tree on the way of a piece would cost that once more.
func (t *Tree) lag() {
	if t.bulk.RequestGraft != nil && !t.late {
		t.late = true
		t.bulk.RequestGraft()
	}
}

// Graft asks for what is missing for too long, before the next tick.
func (t *Tree) Graft() {
	t.mu.Lock()
	t.late = false
	all := t.grafts(time.Now())
	t.mu.Unlock()
	t.flush(all)
}

// grafts asks for each piece missing for too long, and makes the links eager by
// which it is asked for; mu is held.
func (t *Tree) grafts(now time.Time) []out {
	var all []out
	ask := map[string][]string{}
	for id, g := range t.gap {
		long := t.wait / 2
		if g.asked {
			long = t.wait
		}
		if now.Sub(g.since) < long {
			if !g.asked {
				t.lag()
			}
			continue
		}
		// Each wait the next one that named it is asked; with none left,
		// repair finds it.
		if len(g.from) == 0 {
			delete(t.gap, id)
			continue
		}
		ask[g.from[0]] = append(ask[g.from[0]], id)
		g.from, g.since = g.from[1:], now
		t.lag()
	}
	for a, ids := range ask {
		t.warm(a)
		t.Count.Graft++
		all = append(all, out{a, Message{Kind: "graft", From: t.self, IDs: ids}})
	}
	return all
}
