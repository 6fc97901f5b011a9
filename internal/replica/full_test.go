package replica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/hlc"
	"puffincrank/internal/membership"
	"puffincrank/internal/ormap"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

// TestRefillPackedOnce: refills that are asked for at the same time are packed
// once, and one that is asked for later holds what is new.
func TestRefillPackedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const beat = 200 * time.Millisecond
		g := task.New(context.Background())
		defer g.Stop()
		e := env.Env{Log: event.New("a", nil), WallClock: time.Now}
		w := transport.NewNode(transport.Hello{ClusterID: "m", Node: "a", Zone: "x"}, e, g, 1<<20, 4, beat)
		r := New(membership.Member{Node: "a", InternalAddr: "h:1"}, w, g, e.Log, hlc.New(time.Now, time.Minute), beat, 3*time.Second, time.Minute)
		ask := func() ormap.Delta {
			d, err := r.onAll(t.Context(), transport.Hello{}, allAsk{Short: true})
			if err != nil || len(d.Compact) == 0 {
				t.Fatal(d, err)
			}
			return d
		}
		r.Register("s", "w", nil)
		one := ask()
		r.Register("s", "v", nil)
		if two := ask(); &one.Compact[0] != &two.Compact[0] {
			t.Error("packed again at the same time")
		}
		task.Sleep(t.Context(), beat/2)
		if d, err := ask().Decode(); err != nil || len(d.Adds) != 2 {
			t.Error(d, err)
		}
		if d, _ := r.onAll(t.Context(), transport.Hello{}, allAsk{}); len(d.Adds) != 2 {
			t.Error("an earlier version gets", d)
		}
	})
}
