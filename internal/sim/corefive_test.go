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

// startFive starts a control plane of five voters that tolerates two losses, and returns it
// with acknowledged writes.
func startFive(t *testing.T, seed uint64) (*lab, map[string]uint64) {
	l := newLab(t, seed, 5, 2)
	l.from = time.Now()
	l.up()
	l.Until(4*time.Second, "all machines are members", func() bool { return l.settled(5) })
	l.Stores["founding"] = false
	Wait(time.Second)
	return l, l.marks(25)
}

// pickTwo draws two voters, with the leader among them for even seeds.
func (l *lab) pickTwo(rnd *rand.Rand, seed uint64) (picked []*Core) {
	leader := l.mark(l.Writer())
	all := slices.Clone(l.Cores)
	rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if seed%2 == 0 {
		picked = append(picked, leader)
	}
	for _, c := range all {
		if c != leader && c.Store != nil && len(picked) < 2 {
			picked = append(picked, c)
		}
	}
	return picked
}

// fiveFaults are the ways in which five voters lose two at once, or all for a moment. Each
// function returns when the machines or their replacements are running.
var fiveFaults = []struct {
	name  string
	bound time.Duration // on the time until the next write
	do    func(l *lab, rnd *rand.Rand, seed uint64, expected map[string]uint64)
}{
	{"two lost while an empty one joins", 2500 * time.Millisecond, func(l *lab, rnd *rand.Rand, seed uint64, _ map[string]uint64) {
		two := l.pickTwo(rnd, seed)
		l.KillCore(two[0], true)
		Wait(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		l.BackCore(l.fresh(two[0]))
		// At a random point of the new machine's way from empty to voter.
		Wait(time.Duration(rnd.IntN(1200)) * time.Millisecond)
		l.KillCore(two[1], true)
		l.BackCore(l.fresh(two[1]))
	}},
	{"both replaced at new addresses", 2 * time.Second, func(l *lab, rnd *rand.Rand, seed uint64, _ map[string]uint64) {
		for _, c := range l.pickTwo(rnd, seed) {
			l.Net.Isolate(c.Host, true)
			l.KillCore(c, true)
			l.BackCore(l.fresh(c))
		}
	}},
	{"two wiped, all others without power", 2500 * time.Millisecond, func(l *lab, rnd *rand.Rand, seed uint64, expected map[string]uint64) {
		two := l.pickTwo(rnd, seed)
		// Acknowledged just before, at a machine whose disk is lost.
		if rev := l.put(two[0], "last", "last"); rev > 0 {
			expected["last"] = rev
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
	{"all killed, back within a second", 500 * time.Millisecond, func(l *lab, rnd *rand.Rand, _ uint64, expected map[string]uint64) {
		if rev := l.put(l.Cores[rnd.IntN(5)], "last", "last"); rev > 0 {
			expected["last"] = rev
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

// TestFiveVotersTolerateTwoLosses checks each way in which two of five voters are lost.
// Writes continue within a bound, numbers only rise, no acknowledged write is lost, and
// five machines vote again shortly after catch_up_ms.
func TestFiveVotersTolerateTwoLosses(t *testing.T) {
	heavy(t)
	for i, fault := range fiveFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(6) {
				synctest.Test(t, func(t *testing.T) {
					l, expected := startFive(t, 760+10*uint64(i)+seed)
					defer l.Stop()
					defer func() {
						if t.Failed() {
							t.Log(seed, l.places())
							l.tell(t, 12*time.Second)
						}
					}()
					rnd := rand.New(rand.NewPCG(seed, uint64(i)))
					stopCounting := l.counts(rand.New(rand.NewPCG(seed, 8)))
					fault.do(l, rnd, seed, expected)
					elapsed := l.next(8 * time.Second)
					restored := l.Until(6*time.Second, "five machines vote again", func() bool { return l.settled(5) })
					t.Logf("seed %d: the next write after %v, five machines vote %v later", seed, elapsed.Round(time.Millisecond), restored.Round(time.Millisecond))
					if elapsed > fault.bound {
						t.Errorf("no write succeeded for %v", elapsed)
					}
					Wait(time.Second)
					stopCounting()
					l.holds(expected)
				})
			}
		})
	}
}

// partition cuts a minority off from the other machines, or joins them again.
func (l *lab) partition(minority []*Core, on bool) {
	for _, a := range minority {
		for _, b := range l.Cores {
			if !slices.Contains(minority, b) {
				l.Net.Cut(a.Host, b.Host, on)
				l.Net.Cut(b.Host, a.Host, on)
			}
		}
	}
}

// TestFiveVotersPartitioned splits five voters into two and three, with the leader on
// either side, while callers reach both. The majority continues. The minority acknowledges
// nothing and returns no stale values. No write that either side refused ever becomes
// visible.
func TestFiveVotersPartitioned(t *testing.T) {
	heavy(t)
	for seed := range seeds(6) {
		synctest.Test(t, func(t *testing.T) {
			l, expected := startFive(t, 820+seed)
			defer l.Stop()
			rnd := rand.New(rand.NewPCG(seed, 4))
			minority := l.pickTwo(rnd, seed)
			l.partition(minority, true)
			Wait(2 * time.Second)
			var mu sync.Mutex
			var pending sync.WaitGroup
			refused, minorityAnswers, majorityAnswers := map[string]bool{}, 0, 0
			for i := range 150 {
				for j, c := range l.Cores {
					pending.Add(1)
					l.g.Go("cut-put", func(context.Context) {
						defer pending.Done()
						key := fmt.Sprintf("cut%d-%d", j, i)
						code, got := l.Ask("PUT", c.Host+":7003", "/puffin/keys/"+key+"?left_ms=900", fmt.Sprintf(`{"value":%q}`, key))
						oldStatus, _ := l.Get(c.Host+":7003", "/puffin/keys/mark1?left_ms=900")
						mu.Lock()
						defer mu.Unlock()
						rev, _ := got["rev"].(float64)
						switch inMinority := slices.Contains(minority, c); {
						case inMinority && (code == 200 || oldStatus == 200):
							minorityAnswers++
						case code == 200:
							majorityAnswers++
							expected[key] = uint64(rev)
						case code == 503 || code == 429:
							refused[key] = true
						}
					})
				}
				Wait(20 * time.Millisecond)
			}
			pending.Wait()
			l.partition(minority, false)
			elapsed := l.next(4 * time.Second)
			t.Logf("seed %d: the majority answered %d, the minority %d, %d were refused; the next write %v after the partition", seed, majorityAnswers, minorityAnswers, len(refused), elapsed.Round(time.Millisecond))
			if minorityAnswers > 0 || majorityAnswers < 440 || len(refused) < 100 {
				t.Errorf("the minority answered %d, the majority %d of 450, %d were refused", minorityAnswers, majorityAnswers, len(refused))
			}
			l.Until(4*time.Second, "all stores are ready", func() bool { return l.settled(5) })
			for key := range refused {
				if code, got := l.Get(l.Cores[0].Host+":7003", "/puffin/keys/"+key); code != 404 {
					t.Errorf("%s was refused, but is visible: %d %v", key, code, got)
				}
			}
			l.holds(expected)
		})
	}
}
