package proxy

import (
	"math"
	"sort"
	"time"

	"puffincrank/internal/protocol"
)

type armKey struct {
	trial uint64
	path  string
	arm   string
}

type armTally struct {
	t    protocol.ArmCounts
	from time.Time
}

// LatencyBins is the size of the latency histogram: bin i holds latencies up to
// 2^(i/4) ms, so a quantile read from it is at most a fifth too high.
const LatencyBins = 72

// LatencyBin finds the bin of a latency.
func LatencyBin(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Ceil(4*math.Log2(ms))), LatencyBins-1)
}

// tallyLocked counts a job of a path on trial; x.mu is held.
func (x *Proxy) tallyLocked(j *job) {
	if j.path == nil {
		return
	}
	x.live[j.path.Name] = time.Now()
	if j.path.Trial == 0 {
		return
	}
	k := armKey{j.path.Trial, j.path.Name, j.arm.Name}
	a := x.tally[k]
	if a == nil {
		a = newTally(k)
		x.tally[k] = a
	}
	switch {
	case j.back.Outcome == protocol.Done && j.back.Status < 500:
		a.t.Done++
		a.t.LatencyBins[LatencyBin(time.Since(j.from))]++
	case j.back.Outcome == protocol.Done:
		a.t.Failed++
	case j.lost != nil:
		a.t.Unknown++
	default:
		a.t.Refused++
	}
}

func newTally(k armKey) *armTally {
	return &armTally{t: protocol.ArmCounts{Trial: k.trial, Route: k.path, Arm: k.arm, LatencyBins: make([]uint64, LatencyBins)}, from: time.Now()}
}

// lively lists the paths that had jobs within the window.
func (x *Proxy) lively() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for n, at := range x.live {
		if time.Since(at) > x.Settings.RetryWindow {
			delete(x.live, n)
			continue
		}
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// tallies gives the counts of the trials that still run; those of ended ones
// are dropped.
func (x *Proxy) tallies() []protocol.ArmCounts {
	r := x.rules.Load()
	live := map[uint64]bool{}
	x.mu.Lock()
	defer x.mu.Unlock()
	if r != nil {
		for _, p := range r.Routes {
			if p.Trial == 0 {
				continue
			}
			live[p.Trial] = true
			// A front counts from when it knows the trial, jobs or none, so
			// that a trial without traffic has an age too.
			if k := (armKey{p.Trial, p.Name, "new"}); x.tally[k] == nil {
				x.tally[k] = newTally(k)
			}
		}
	}
	var out []protocol.ArmCounts
	for k, a := range x.tally {
		if !live[k.trial] {
			delete(x.tally, k)
			continue
		}
		t := a.t
		t.LatencyBins = append([]uint64(nil), t.LatencyBins...)
		t.AgeMS = time.Since(a.from).Milliseconds()
		out = append(out, t)
	}
	return out
}
