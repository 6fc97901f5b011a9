package proxy

import (
	"math"
	"sort"
	"time"

	"puffincrank/internal/protocol"
)

type armKey struct {
	trial uint64
	route string
	arm   string
}

type armCounts struct {
	counts protocol.ArmCounts
	since  time.Time
}

// LatencyBins is the size of the latency histogram: bin i holds latencies up to 2^(i/4) ms, so
// a quantile read from it is at most a fifth too high.
const LatencyBins = 72

// LatencyBin returns the bin of a latency.
func LatencyBin(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Ceil(4*math.Log2(ms))), LatencyBins-1)
}

// countTrialLocked counts a request of a route with a trial; x.mu is held.
func (x *Proxy) countTrialLocked(req *request) {
	if req.route == nil {
		return
	}
	x.routeLastUsed[req.route.Name] = time.Now()
	if req.route.Trial == 0 {
		return
	}
	key := armKey{req.route.Trial, req.route.Name, req.arm.Name}
	tally := x.armTallies[key]
	if tally == nil {
		tally = newArmCounts(key)
		x.armTallies[key] = tally
	}
	switch {
	case req.result.Outcome == protocol.Done && req.result.Status < 500:
		tally.counts.Done++
		tally.counts.LatencyBins[LatencyBin(time.Since(req.receivedAt))]++
	case req.result.Outcome == protocol.Done:
		tally.counts.Failed++
	case req.lost != nil:
		tally.counts.Unknown++
	default:
		tally.counts.Refused++
	}
}

func newArmCounts(key armKey) *armCounts {
	return &armCounts{counts: protocol.ArmCounts{Trial: key.trial, Route: key.route, Arm: key.arm, LatencyBins: make([]uint64, LatencyBins)}, since: time.Now()}
}

// activeRoutes lists the routes that had requests within the window.
func (x *Proxy) activeRoutes() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for route, lastUsed := range x.routeLastUsed {
		if time.Since(lastUsed) > x.Settings.RetryWindow {
			delete(x.routeLastUsed, route)
			continue
		}
		out = append(out, route)
	}
	sort.Strings(out)
	return out
}

// trialCounts returns the counts of running trials and drops those of ended ones.
func (x *Proxy) trialCounts() []protocol.ArmCounts {
	current := x.rules.Load()
	running := map[uint64]bool{}
	x.mu.Lock()
	defer x.mu.Unlock()
	if current != nil {
		for _, route := range current.Routes {
			if route.Trial == 0 {
				continue
			}
			running[route.Trial] = true
			// The age counts from when this ingress learned of the trial, with or without
			// requests, so that a trial without traffic has an age too.
			if key := (armKey{route.Trial, route.Name, "new"}); x.armTallies[key] == nil {
				x.armTallies[key] = newArmCounts(key)
			}
		}
	}
	var out []protocol.ArmCounts
	for key, tally := range x.armTallies {
		if !running[key.trial] {
			delete(x.armTallies, key)
			continue
		}
		counts := tally.counts
		counts.LatencyBins = append([]uint64(nil), counts.LatencyBins...)
		counts.AgeMS = time.Since(tally.since).Milliseconds()
		out = append(out, counts)
	}
	return out
}
