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

// arrival is one request of an overload.
type arrival struct {
	classIndex int
	at         time.Duration
	runTime    time.Duration
}

// The classes of the overload; the first one has the tightest target.
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

// drawArrivals draws random requests that need the given multiple of the capacity.
func drawArrivals(seed uint64, factor float64) (arrivals []arrival) {
	random := rand.New(rand.NewPCG(seed, 71))
	meanGap := float64(overloadMeanRunTime) / overloadSlots / factor
	for at := 0.0; at < float64(overloadDuration); at += random.ExpFloat64() * meanGap {
		classIndex := []int{0, 0, 0, 0, 0, 1, 1, 1, 2, 2}[random.IntN(10)]
		arrivals = append(arrivals, arrival{classIndex, time.Duration(at), overloadMeanRunTime/2 + time.Duration(random.Int64N(int64(overloadMeanRunTime)))})
	}
	return arrivals
}

// goodput is the slot time, by class, of the requests that were answered within
// their target.
type goodput [3]time.Duration

func (g *goodput) add(served arrival, end time.Duration) {
	if end-served.at <= overloadTargets[served.classIndex] {
		g[served.classIndex] += served.runTime
	}
}

func (g *goodput) total() float64 {
	return float64(g[0]+g[1]+g[2]) / float64(overloadSlots*overloadDuration)
}

// serveFIFO serves requests in order of arrival. Each waits until its caller gives
// up, at four times its target. At most queueLimit requests wait; 0 means no limit.
func serveFIFO(arrivals []arrival, queueLimit int) (result goodput) {
	var freeAt [overloadSlots]time.Duration // when each slot becomes free
	var starts []time.Duration              // when the waiting requests start
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

// serveWithController serves requests through a Controller, with the limits that an
// owner sets.
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

// TestOverloadGoodputAgainstFIFO: at two and four times the capacity, the goodput
// of a Controller must exceed that of serving the same requests in order of
// arrival, and must not fall below that of a FIFO queue of the same length.
func TestOverloadGoodputAgainstFIFO(t *testing.T) {
	for _, factor := range []float64{2, 4} {
		t.Run(fmt.Sprint(factor, " times the capacity"), func(t *testing.T) {
			arrivals := drawArrivals(uint64(factor), factor)
			controlled, fifo, shortQueue := serveWithController(t, arrivals), serveFIFO(arrivals, 0), serveFIFO(arrivals, overloadSlots)
			t.Logf("goodput: controller %.3f, FIFO %.3f, FIFO with a queue of %d %.3f", controlled.total(), fifo.total(), overloadSlots, shortQueue.total())
			classShare := func(g goodput, k int) float64 { return float64(g[k]) / float64(overloadSlots*overloadDuration) }
			for k, class := range overloadClasses {
				t.Logf("%s: controller %.3f, FIFO %.3f, FIFO with a short queue %.3f", class, classShare(controlled, k), classShare(fifo, k), classShare(shortQueue, k))
			}
			// A short queue alone keeps the slots as busy, but cannot favor the
			// class with the tightest target.
			if controlled.total() < 0.97 || controlled.total() < 5*fifo.total() || controlled.total() < shortQueue.total()-0.01 {
				t.Errorf("goodput of %.3f; FIFO %.3f, FIFO with a short queue %.3f", controlled.total(), fifo.total(), shortQueue.total())
			}
			if classShare(controlled, 0) < classShare(shortQueue, 0)*1.1 {
				t.Errorf("goodput of the first class %.3f, FIFO with a short queue %.3f", classShare(controlled, 0), classShare(shortQueue, 0))
			}
		})
	}
}
