package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// five is a grown core of five that is to bear two, with what was acknowledged.
func five(t *testing.T, seed uint64) (*lab, map[string]uint64) {
	l := newLab(t, seed, 5, 2)
	l.from = time.Now()
	l.up()
	l.Until(4*time.Second, "all places are taken", func() bool { return l.settled(5) })
	l.Stores["founding"] = false
	Wait(time.Second)
	return l, l.marks(25)
}

// pair draws two machines that vote, the writer among them in every second seed.
func (l *lab) pair(rnd *rand.Rand, seed uint64) (out []*Core) {
	w := l.mark(l.Writer())
	all := slices.Clone(l.Cores)
	rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if seed%2 == 0 {
		out = append(out, w)
	}
	for _, c := range all {
		if c != w && c.Store != nil && len(out) < 2 {
			out = append(out, c)
		}
	}
	return out
}

// fiveActs are the ways in which a core of five loses two at once or all for a
// moment. Each gives when the machines are back, or the new ones up.
var fiveActs = []struct {
	name  string
	bound time.Duration // until the next write
	do    func(l *lab, rnd *rand.Rand, seed uint64, k map[string]uint64)
}{
	{"two lost while an empty one joins", 2500 * time.Millisecond, func(l *lab, rnd *rand.Rand, seed uint64, _ map[string]uint64) {
		two := l.pair(rnd, seed)
		l.KillCore(two[0], true)
		Wait(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		l.BackCore(l.fresh(two[0]))
		// Somewhere on its way from empty to a voter.
		Wait(time.Duration(rnd.IntN(1200)) * time.Millisecond)
		l.KillCore(two[1], true)
		l.BackCore(l.fresh(two[1]))
	}},
	{"both replaced at new addresses", 2 * time.Second, func(l *lab, rnd *rand.Rand, seed uint64, _ map[string]uint64) {
		for _, c := range l.pair(rnd, seed) {
			l.Net.Isolate(c.Host, true)
			l.KillCore(c, true)
			l.BackCore(l.fresh(c))
		}
	}},
	{"two wiped, all others without power", 2500 * time.Millisecond, func(l *lab, rnd *rand.Rand, seed uint64, k map[string]uint64) {
		two := l.pair(rnd, seed)
		// Acknowledged a moment before, at a machine whose disk goes.
		if rev := l.put(two[0], "last", "last"); rev > 0 {
			k["last"] = rev
		}
		for _, c := range l.Cores {
			l.KillCore(c, true)
			if slices.Contains(two, c) {
				c.Disk.Wipe()
			}
		}
		Wait(time.Duration(rnd.IntN(700)) * time.Millisecond)
		rnd.Shuffle(5, func(i, j int) { l.Cores[i], l.Cores[j] = l.Cores[j], l.Cores[i] })
		for _, c := range l.Cores {
			l.BackCore(c)
			Wait(time.Duration(rnd.IntN(100)) * time.Millisecond)
		}
	}},
	{"all killed, back within a second", 500 * time.Millisecond, func(l *lab, rnd *rand.Rand, _ uint64, k map[string]uint64) {
		if rev := l.put(l.Cores[rnd.IntN(5)], "last", "last"); rev > 0 {
			k["last"] = rev
		}
		for _, c := range l.Cores {
			l.KillCore(c, false)
		}
		Wait(time.Duration(200+rnd.IntN(800)) * time.Millisecond)
		for _, c := range l.Cores {
			l.BackCore(c)
		}
	}},
}

// TestFiveBear: five voters of which two may be lost at once, in each of the
// ways; writes go on within a bound, numbers only rise, nothing acknowledged
// is lost, and five vote again within catch_up_ms and a little.
func TestFiveBear(t *testing.T) {
	heavy(t)
	for i, c := range fiveActs {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(6) {
				synctest.Test(t, func(t *testing.T) {
					l, k := five(t, 760+10*uint64(i)+seed)
					defer l.Stop()
					defer func() {
						if t.Failed() {
							t.Log(seed, l.places())
							l.tell(t, 12*time.Second)
						}
					}()
					rnd := rand.New(rand.NewPCG(seed, uint64(i)))
					over := l.counts(rand.New(rand.NewPCG(seed, 8)))
					c.do(l, rnd, seed, k)
					took := l.next(8 * time.Second)
					whole := l.Until(6*time.Second, "five vote again", func() bool { return l.settled(5) })
					t.Logf("seed %d: the next write after %v, five vote %v later", seed, took.Round(time.Millisecond), whole.Round(time.Millisecond))
					if took > c.bound {
						t.Errorf("no write for %v", took)
					}
					Wait(time.Second)
					over()
					l.holds(k)
				})
			}
		})
	}
}

// cutTwo cuts the core in two.
func (l *lab) cutTwo(few []*Core, on bool) {
	for _, a := range few {
		for _, b := range l.Cores {
			if !slices.Contains(few, b) {
				l.Net.Cut(a.Host, b.Host, on)
				l.Net.Cut(b.Host, a.Host, on)
			}
		}
	}
}

// TestFiveCut: the core is cut in two and three, the writer on either side, and
// callers reach both. The three go on; the two acknowledge nothing and give no
// old values; what either turned away never shows.
func TestFiveCut(t *testing.T) {
	heavy(t)
	for seed := range seeds(6) {
		synctest.Test(t, func(t *testing.T) {
			l, k := five(t, 820+seed)
			defer l.Stop()
			rnd := rand.New(rand.NewPCG(seed, 4))
			few := l.pair(rnd, seed)
			l.cutTwo(few, true)
			Wait(2 * time.Second)
			var mu sync.Mutex
			var wait sync.WaitGroup
			denied, few200, many200 := map[string]bool{}, 0, 0
			for i := range 150 {
				for j, c := range l.Cores {
					wait.Add(1)
					l.g.Go("cut-put", func(context.Context) {
						defer wait.Done()
						key := fmt.Sprintf("cut%d-%d", j, i)
						code, got := l.Ask("PUT", c.Host+":7003", "/puffin/keys/"+key+"?left_ms=900", fmt.Sprintf(`{"value":%q}`, key))
						old, _ := l.Get(c.Host+":7003", "/puffin/keys/mark1?left_ms=900")
						mu.Lock()
						defer mu.Unlock()
						rev, _ := got["rev"].(float64)
						switch in := slices.Contains(few, c); {
						case in && (code == 200 || old == 200):
							few200++
						case code == 200:
							many200++
							k[key] = uint64(rev)
						case code == 503 || code == 429:
							denied[key] = true
						}
					})
				}
				Wait(20 * time.Millisecond)
			}
			wait.Wait()
			l.cutTwo(few, false)
			took := l.next(4 * time.Second)
			t.Logf("seed %d: %d acknowledged by the three, %d by the two, %d turned away; the next write %v after the cut", seed, many200, few200, len(denied), took.Round(time.Millisecond))
			if few200 > 0 || many200 < 440 || len(denied) < 100 {
				t.Errorf("the two answered %d, the three %d of 450, %d were turned away", few200, many200, len(denied))
			}
			l.Until(4*time.Second, "all stores are ready", func() bool { return l.settled(5) })
			for key := range denied {
				if code, got := l.Get(l.Cores[0].Host+":7003", "/puffin/keys/"+key); code != 404 {
					t.Errorf("%s was turned away, and shows: %d %v", key, code, got)
				}
			}
			l.holds(k)
		})
	}
}
