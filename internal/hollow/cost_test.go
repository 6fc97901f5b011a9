package hollow

import (
	"testing"
	"testing/synctest"
	"time"
)

// figures runs some acts of a mesh and gives what they measured.
func figures(t *testing.T, p Plan, n int, acts ...func(*Gauge) error) map[string]float64 {
	got := map[string]float64{}
	synctest.Test(t, func(t *testing.T) {
		m, err := New(p.Of(n))
		if err != nil {
			t.Fatal(err)
		}
		defer m.Stop()
		g := NewGauge(m, 1)
		for _, act := range append([]func(*Gauge) error{(*Gauge).start, (*Gauge).still}, acts...) {
			if err := act(g); err != nil {
				t.Fatal(err)
			}
		}
		for _, r := range g.rows {
			got[r.Part+" "+r.Name] = r.Value
		}
	})
	return got
}

// TestControlTalk: what a control node says and hears in the calm for each other
// one is some 300 B/s at most with beats of 0.7 s; it was 750, a word to each
// at each beat with nothing new in it.
func TestControlTalk(t *testing.T) {
	const name = "calm bytes in and out, each control node"
	var got []float64
	for _, n := range []int{60, 180} {
		all := figures(t, Plan{Areas: 5, Each: 20, Change: 7 * time.Second}, n)
		got = append(got, all[name])
		// While they still find each other each beat brings a word.
		if s := all["start all start at once: until all know all"]; s > 4 {
			t.Errorf("%d nodes know all after %.2f s", n, s)
		}
	}
	per := (got[1] - got[0]) / 6
	t.Logf("%.0f B/s with 3 and 9, %.0f for each other", got, per)
	if per > 400 {
		t.Errorf("%.0f B/s for each other control node", per)
	}
}

// TestCutCost: after a cut of regions each node is told who is back, packed:
// some 20 bytes for each; it was 135.
func TestCutCost(t *testing.T) {
	const areas, cores = 5, 3
	var got, pairs []float64
	for _, n := range []float64{120, 240} {
		got = append(got, figures(t, Plan{Areas: areas, Each: 686, Change: 7 * time.Second}, int(n), (*Gauge).region)["region bytes in and out after it, each control node"])
		pairs = append(pairs, n/cores*n/areas)
	}
	per := (got[1] - got[0]) / (pairs[1] - pairs[0])
	t.Logf("%.0f B at a control node, %.1f for each session and each node that was away", got, per)
	if per > 60 {
		t.Errorf("%.1f B for each session and each node that was away", per)
	}
}

// TestManyControl: nodes that are given three control nodes of twelve, and
// control nodes that are given nine, come to know all.
func TestManyControl(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, err := New(Plan{Areas: 5, Each: 4, Change: 2 * time.Second}.Of(48))
		if err != nil {
			t.Fatal(err)
		}
		defer m.Stop()
		if err := m.Start(); err != nil {
			t.Fatal(err)
		}
		wait(2 * m.S.Change)
		for _, h := range m.nodes {
			if n := len(h.touch.Core()); n != 12 {
				t.Errorf("%s knows %d control nodes of 12", h.name, n)
			}
		}
	})
}

// TestControlEnds: the sessions of a control node that ends are elsewhere within
// two beats, four if its machine says nothing more, a change of that moment is in
// force as soon, and within five of seven seconds it is on nobody's list; it was
// on all lists for 7.1 to 8.4 s, as long as the sessions that it told of.
func TestControlEnds(t *testing.T) {
	const change = 7 * time.Second
	got := figures(t, Plan{Areas: 5, Each: 20, Change: change}, 80, (*Gauge).ended, (*Gauge).dark)
	const beat = float64(change) / float64(10*time.Second)
	for name, most := range map[string]float64{
		"control all sessions elsewhere after":                            2 * beat,
		"control a change of that moment in force at the last node after": 2 * beat,
		"control its end known everywhere after":                          7 * beat,
		"dark all sessions elsewhere after":                               4 * beat,
		"dark a change of that moment in force at the last node after":    4 * beat,
		"dark its end known everywhere after":                             7 * beat,
		"control most sessions of one control node then, of the mean":     2,
		"dark most sessions of one control node then, of the mean":        2,
	} {
		v, ok := got[name]
		t.Logf("%s: %.2f", name, v)
		if !ok || v <= 0 || v > most {
			t.Errorf("%s: %.2f of %.2f", name, v, most)
		}
	}
}

// TestCrowd: when a quarter of the mesh starts again at the same time, and a
// refill is more than half of what a control node hands out within a beat, all
// are filled within ten beats, mostly by fellows that were filled before them,
// and nobody hands out more than its part; the control nodes did all of it.
func TestCrowd(t *testing.T) {
	const change, frame, nodes = 7 * time.Second, 64 << 10, 160
	got := figures(t, Plan{Areas: 5, Each: 686, Change: change, Frame: frame}, nodes, (*Gauge).crowd)
	one := got["crowd bytes of all refills, for each that came back"]
	beats := got["crowd all filled after"] / (float64(change) / float64(10*time.Second))
	for name, most := range map[string]float64{
		"crowd all filled after":                              float64(change) / float64(time.Second),
		"crowd known everywhere again after":                  2 * float64(change) / float64(time.Second),
		"crowd part of them from control nodes":               0.6,
		"crowd most bytes of refills out of one registry":     (beats+1)*frame/16 + one,
		"crowd most bytes of refills out of one proxy":        (beats+1)*frame/64 + one,
		"crowd bytes of all refills, for each that came back": 30 * nodes,
	} {
		v, ok := got[name]
		t.Logf("%s: %.2f of %.2f", name, v, most)
		if !ok || v <= 0 || v > most {
			t.Errorf("%s: %.2f of %.2f", name, v, most)
		}
	}
}
