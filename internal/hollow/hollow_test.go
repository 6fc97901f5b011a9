package hollow

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/sim"
	"puffincrank/internal/task"
	"puffincrank/internal/wire"
)

// TestSmall: a small hollow mesh goes through every act, and the figures say
// what must be so of any size.
func TestSmall(t *testing.T) {
	p := Plan{Areas: 5, Each: 20, Change: 2 * time.Second, Seed: 1, Say: func(s string) { t.Log(s) }}
	r := p.One(t, 40)
	if r.Err != nil {
		t.Fatal(r.Err)
	}
	got := map[string]float64{}
	for _, w := range r.Rows {
		t.Logf("%-8s %-60s %14.3f %s", w.Part, w.Name, w.Value, w.Unit)
		got[w.Part+" "+w.Name] = w.Value
	}
	for name, in := range map[string][2]float64{
		"calm messages out, each node":                {5, 8},             // a beat is a tenth of 2 s
		"calm bytes in and out, each node":            {500, 28000},       // the bound of the target
		"restart bytes of the refill":                 {40 * 10, 40 * 60}, // packed; 160 an entry when it is not
		"restart gossip messages, each node":          {1, 20},
		"restart known at the last node after":        {0.001, 2},
		"restart hops to the furthest node":           {1, 20},
		"change in force at the last node after":      {0.001, 2},
		"zone retired everywhere after":               {10, 20},
		"zone known everywhere again after":           {0.1, 15},
		"control all sessions elsewhere after":        {0.001, 6},
		"region known everywhere again after":         {0.001, 15},
		"start all start at once: until all know all": {0.1, 15},
	} {
		if v, ok := got[name]; !ok || v < in[0] || v > in[1] {
			t.Errorf("%s: %v is not within %v", name, v, in)
		}
	}
}

// TestRestartCost: what a restart costs each other node in beats, lists of
// members and gossip doesn't grow with the mesh; it was the whole list for each,
// and all that the restarted node was told, told to all again.
func TestRestartCost(t *testing.T) {
	got := map[string][]float64{}
	for _, n := range []int{40, 160} {
		synctest.Test(t, func(t *testing.T) {
			m, err := New(Plan{Areas: 5, Each: 686, Change: 2 * time.Second}.Of(n))
			if err != nil {
				t.Fatal(err)
			}
			defer m.Stop()
			g := NewGauge(m, 1)
			for _, act := range []func() error{g.start, g.still, g.restarts} {
				if err := act(); err != nil {
					t.Fatal(err)
				}
			}
			for _, r := range g.rows {
				if r.Part == "restart" {
					got[r.Name] = append(got[r.Name], r.Value)
				}
			}
		})
	}
	for _, name := range []string{"bytes of beats and lists, each node", "bytes in and out, each node", "gossip messages, each node"} {
		each := got[name]
		t.Logf("%s at a restart: %.0f", name, each)
		if len(each) != 2 || each[1] > 1.5*each[0]+100 {
			t.Errorf("%s: %.0f grows with the mesh", name, each)
		}
	}
}

// TestStartCost: what a start of all at once costs each node grows by little
// more than the copy of the map that it must get, of 160 B an entry; it was 23
// copies, since each piece went over nearly every link, whole.
func TestStartCost(t *testing.T) {
	var got []float64
	sizes := []int{40, 160}
	for _, n := range sizes {
		synctest.Test(t, func(t *testing.T) {
			m, err := New(Plan{Areas: 5, Each: 686, Change: 2 * time.Second}.Of(n))
			if err != nil {
				t.Fatal(err)
			}
			defer m.Stop()
			g := NewGauge(m, 1)
			if err := g.start(); err != nil {
				t.Fatal(err)
			}
			for _, r := range g.rows {
				if r.Name == "bytes in and out, each node" {
					got = append(got, r.Value)
				}
			}
		})
	}
	per := (got[1] - got[0]) / float64(sizes[1]-sizes[0])
	t.Logf("%.0f B, %.0f for each more node", got, per)
	if per > 3*160 {
		t.Errorf("%.0f B at each node for each other", per)
	}
}

type word struct {
	Say string `msgpack:"s"`
}

// TestRoad: the same words over links and over the road are the same frames
// and bytes, with the same errors.
func TestRoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sums [2]map[wire.Flow]wire.Sum
		for i, over := range []string{"links", "road"} {
			net := sim.NewNet(1, time.Millisecond, time.Millisecond)
			road := wire.NewRoad(func(a, b string) time.Duration { return time.Millisecond })
			make := func(name string) (*wire.Node, *task.Group) {
				e := env.Env{Net: net.Host(name), Wall: time.Now, Pause: task.Pause, Log: event.New(name, nil)}
				if over == "road" {
					e.Net = &wire.Paved{Net: e.Net, Road: road}
				}
				g := task.New(context.Background())
				return wire.NewNode(wire.Hello{Mesh: "m", Node: name, Area: name}, e, g, 4096, 8, time.Second), g
			}
			a, ga := make("a")
			b, gb := make("b")
			wire.On(b, "say", func(_ context.Context, from wire.Hello, in word) (word, error) {
				if in.Say == "no" {
					return word{}, fault.New(fault.Refused, "no")
				}
				return word{from.Node + " said " + in.Say}, nil
			})
			if err := b.Listen("b:1"); err != nil {
				t.Fatal(err)
			}
			_ = a.Listen("a:1")
			ctx, end := context.WithTimeout(context.Background(), 500*time.Millisecond)
			got, err := wire.Ask[word](ctx, a, "b:1", "say", word{"hello"})
			if err != nil || got.Say != "a said hello" {
				t.Fatal(over, got, err)
			}
			if _, err = wire.Ask[word](ctx, a, "b:1", "say", word{"no"}); !fault.Is(err, fault.Refused) {
				t.Error(over, err)
			}
			if _, err = wire.Ask[word](ctx, a, "b:1", "sing", word{"la"}); !fault.Is(err, fault.Refused) {
				t.Error(over, err)
			}
			if _, err = wire.Ask[word](ctx, a, "b:1", "say", word{strings.Repeat("x", 5000)}); !fault.Is(err, fault.Unsent) {
				t.Error(over, err)
			}
			if _, err = wire.Ask[word](ctx, a, "c:1", "say", word{"hello"}); !fault.Is(err, fault.Unsent) {
				t.Error(over, err)
			}
			if err = a.Cast(ctx, "b:1", "say", word{"cast"}); err != nil {
				t.Error(over, err)
			}
			end()
			synctest.Wait()
			sums[i] = a.Sizes()
			for k, v := range b.Sizes() {
				sums[i][wire.Flow{Kind: "back " + k.Kind, Away: k.Away}] = v
			}
			for _, n := range []*wire.Node{a, b} {
				n.Close()
			}
			ga.Stop()
			gb.Stop()
		}
		if len(sums[0]) < 3 {
			t.Fatal(sums[0])
		}
		for k, v := range sums[0] {
			// A refusal by name tells what it refuses in a link's own words.
			if w := sums[1][k]; w.Frames != v.Frames || max(w.Bytes-v.Bytes, v.Bytes-w.Bytes) > 64 {
				t.Errorf("%v: %v over links, %v over the road", k, v, w)
			}
		}
	})
}
