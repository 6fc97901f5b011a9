package plumtree

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// timeToRepair plays a piece of news in a mesh where each fourth node loses what comes to
// it whole until it asks, and gives the time until all have it. A version that
// only looks at each tick has no Late.
func timeToRepair(t *testing.T, withGraft bool) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		const wait = time.Second
		type timer struct {
			index time.Time
			do    func()
		}
		var timers []timer
		schedule := func(d time.Duration, do func()) { timers = append(timers, timer{time.Now().Add(d), do}) }
		m := newCluster(24, 2)
		started := 0
		for _, tree := range m.trees {
			b := Batching{RequestFlush: func() { schedule(wait/8, tree.Flush) }}
			if withGraft {
				b.RequestGraft = func() { schedule(wait/2, tree.Graft) }
			}
			tree.SetBatching(b)
			// Nodes tick each at a time of its own.
			var tick func()
			tick = func() { tree.Tick(); schedule(wait, tick) }
			schedule(time.Duration(started)*wait/24, tick)
			started++
		}
		runUntil := func(done func() bool, limit time.Duration) {
			for end := time.Now().Add(limit); !done() && time.Now().Before(end); {
				index := 0
				for k := range timers {
					if timers[k].index.Before(timers[index].index) {
						index = k
					}
				}
				next := timers[index]
				timers = append(timers[:index], timers[index+1:]...)
				<-time.After(time.Until(next.index))
				next.do()
				m.settle()
			}
		}
		never := func() bool { return false }
		for k := range 40 {
			m.trees[fmt.Sprint(k%24)].Broadcast(fmt.Sprint("x", k), []byte(fmt.Sprint("x", k)))
			m.settle()
			runUntil(never, wait/4)
		}
		runUntil(never, 4*wait)
		grafted := map[string]bool{}
		m.drop = func(from, to string) bool {
			if m.last.Kind == "graft" {
				grafted[from] = true
			}
			var index int
			_, _ = fmt.Sscan(to, &index)
			// Who has eager links alone hears no name, and is left to repair.
			return m.last.Kind == "gossip" && index%4 == 1 && !grafted[to] && len(m.trees[to].lazy) > 1
		}
		m.trees["0"].Broadcast("z", []byte("z"))
		m.settle()
		all := func() bool {
			n := 0
			for _, got := range m.received {
				n += got["z"]
			}
			return n == len(m.trees)-1
		}
		if all() {
			t.Fatal("nothing was lost: the test shows nothing")
		}
		from := time.Now()
		runUntil(all, time.Minute)
		took = time.Since(from)
	})
	return took
}

// TestGraftBeforeTick: what the tree loses is there within half a wait for each gap on
// its way, and the time in which names go out; looks at ticks alone take longer.
func TestGraftBeforeTick(t *testing.T) {
	var ticksOnly, scheduled time.Duration
	for range 25 {
		ticksOnly, scheduled = ticksOnly+timeToRepair(t, false)/25, scheduled+timeToRepair(t, true)/25
	}
	t.Logf("there after %v, with looks at ticks alone after %v", scheduled, ticksOnly)
	if scheduled*4 > ticksOnly*3 || scheduled > 2*time.Second {
		t.Errorf("there after %v, with looks at ticks alone after %v", scheduled, ticksOnly)
	}
}
