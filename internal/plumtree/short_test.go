package plumtree

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// depth plays 180 pieces of news from anywhere in a mesh of rings with chords and
// gives the most hops of the last 30, the mean of eager sends for a piece and how
// many did not come at once. An older version says nothing of hops.
func depth(t *testing.T, old bool) (most int, sends float64, late int) {
	synctest.Test(t, func(t *testing.T) {
		const n = 150
		m := newMesh(n, 1)
		for i := range n {
			var links []string
			for _, d := range []int{1, 5, 25} {
				links = append(links, fmt.Sprint((i+d)%n), fmt.Sprint((i+n-d)%n))
			}
			m.trees[fmt.Sprint(i)].SetNeighbors(links)
			m.trees[fmt.Sprint(i)].SetBatching(Batching{})
		}
		dice := rand.New(rand.NewPCG(5, 8))
		// What was sent last comes first, as where some links are much longer than others.
		settle := func() {
			for len(m.q) > 0 {
				i := len(m.q) - 1 - dice.IntN(min(len(m.q), 8))
				o := m.q[i]
				m.q = append(m.q[:i], m.q[i+1:]...)
				if old && o.m.Kind == "ihave" {
					o.m.Round = 0
				}
				m.trees[o.to].Receive(o.m)
			}
		}
		var before int64
		for k := range 180 {
			if k == 150 {
				for _, x := range m.trees {
					x.MaxHops()
					before += x.Count.Eager
				}
			}
			id := fmt.Sprint("x", k)
			m.trees[fmt.Sprint(dice.IntN(n))].Broadcast(id, []byte(id))
			settle()
			late-- // its source
			for _, got := range m.got {
				if got[id] == 0 {
					late++
				}
			}
			<-time.After(700 * time.Millisecond)
			for _, x := range m.trees {
				x.Tick()
			}
			settle()
		}
		for at, x := range m.trees {
			most = max(most, x.MaxHops())
			sends += float64(x.Count.Eager)
			for k := range 180 {
				if m.got[at][fmt.Sprint("x", k)] > 1 {
					t.Errorf("%s had piece %d twice", at, k)
				}
			}
		}
		sends = (sends - float64(before)) / 30
	})
	return most, sends, late
}

// TestDetour: with hops told along with names the tree turns shallow, costs no
// more sends, and all pieces come at once; against a version that tells none.
func TestDetour(t *testing.T) {
	was, cost, _ := depth(t, true)
	now, price, late := depth(t, false)
	t.Logf("%d hops and %.1f sends a piece, before %d and %.1f", now, price, was, cost)
	if now*3 > was*2 || price > cost*1.05 || late > 0 {
		t.Errorf("%d hops of %d, %.1f sends of %.1f, %d late", now, was, price, cost, late)
	}
}

// TestDetourNamed: a name that comes before its piece counts as well, and who
// named the piece isn't sent it, which would undo the exchange.
func TestDetourNamed(t *testing.T) {
	var sent []out
	x := New("me", time.Second, time.Minute, func(to string, m Message) { sent = append(sent, out{to, m}) },
		func([]byte) bool { return true }, func(string) bool { return false })
	x.SetNeighbors([]string{"far", "near", "child"})
	x.Receive(Message{Kind: "prune", From: "near"})
	for _, c := range []struct {
		id           string
		named, round int
		want         string
	}{
		// An older node names without hops; two hops more are borne.
		{"a", 0, 9, "gossip to child"}, {"b", 4, 6, "gossip to child"},
		{"c", 4, 7, "graft to near, prune to far, gossip to child"},
	} {
		sent = nil
		x.Receive(Message{Kind: "ihave", From: "near", IDs: []string{c.id}, Round: c.named})
		x.Receive(Message{Kind: "gossip", From: "far", ID: c.id, Round: c.round, Body: []byte(c.id)})
		got := ""
		for i, o := range sent {
			if i > 0 {
				got += ", "
			}
			got += o.m.Kind + " to " + o.to
		}
		if got != c.want {
			t.Errorf("%s: %s, want %s", c.id, got, c.want)
		}
	}
	// One link only is exchanged between two ticks.
	sent = nil
	x.Receive(Message{Kind: "ihave", From: "far", IDs: []string{"d"}, Round: 1})
	x.Receive(Message{Kind: "gossip", From: "near", ID: "d", Round: 9, Body: []byte("d")})
	if len(sent) != 1 || sent[0].to != "child" {
		t.Errorf("%v", sent)
	}
}
