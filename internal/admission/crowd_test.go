package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/task"
)

// comer is one job of a crowd.
type comer struct {
	kind int
	at   time.Duration
	took time.Duration
}

// The kinds of a crowd: the first rank's aim is the tightest.
var (
	crowdClass = []string{"rank-0", "rank-1", "rank-2"}
	crowdShare = map[string]float64{"rank-0": 57, "rank-1": 29, "rank-2": 14}
	crowdAim   = []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond}
)

const (
	crowdSlots = 12
	crowdMid   = 100 * time.Millisecond
	crowdLong  = 30 * time.Second
)

// drawCrowd draws jobs that ask for so many times the room.
func drawCrowd(seed uint64, times float64) (out []comer) {
	r := rand.New(rand.NewPCG(seed, 71))
	gap := float64(crowdMid) / crowdSlots / times
	for at := 0.0; at < float64(crowdLong); at += r.ExpFloat64() * gap {
		kind := []int{0, 0, 0, 0, 0, 1, 1, 1, 2, 2}[r.IntN(10)]
		out = append(out, comer{kind, time.Duration(at), crowdMid/2 + time.Duration(r.Int64N(int64(crowdMid)))})
	}
	return out
}

// good is the room that ended in answers inside the aim, by kind.
type good [3]time.Duration

func (g *good) add(c comer, end time.Duration) {
	if end-c.at <= crowdAim[c.kind] {
		g[c.kind] += c.took
	}
}

func (g *good) share() float64 { return float64(g[0]+g[1]+g[2]) / float64(crowdSlots*crowdLong) }

// inOrder serves a crowd first come first served: each waits until its caller
// gives up, at four times its aim. At most so many wait; 0 is no bound.
func inOrder(all []comer, most int) (g good) {
	var free [crowdSlots]time.Duration // when each slot's last job ends
	var begins []time.Duration         // when those who wait get their turn
	for _, c := range all {
		soon := 0
		for i, f := range free {
			if f < free[soon] {
				soon = i
			}
		}
		for len(begins) > 0 && begins[0] <= c.at {
			begins = begins[1:]
		}
		from := max(free[soon], c.at)
		if from > c.at+4*crowdAim[c.kind] || most > 0 && from > c.at && len(begins) >= most {
			continue
		}
		if from > c.at {
			begins = append(begins, from)
		}
		free[soon] = from + c.took
		g.add(c, free[soon])
	}
	return g
}

// byRoom serves it by a Room, with the bounds that an owner asks for.
func byRoom(t *testing.T, all []comer) (g good) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		r.Configure(crowdSlots, crowdShare, crowdSlots)
		start := time.Now()
		var mu sync.Mutex
		var over sync.WaitGroup
		group := task.New(context.Background())
		for _, c := range all {
			task.Sleep(t.Context(), c.at-time.Since(start))
			over.Add(1)
			group.Go("job", func(ctx context.Context) {
				defer over.Done()
				aim := crowdAim[c.kind]
				a := Request{Class: crowdClass[c.kind], MaxWait: min(2*aim, aim-crowdMid), Target: aim}
				if r.Acquire(ctx, a) != Admitted {
					return
				}
				task.Sleep(ctx, c.took)
				r.Release(a, c.took)
				mu.Lock()
				g.add(c, time.Since(start))
				mu.Unlock()
			})
		}
		over.Wait()
		group.Stop()
	})
	return g
}

// TestCrowdAgainstOrder: in a crowd of twice and four times the room, the part
// of it that ends in answers inside the aim, against first come first served
// with the same jobs, and against that with a queue as long as ours.
func TestCrowdAgainstOrder(t *testing.T) {
	for _, times := range []float64{2, 4} {
		t.Run(fmt.Sprint(times, " times the room"), func(t *testing.T) {
			all := drawCrowd(uint64(times), times)
			ours, plain, short := byRoom(t, all), inOrder(all, 0), inOrder(all, crowdSlots)
			t.Logf("of the room inside the aim: ours %.3f, first come first served %.3f, with a queue of %d %.3f", ours.share(), plain.share(), crowdSlots, short.share())
			part := func(g good, k int) float64 { return float64(g[k]) / float64(crowdSlots*crowdLong) }
			for k, n := range crowdClass {
				t.Logf("%s: ours %.3f, in order %.3f, with a short queue %.3f", n, part(ours, k), part(plain, k), part(short, k))
			}
			// A short queue alone fills the room as well; ranks are what it can't give.
			if ours.share() < 0.97 || ours.share() < 5*plain.share() || ours.share() < short.share()-0.01 {
				t.Errorf("%.3f of the room inside the aim; in order %.3f and %.3f", ours.share(), plain.share(), short.share())
			}
			if part(ours, 0) < part(short, 0)*1.1 {
				t.Errorf("the first rank has %.3f, in order with a short queue %.3f", part(ours, 0), part(short, 0))
			}
		})
	}
}
