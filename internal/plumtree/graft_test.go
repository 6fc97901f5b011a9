package plumtree

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// timeToRepair broadcasts an item in a cluster where every fourth node loses items sent
// over eager links until it sends a graft, and returns the time until all nodes have the
// item. Without RequestGraft, missing items are only requested at ticks.
func timeToRepair(t *testing.T, withGraft bool) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		const graftTimeout = time.Second
		type timer struct {
			due time.Time
			do  func()
		}
		var timers []timer
		schedule := func(d time.Duration, do func()) { timers = append(timers, timer{time.Now().Add(d), do}) }
		c := newCluster(24, 2)
		started := 0
		for _, tree := range c.trees {
			b := Batching{RequestFlush: func() { schedule(graftTimeout/8, tree.Flush) }}
			if withGraft {
				b.RequestGraft = func() { schedule(graftTimeout/2, tree.Graft) }
			}
			tree.SetBatching(b)
			// The nodes tick at different times.
			var tick func()
			tick = func() { tree.Tick(); schedule(graftTimeout, tick) }
			schedule(time.Duration(started)*graftTimeout/24, tick)
			started++
		}
		runUntil := func(done func() bool, limit time.Duration) {
			for end := time.Now().Add(limit); !done() && time.Now().Before(end); {
				index := 0
				for k := range timers {
					if timers[k].due.Before(timers[index].due) {
						index = k
					}
				}
				next := timers[index]
				timers = append(timers[:index], timers[index+1:]...)
				<-time.After(time.Until(next.due))
				next.do()
				c.settle()
			}
		}
		never := func() bool { return false }
		for k := range 40 {
			c.trees[fmt.Sprint(k%24)].Broadcast(fmt.Sprint("x", k), []byte(fmt.Sprint("x", k)))
			c.settle()
			runUntil(never, graftTimeout/4)
		}
		runUntil(never, 4*graftTimeout)
		grafted := map[string]bool{}
		c.drop = func(start, to string) bool {
			if c.lastMessage.Kind == "graft" {
				grafted[start] = true
			}
			var number int
			_, _ = fmt.Sscan(to, &number)
			// A node with only eager links gets no announcement and depends on anti-entropy.
			return c.lastMessage.Kind == "gossip" && number%4 == 1 && !grafted[to] && len(c.trees[to].lazy) > 1
		}
		c.trees["0"].Broadcast("z", []byte("z"))
		c.settle()
		complete := func() bool {
			n := 0
			for _, got := range c.received {
				n += got["z"]
			}
			return n == len(c.trees)-1
		}
		if complete() {
			t.Fatal("nothing was lost: the test shows nothing")
		}
		start := time.Now()
		runUntil(complete, time.Minute)
		took = time.Since(start)
	})
	return took
}

// TestGraftBeforeTick checks that a lost item arrives within half a graft timeout for each
// gap on its path, plus the time for the announcements, and sooner than with requests at
// ticks only.
func TestGraftBeforeTick(t *testing.T) {
	var ticksOnly, scheduled time.Duration
	for range 25 {
		ticksOnly, scheduled = ticksOnly+timeToRepair(t, false)/25, scheduled+timeToRepair(t, true)/25
	}
	t.Logf("delivered after %v, with requests at ticks only after %v", scheduled, ticksOnly)
	if scheduled*4 > ticksOnly*3 || scheduled > 2*time.Second {
		t.Errorf("delivered after %v, with requests at ticks only after %v", scheduled, ticksOnly)
	}
}
