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

// TestRefillEncodedOnce checks that the state is encoded once for requests that arrive
// together, and that a later request gets the newer entries.
func TestRefillEncodedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const heartbeat = 200 * time.Millisecond
		g := task.New(context.Background())
		defer g.Stop()
		e := env.Env{Log: event.New("a", nil), WallClock: time.Now}
		transportNode := transport.NewNode(transport.Hello{ClusterID: "m", Node: "a", Zone: "x"}, e, g, 1<<20, 4, heartbeat)
		r := New(membership.Member{Node: "a", InternalAddr: "h:1"}, transportNode, g, e.Log, hlc.New(time.Now, time.Minute), heartbeat, 3*time.Second, time.Minute)
		requestState := func() ormap.Delta {
			d, err := r.handleState(t.Context(), transport.Hello{}, stateRequest{AcceptsCompact: true})
			if err != nil || len(d.Compact) == 0 {
				t.Fatal(d, err)
			}
			return d
		}
		r.Register("s", "w", nil)
		first := requestState()
		r.Register("s", "v", nil)
		if second := requestState(); &first.Compact[0] != &second.Compact[0] {
			t.Error("encoded again for a request at the same time")
		}
		task.Sleep(t.Context(), heartbeat/2)
		if d, err := requestState().Decode(); err != nil || len(d.Adds) != 2 {
			t.Error(d, err)
		}
		if d, _ := r.handleState(t.Context(), transport.Hello{}, stateRequest{}); len(d.Adds) != 2 {
			t.Error("a node of an earlier version gets", d)
		}
	})
}
