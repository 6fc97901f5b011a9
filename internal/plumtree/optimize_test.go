package plumtree

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// measureTree broadcasts 180 items from random nodes of a cluster whose links form a ring
// with chords. It returns the most hops and the mean number of eager sends per item of the
// last 30, and how many deliveries of any item needed a tick. Nodes of an older version
// send no hop counts.
func measureTree(t *testing.T, olderVersion bool) (maxHops int, sends float64, undelivered int) {
	synctest.Test(t, func(t *testing.T) {
		const n = 150
		c := newCluster(n, 1)
		for i := range n {
			var links []string
			for _, d := range []int{1, 5, 25} {
				links = append(links, fmt.Sprint((i+d)%n), fmt.Sprint((i+n-d)%n))
			}
			c.trees[fmt.Sprint(i)].SetNeighbors(links)
			c.trees[fmt.Sprint(i)].SetBatching(Batching{})
		}
		rnd := rand.New(rand.NewPCG(5, 8))
		// Prefer recently sent messages, as if some links were much slower than others.
		settle := func() {
			for len(c.queue) > 0 {
				i := len(c.queue) - 1 - rnd.IntN(min(len(c.queue), 8))
				next := c.queue[i]
				c.queue = append(c.queue[:i], c.queue[i+1:]...)
				if olderVersion && next.message.Kind == "ihave" {
					next.message.Round = 0
				}
				c.trees[next.to].Receive(next.message)
			}
		}
		var sentBefore int64
		for k := range 180 {
			if k == 150 {
				for _, tree := range c.trees {
					tree.MaxHops()
					sentBefore += tree.Stats.Eager
				}
			}
			id := fmt.Sprint("x", k)
			c.trees[fmt.Sprint(rnd.IntN(n))].Broadcast(id, []byte(id))
			settle()
			undelivered-- // its source has it
			for _, got := range c.received {
				if got[id] == 0 {
					undelivered++
				}
			}
			<-time.After(700 * time.Millisecond)
			for _, tree := range c.trees {
				tree.Tick()
			}
			settle()
		}
		for name, tree := range c.trees {
			maxHops = max(maxHops, tree.MaxHops())
			sends += float64(tree.Stats.Eager)
			for k := range 180 {
				if c.received[name][fmt.Sprint("x", k)] > 1 {
					t.Errorf("node %s got item %d twice", name, k)
				}
			}
		}
		sends = (sends - float64(sentBefore)) / 30
	})
	return maxHops, sends, undelivered
}

// TestOptimizedTree compares trees with and without hop counts in announcements. With them
// the tree is shallower, needs no more sends, and delivers all items without a tick.
func TestOptimizedTree(t *testing.T) {
	hopsBefore, sendsBefore, _ := measureTree(t, true)
	hops, sends, undelivered := measureTree(t, false)
	t.Logf("%d hops and %.1f sends per item, without hop counts %d and %.1f", hops, sends, hopsBefore, sendsBefore)
	if hops*3 > hopsBefore*2 || sends > sendsBefore*1.05 || undelivered > 0 {
		t.Errorf("%d hops, without hop counts %d; %.1f sends, without %.1f; %d not delivered at once", hops, hopsBefore, sends, sendsBefore, undelivered)
	}
}

// TestOptimizeAnnouncedFirst checks that an announcement that arrives before the item also
// leads to a link swap, and that the item is not sent to the peer that announced it, which
// would prune the new link.
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
		// Nodes of an older version send no hops; two more hops are tolerated.
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
	// At most one link is swapped between two ticks.
	sent = nil
	tree.Receive(Message{Kind: "ihave", From: "far", IDs: []string{"d"}, Round: 1})
	tree.Receive(Message{Kind: "gossip", From: "near", ID: "d", Round: 9, Body: []byte("d")})
	if len(sent) != 1 || sent[0].to != "child" {
		t.Errorf("%v", sent)
	}
}
