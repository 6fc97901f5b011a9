package replica

import (
	"context"
	"fmt"
	"slices"
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

const tick = 200 * time.Millisecond

// fleet makes replicas on a network; the first is a control node's.
func fleet(t *testing.T, g *task.Group, n, frame int) (out []*Replica) {
	road := &transport.LocalNet{Network: transport.NewLocalNetwork(func(string, string) time.Duration { return time.Millisecond })}
	for i := range n {
		h, role, area := fmt.Sprintf("h%d", i), "proxy", "x"
		if i == 0 {
			role = "registry"
		}
		if i%2 == 1 {
			area = "y"
		}
		e := env.Env{Net: road, Log: event.New(h, nil), WallClock: time.Now}
		w := transport.NewNode(transport.Hello{ClusterID: "m", Node: h, Zone: area, Role: role}, e, g, frame, 64, 5*tick)
		r := New(membership.Member{Node: h, Incarnation: "s", Role: role, Zone: area, InternalAddr: h + ":1"}, w, g, e.Log, hlc.New(time.Now, time.Minute), tick, time.Hour, time.Minute)
		if err := w.Listen(h + ":1"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		out = append(out, r)
	}
	return out
}

// TestRefillTurns: a replica hands out its part of the frame's bound in a beat and
// no more, however many ask: the rest are told when to come again, each later
// than those before, and who was filled meanwhile, the own area first; those fill
// them. Who waits itself, or isn't in touch, fills nobody.
func TestRefillTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const frame, n = 64 << 10, 16
		g := task.New(context.Background())
		defer g.Stop()
		all := fleet(t, g, n, frame)
		core := all[0]
		for i := range 200 {
			core.Register(fmt.Sprint("service-", i), fmt.Sprint("w", i*7919), map[string]string{"slots": "8"})
		}
		task.Sleep(t.Context(), tick)
		ask := func(i int, at string) Refill {
			got, err := all[i].Refill(t.Context(), at)
			if err != nil {
				t.Fatal(i, at, err)
			}
			return got
		}
		if got := ask(1, "h0:1"); got.Done {
			t.Error("filled by one that isn't in touch")
		}
		sound := func(r *Replica) { r.SetCompleteUntil(time.Now().Add(time.Minute)) }
		sound(core)
		core.SetRefillPending(true)
		if got := ask(1, "h0:1"); got.Done {
			t.Error("filled by one that waits for its refill")
		}
		core.SetRefillPending(false)
		one := len(core.packed().Compact)
		var done []string
		var off []int
		var last time.Duration
		for i := 1; i < n; i++ {
			got := ask(i, "h0:1")
			if got.Done {
				done = append(done, all[i].self.InternalAddr)
				sound(all[i])
				continue
			}
			off = append(off, i)
			if got.RetryAfter < tick || got.RetryAfter > longest*tick+time.Millisecond || got.RetryAfter < last {
				t.Errorf("%d comes again after %v, the one before after %v", i, got.RetryAfter, last)
			}
			last = got.RetryAfter
			for k, at := range got.Alternatives {
				if !slices.Contains(done, at) || k > 0 && all[at[1]-'0'].self.Zone == all[i].self.Zone && all[got.Alternatives[k-1][1]-'0'].self.Zone != all[i].self.Zone {
					t.Errorf("%d of %s is told to try %v, filled were %v", i, all[i].self.Zone, got.Alternatives, done)
				}
			}
			if len(got.Alternatives) == 0 {
				t.Error("told of nobody")
			}
		}
		if sum := len(done) * one; len(done) == 0 || sum > frame/coreShare+one || len(off) == 0 {
			t.Fatalf("%d of %d filled at once, %d bytes of %d", len(done), n-1, sum, frame/coreShare)
		}
		if got := ask(off[0], done[0]); !got.Done || len(all[off[0]].m.Live(nil)) != 200 {
			t.Errorf("not filled by one that was: %+v", got)
		}
		// In its turn each comes through.
		for _, i := range off[1:] {
			for try := 0; !ask(i, "h0:1").Done; try++ {
				if try > n {
					t.Fatalf("%d is put off for ever", i)
				}
				task.Sleep(t.Context(), tick)
			}
		}
	})
}

// TestBusyMend: who has handed out its part in this beat is not compared with,
// and says so; a beat later it is.
func TestBusyMend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := task.New(context.Background())
		defer g.Stop()
		all := fleet(t, g, 2, 64<<10)
		all[0].Register("s", "w", nil)
		all[0].RecordRefillBytes(64 << 10 / coreShare)
		if err := all[1].Repair(t.Context(), "h0:1"); err != errBusy {
			t.Error(err)
		}
		task.Sleep(t.Context(), tick)
		if err := all[1].Repair(t.Context(), "h0:1"); err != nil || len(all[1].Lookup("s")) != 1 {
			t.Error(err, all[1].Lookup("s"))
		}
	})
}

// TestRefillFromBefore: one of an earlier version, which knows no turns, fills.
func TestRefillFromBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := task.New(context.Background())
		defer g.Stop()
		road := &transport.LocalNet{Network: transport.NewLocalNetwork(func(string, string) time.Duration { return time.Millisecond })}
		node := func(h string) *transport.Node {
			w := transport.NewNode(transport.Hello{ClusterID: "m", Node: h, Zone: "x"}, env.Env{Net: road, Log: event.New(h, nil), WallClock: time.Now}, g, 1<<20, 8, 5*tick)
			if err := w.Listen(h + ":1"); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(w.Close)
			return w
		}
		old := node("old")
		transport.Handle(old, "replica.all", func(context.Context, transport.Hello, allAsk) (ormap.Delta, error) {
			return ormap.Delta{Adds: []ormap.Entry{{Dot: ormap.Dot{Node: "o#1"}, Service: "s", Worker: "w", Owner: "o"}}}, nil
		})
		r := New(membership.Member{Node: "n", InternalAddr: "n:1"}, node("n"), g, event.New("n", nil), hlc.New(time.Now, time.Minute), tick, time.Hour, time.Minute)
		if got, err := r.Refill(t.Context(), "old:1"); err != nil || !got.Done || len(r.Lookup("s")) != 1 {
			t.Error(got, err, r.Lookup("s"))
		}
	})
}
