package plumtree

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// gaps plays a piece of news in a mesh where each fourth node loses what comes to
// it whole until it asks, and gives the time until all have it. A version that
// only looks at each tick has no Late.
func gaps(t *testing.T, late bool) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		const wait = time.Second
		type due struct {
			at time.Time
			do func()
		}
		var todo []due
		in := func(d time.Duration, do func()) { todo = append(todo, due{time.Now().Add(d), do}) }
		m := newMesh(24, 2)
		i := 0
		for _, x := range m.trees {
			b := Batching{RequestFlush: func() { in(wait/8, x.Flush) }}
			if late {
				b.RequestGraft = func() { in(wait/2, x.Graft) }
			}
			x.SetBatching(b)
			// Nodes tick each at a time of its own.
			var tick func()
			tick = func() { x.Tick(); in(wait, tick) }
			in(time.Duration(i)*wait/24, tick)
			i++
		}
		play := func(until func() bool, most time.Duration) {
			for end := time.Now().Add(most); !until() && time.Now().Before(end); {
				at := 0
				for k := range todo {
					if todo[k].at.Before(todo[at].at) {
						at = k
					}
				}
				next := todo[at]
				todo = append(todo[:at], todo[at+1:]...)
				<-time.After(time.Until(next.at))
				next.do()
				m.settle()
			}
		}
		never := func() bool { return false }
		for k := range 40 {
			m.trees[fmt.Sprint(k%24)].Broadcast(fmt.Sprint("x", k), []byte(fmt.Sprint("x", k)))
			m.settle()
			play(never, wait/4)
		}
		play(never, 4*wait)
		asked := map[string]bool{}
		m.lose = func(from, to string) bool {
			if m.last.Kind == "graft" {
				asked[from] = true
			}
			var at int
			_, _ = fmt.Sscan(to, &at)
			// Who has eager links alone hears no name, and is left to repair.
			return m.last.Kind == "gossip" && at%4 == 1 && !asked[to] && len(m.trees[to].lazy) > 1
		}
		m.trees["0"].Broadcast("z", []byte("z"))
		m.settle()
		all := func() bool {
			n := 0
			for _, got := range m.got {
				n += got["z"]
			}
			return n == len(m.trees)-1
		}
		if all() {
			t.Fatal("nothing was lost: the test shows nothing")
		}
		from := time.Now()
		play(all, time.Minute)
		took = time.Since(from)
	})
	return took
}

// TestGraftSoon: what the tree loses is there within half a wait for each gap on
// its way, and the time in which names go out; looks at ticks alone take longer.
func TestGraftSoon(t *testing.T) {
	var was, now time.Duration
	for range 25 {
		was, now = was+gaps(t, false)/25, now+gaps(t, true)/25
	}
	t.Logf("there after %v, with looks at ticks alone after %v", now, was)
	if now*4 > was*3 || now > 2*time.Second {
		t.Errorf("there after %v, with looks at ticks alone after %v", now, was)
	}
}
