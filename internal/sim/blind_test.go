package sim

import (
	"testing"
	"testing/synctest"
	"time"

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
				op.To, op.Unknown = time.Now(), code != 200
				ops = append(ops, op)
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
			Wait(700 * time.Millisecond)
			// The old writer still believes in its lease for a moment.
			got := make(chan struct{})
			go func() { do(f.Nodes[1].Host, "two"); close(got) }()
			<-got
			do(old.Host, "")
			if stand.Linear(ops) == blind {
				t.Errorf("blind %v: the checker says %v of %+v", blind, !blind, ops)
			}
		})
	}
}
