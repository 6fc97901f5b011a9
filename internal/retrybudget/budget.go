// Package retrybudget keeps the bound on second sends: over any window a front's
// repeats to a service stay within a ratio to its own first sends plus its
// part of the mesh-wide allowance. The sum over the fronts then holds for the
// whole mesh at every moment, without a word between them. The calls that a
// repeated run makes count too: their room is held while it runs, at the front
// beside its worker, through which they come.
package retrybudget

import (
	"math"
	"sync"
	"time"
)

type serviceCounts struct {
	first, retries sendLog
	nestedRetries  sendLog // the part of second that calls of repeated runs are
	reserved       float64 // calls to come of repeated runs under way
}

// Budget is one front's count for each service.
type Budget struct {
	mu        sync.Mutex
	window    time.Duration
	ratio     float64
	allowance float64
	proxies   int
	created   time.Time
	services  map[string]*serviceCounts
	Denied    int64 // repeats that were not allowed
	Allowed   int64
}

// New makes a budget over a window.
func New(window time.Duration) *Budget {
	return &Budget{window: window, created: time.Now(), services: map[string]*serviceCounts{}}
}

// SetLimits sets the ratio and the mesh-wide allowance.
func (b *Budget) SetLimits(ratio float64, allowance int64) {
	b.mu.Lock()
	b.ratio, b.allowance = ratio, float64(allowance)
	b.mu.Unlock()
}

// SetProxyCount tells how many fronts share the allowance. The part never grows: a
// front that loses sight of others must not take theirs. Until the first word
// it has no part at all.
func (b *Budget) SetProxyCount(count int) {
	b.mu.Lock()
	b.proxies = max(b.proxies, count)
	b.mu.Unlock()
}

func (b *Budget) countsFor(service string, now time.Time) *serviceCounts {
	counts := b.services[service]
	if counts == nil {
		counts = &serviceCounts{}
		b.services[service] = counts
	}
	start := now.Add(-b.window)
	counts.first.dropUntil(start)
	counts.retries.dropUntil(start)
	counts.nestedRetries.dropUntil(start)
	return counts
}

// RecordFirst counts a first send.
func (b *Budget) RecordFirst(service string) { b.RecordNestedCall(service, 0) }

// RecordNestedCall counts a first send that is, for a part between 0 and 1, the call of a
// repeated run: that part counts as a repeat. It is not refused here, since the
// run that needs it is under way; its room was held.
func (b *Budget) RecordNestedCall(service string, retryShare float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	counts := b.countsFor(service, now)
	counts.first.add(now, 1-retryShare)
	if retryShare > 0 {
		counts.retries.add(now, retryShare)
		counts.nestedRetries.add(now, retryShare)
	}
}

// RecordUndelivered takes back a first send that is not known to have come to a worker. It
// is missing for a whole window from now on, so that the bound errs to the safe
// side, and what was counted as a repeat stays so.
func (b *Budget) RecordUndelivered(service string, retryShare float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.countsFor(service, now).first.add(now, retryShare-1)
}

// ReserveNested asks for room for the calls that a repeated run is expected to make, by
// service, and keeps it until Free. Without room for all it keeps none, and
// names the service that has none, unless the run must be.
func (b *Budget) ReserveNested(calls map[string]float64, force bool) (lacking string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for service, count := range calls {
		if counts := b.countsFor(service, now); !force && !b.hasRoom(counts, now, count) {
			b.Denied++
			return service, false
		}
	}
	for service, count := range calls {
		b.services[service].reserved += count
	}
	return "", true
}

// ReleaseNested gives back what a run held that has ended; what it called was counted.
func (b *Budget) ReleaseNested(calls map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, count := range calls {
		if counts := b.services[service]; counts != nil {
			counts.reserved = max(counts.reserved-count, 0)
		}
	}
}

// Allow asks for a repeat and counts it if it is allowed.
func (b *Budget) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	counts := b.countsFor(service, now)
	if !b.hasRoom(counts, now, 1) {
		b.Denied++
		return false
	}
	counts.retries.add(now, 1)
	b.Allowed++
	return true
}

// MostlyUnused tells whether no more than a quarter of what is allowed was taken: for
// repeats that would be good to have, but not at the cost of those that must be.
func (b *Budget) MostlyUnused(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.countsFor(service, time.Now())
	return 4*(counts.retries.total()+counts.reserved+1) <= b.ratio*counts.first.total()
}

// WouldAllow tells whether a repeat would be allowed just now.
func (b *Budget) WouldAllow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return b.hasRoom(b.countsFor(service, now), now, 1)
}

// hasRoom tells whether more repeats have room now.
func (b *Budget) hasRoom(counts *serviceCounts, now time.Time, additional float64) bool {
	allowanceShare := 0.0
	// Nor for the first window: what an earlier start of this front used of
	// its part may still count.
	if b.proxies > 0 && now.Sub(b.created) >= b.window {
		allowanceShare = b.allowance / float64(b.proxies)
	}
	// Calls of repeated runs are counted by what runs make on the mean: two
	// deviations of such a count are kept back besides.
	if nested := counts.nestedRetries.total() + counts.reserved; nested > 0 {
		additional += 2 * math.Sqrt(nested)
	}
	additional += counts.reserved
	// A tenth is kept back: between two repeats of one front the first sends
	// of the others pass out of the window. The short window keeps a burst of
	// repeats from standing alone when traffic falls off right after it.
	shortStart := now.Add(-b.window / 5)
	return counts.retries.total()+additional <= 0.9*b.ratio*counts.first.total()+allowanceShare &&
		counts.retries.since(shortStart)+additional <= 1.5*b.ratio*counts.first.since(shortStart)+max(allowanceShare, 1)
}

// EstimateWait guesses how long until a repeat may be allowed: until the oldest one
// that counts leaves its window.
func (b *Budget) EstimateWait(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	counts := b.countsFor(service, now)
	if b.hasRoom(counts, now, 1) {
		return 0
	}
	// Without repeats in the window it is first sends that lack.
	wait := b.window / 5
	if retries := counts.retries.sends; len(retries) > 0 {
		wait = retries[0].at.Add(b.window).Sub(now)
		if index := counts.retries.firstAfter(now.Add(-b.window / 5)); index < len(retries) {
			wait = retries[index].at.Add(b.window / 5).Sub(now)
		}
	}
	return wait
}

// Counts gives the first and second sends within the window.
func (b *Budget) Counts(service string) (first, retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.countsFor(service, time.Now())
	return int(counts.first.total() + 0.5), int(counts.retries.total() + 0.5)
}

// RequestedCount counts the repeats that were asked for, allowed or not.
func (b *Budget) RequestedCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Allowed + b.Denied
}

// AllowedCount counts the repeats that were allowed.
func (b *Budget) AllowedCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Allowed
}
