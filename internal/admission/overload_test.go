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

// arrival is one job of a crowd.
type arrival struct {
	classIndex int
	at         time.Duration
	runTime    time.Duration
}

// The kinds of a crowd: the first rank's aim is the tightest.
var (
	overloadClasses = []string{"rank-0", "rank-1", "rank-2"}
	overloadShares  = map[string]float64{"rank-0": 57, "rank-1": 29, "rank-2": 14}
	overloadTargets = []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond}
)

const (
	overloadSlots       = 12
	overloadMeanRunTime = 100 * time.Millisecond
	overloadDuration    = 30 * time.Second
)

// drawArrivals draws jobs that ask for so many times the room.
func drawArrivals(seed uint64, factor float64) (arrivals []arrival) {
	random := rand.New(rand.NewPCG(seed, 71))
	meanGap := float64(overloadMeanRunTime) / overloadSlots / factor
	for at := 0.0; at < float64(overloadDuration); at += random.ExpFloat64() * meanGap {
		classIndex := []int{0, 0, 0, 0, 0, 1, 1, 1, 2, 2}[random.IntN(10)]
		arrivals = append(arrivals, arrival{classIndex, time.Duration(at), overloadMeanRunTime/2 + time.Duration(random.Int64N(int64(overloadMeanRunTime)))})
	}
	return arrivals
}

// goodput is the room that ended in answers inside the aim, by kind.
type goodput [3]time.Duration

func (g *goodput) add(served arrival, end time.Duration) {
	if end-served.at <= overloadTargets[served.classIndex] {
		g[served.classIndex] += served.runTime
	}
}

func (g *goodput) total() float64 {
	return float64(g[0]+g[1]+g[2]) / float64(overloadSlots*overloadDuration)
}

// serveFIFO serves a crowd first come first served: each waits until its caller
// gives up, at four times its aim. At most so many wait; 0 is no bound.
func serveFIFO(arrivals []arrival, queueLimit int) (result goodput) {
	var freeAt [overloadSlots]time.Duration // when each slot's last job ends
	var starts []time.Duration              // when those who wait get their turn
	for _, arrived := range arrivals {
		earliest := 0
		for i, f := range freeAt {
			if f < freeAt[earliest] {
				earliest = i
			}
		}
		for len(starts) > 0 && starts[0] <= arrived.at {
			starts = starts[1:]
		}
		start := max(freeAt[earliest], arrived.at)
		if start > arrived.at+4*overloadTargets[arrived.classIndex] || queueLimit > 0 && start > arrived.at && len(starts) >= queueLimit {
			continue
		}
		if start > arrived.at {
			starts = append(starts, start)
		}
		freeAt[earliest] = start + arrived.runTime
		result.add(arrived, freeAt[earliest])
	}
	return result
}

// serveWithController serves it by a Room, with the bounds that an owner asks for.
func serveWithController(t *testing.T, arrivals []arrival) (result goodput) {
	synctest.Test(t, func(t *testing.T) {
		controller := New()
		controller.Configure(overloadSlots, overloadShares, overloadSlots)
		start := time.Now()
		var mu sync.Mutex
		var pending sync.WaitGroup
		group := task.New(context.Background())
		for _, arrived := range arrivals {
			task.Sleep(t.Context(), arrived.at-time.Since(start))
			pending.Add(1)
			group.Go("job", func(ctx context.Context) {
				defer pending.Done()
				target := overloadTargets[arrived.classIndex]
				request := Request{Class: overloadClasses[arrived.classIndex], MaxWait: min(2*target, target-overloadMeanRunTime), Target: target}
				if controller.Acquire(ctx, request) != Admitted {
					return
				}
				task.Sleep(ctx, arrived.runTime)
				controller.Release(request, arrived.runTime)
				mu.Lock()
				result.add(arrived, time.Since(start))
				mu.Unlock()
			})
		}
		pending.Wait()
		group.Stop()
	})
	return result
}

// TestOverloadGoodputAgainstFIFO: in a crowd of twice and four times the room, the part
// of it that ends in answers inside the aim, against first come first served
// with the same jobs, and against that with a queue as long as ours.
func TestOverloadGoodputAgainstFIFO(t *testing.T) {
	for _, factor := range []float64{2, 4} {
		t.Run(fmt.Sprint(factor, " times the room"), func(t *testing.T) {
			arrivals := drawArrivals(uint64(factor), factor)
			controlled, fifo, shortQueue := serveWithController(t, arrivals), serveFIFO(arrivals, 0), serveFIFO(arrivals, overloadSlots)
			t.Logf("of the room inside the aim: ours %.3f, first come first served %.3f, with a queue of %d %.3f", controlled.total(), fifo.total(), overloadSlots, shortQueue.total())
			classShare := func(g goodput, k int) float64 { return float64(g[k]) / float64(overloadSlots*overloadDuration) }
			for k, class := range overloadClasses {
				t.Logf("%s: ours %.3f, in order %.3f, with a short queue %.3f", class, classShare(controlled, k), classShare(fifo, k), classShare(shortQueue, k))
			}
			// A short queue alone fills the room as well; ranks are what it can't give.
			if controlled.total() < 0.97 || controlled.total() < 5*fifo.total() || controlled.total() < shortQueue.total()-0.01 {
				t.Errorf("%.3f of the room inside the aim; in order %.3f and %.3f", controlled.total(), fifo.total(), shortQueue.total())
			}
			if classShare(controlled, 0) < classShare(shortQueue, 0)*1.1 {
				t.Errorf("the first rank has %.3f, in order with a short queue %.3f", classShare(controlled, 0), classShare(shortQueue, 0))
			}
		})
	}
}
