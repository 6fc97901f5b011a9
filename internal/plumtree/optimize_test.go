package plumtree

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// measureTree plays 180 pieces of news from anywhere in a mesh of rings with chords and
// gives the most hops of the last 30, the mean of eager sends for a piece and how
// many did not come at once. An older version says nothing of hops.
func measureTree(t *testing.T, olderVersion bool) (maxHops int, sends float64, late int) {
	synctest.Test(t, func(t *testing.T) {
		const n = 150
		m := newCluster(n, 1)
		for i := range n {
			var links []string
			for _, d := range []int{1, 5, 25} {
				links = append(links, fmt.Sprint((i+d)%n), fmt.Sprint((i+n-d)%n))
			}
			m.trees[fmt.Sprint(i)].SetNeighbors(links)
			m.trees[fmt.Sprint(i)].SetBatching(Batching{})
		}
		rnd := rand.New(rand.NewPCG(5, 8))
		// What was sent last comes first, as where some links are much longer than others.
		settle := func() {
			for len(m.queue) > 0 {
				i := len(m.queue) - 1 - rnd.IntN(min(len(m.queue), 8))
				message := m.queue[i]
				m.queue = append(m.queue[:i], m.queue[i+1:]...)
				if olderVersion && message.message.Kind == "ihave" {
					message.message.Round = 0
				}
				m.trees[message.to].Receive(message.message)
			}
		}
		var sentBefore int64
		for k := range 180 {
			if k == 150 {
				for _, tree := range m.trees {
					tree.MaxHops()
					sentBefore += tree.Count.Eager
				}
			}
			id := fmt.Sprint("x", k)
			m.trees[fmt.Sprint(rnd.IntN(n))].Broadcast(id, []byte(id))
			settle()
			late-- // its source
			for _, got := range m.received {
				if got[id] == 0 {
					late++
				}
			}
			<-time.After(700 * time.Millisecond)
			for _, tree := range m.trees {
				tree.Tick()
			}
			settle()
		}
		for name, tree := range m.trees {
			maxHops = max(maxHops, tree.MaxHops())
			sends += float64(tree.Count.Eager)
			for k := range 180 {
				if m.received[name][fmt.Sprint("x", k)] > 1 {
					t.Errorf("%s had piece %d twice", name, k)
				}
			}
		}
		sends = (sends - float64(sentBefore)) / 30
	})
	return maxHops, sends, late
}

// TestOptimizedTree: with hops told along with names the tree turns shallow, costs no
// more sends, and all pieces come at once; against a version that tells none.
func TestOptimizedTree(t *testing.T) {
	hopsBefore, sendsBefore, _ := measureTree(t, true)
	hops, sends, late := measureTree(t, false)
	t.Logf("%d hops and %.1f sends a piece, before %d and %.1f", hops, sends, hopsBefore, sendsBefore)
	if hops*3 > hopsBefore*2 || sends > sendsBefore*1.05 || late > 0 {
		t.Errorf("%d hops of %d, %.1f sends of %.1f, %d late", hops, hopsBefore, sends, sendsBefore, late)
	}
}

// TestOptimizeAnnouncedFirst: a name that comes before its piece counts as well, and who
// named the piece isn't sent it, which would undo the exchange.
func TestOptimizeAnnouncedFirst(t *testing.T) {
	var sent []outgoing
	tree := New("me", time.Second, time.Minute, func(to string, m Message) { sent = append(sent, outgoing{to, m}) },
		func([]byte) bool { return true }, func(string) bool { return false })
	tree.SetNeighbors([]string{"far", "near", "child"})
	tree.Receive(Message{Kind: "prune", From: "near"})
	for _, c := range []struct {
		id                   string
		announcedHops, round int
		want                 string
	}{
		// An older node names without hops; two hops more are borne.
		{"a", 0, 9, "gossip to child"}, {"b", 4, 6, "gossip to child"},
		{"c", 4, 7, "graft to near, prune to far, gossip to child"},
	} {
		sent = nil
		tree.Receive(Message{Kind: "ihave", From: "near", IDs: []string{c.id}, Round: c.announcedHops})
		tree.Receive(Message{Kind: "gossip", From: "far", ID: c.id, Round: c.round, Body: []byte(c.id)})
		got := ""
		for i, o := range sent {
			if i > 0 {
				got += ", "
			}
			got += o.message.Kind + " to " + o.to
		}
		if got != c.want {
			t.Errorf("%s: %s, want %s", c.id, got, c.want)
		}
	}
	// One link only is exchanged between two ticks.
	sent = nil
	tree.Receive(Message{Kind: "ihave", From: "far", IDs: []string{"d"}, Round: 1})
	tree.Receive(Message{Kind: "gossip", From: "near", ID: "d", Round: 9, Body: []byte("d")})
	if len(sent) != 1 || sent[0].to != "child" {
		t.Errorf("%v", sent)
	}
}
