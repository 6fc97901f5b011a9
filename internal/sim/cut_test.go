package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/stand"
)

// TestBlindStore: a store that answers reads without a majority is caught by
// the checker of histories, and the same cut with a sound store is not.
func TestBlindStore(t *testing.T) {
	t.Parallel()
	for _, blind := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := NewFleet(t, small(), 90)
			defer f.Stop()
			f.Log = func(e event.Entry) {
				if e.Num == event.Lost.Num || e.Num == event.Won.Num {
					t.Logf("%v %s %s %s", e.Wall.Format("05.000"), e.Node, e.Name, e.Say)
				}
			}
			f.Start()
			old := f.mark(f.Writer())
			old.Store.Blind = blind
			var ops []stand.Op
			do := func(at, value string) {
				op := stand.Op{Key: "k", From: time.Now(), Write: value != "", Value: value}
				var code int
				if op.Write {
					code, _ = f.Ask("PUT", at+":7003", "/puffin/keys/k?left_ms=4000", `{"value":"`+value+`"}`)
				} else {
					var got map[string]any
					code, got = f.Ask("GET", at+":7003", "/puffin/keys/k?left_ms=4000", "")
					op.Value, _ = got["value"].(string)
				}
				t.Logf("%s %q: %d %q", at, value, code, op.Value)
				op.To, op.Unknown = time.Now(), code != 200
				ops = append(ops, op)
				// Calls that meet at one moment would count as overlapping.
				Wait(10 * time.Millisecond)
			}
			do(f.Nodes[0].Host, "one")
			// The writer's machine is cut off from the mesh, but not from callers.
			for _, c := range f.Cores {
				f.Net.Cut(old.Host, c.Host, c != old)
				f.Net.Cut(c.Host, old.Host, c != old)
			}
			for _, n := range f.Nodes {
				f.Net.Cut(old.Host, n.Host, true)
				f.Net.Cut(n.Host, old.Host, true)
			}
			// The others win the duty; a blind writer does not notice.
			Wait(3 * time.Second)
			do(f.Nodes[1].Host, "two")
			do(old.Host, "")
			if stand.Linear(ops) == blind {
				t.Errorf("blind %v: the checker says %v of %+v", blind, !blind, ops)
			}
		})
	}
}
