// Package retrybudget limits retries. Over any window, the retries that an ingress
// sends to a service stay within a ratio of its own first attempts plus its part of
// a cluster-wide allowance. The sum over all ingresses then holds for the whole
// cluster at every moment, without any communication between them. Nested calls
// made by a retried request count as retries too. They pass through the proxy
// beside the worker that runs it, which reserves budget for them while the request
// runs.
package retrybudget

import (
	"math"
	"sync"
	"time"
)

type serviceCounts struct {
	first, retries attemptLog
	nestedRetries  attemptLog // the part of retries that are nested calls of retried requests
	reserved       float64    // expected nested calls of retried requests that are running
}

// Budget counts the attempts of one ingress by service. mu guards all mutable fields.
type Budget struct {
	mu        sync.Mutex
	window    time.Duration
	ratio     float64
	allowance float64
	proxies   int
	created   time.Time
	services  map[string]*serviceCounts
	Denied    int64 // retries that were not allowed
	Allowed   int64
}

// New returns a Budget that counts over the given window.
func New(window time.Duration) *Budget {
	return &Budget{window: window, created: time.Now(), services: map[string]*serviceCounts{}}
}

// SetLimits sets the ratio and the cluster-wide allowance.
func (b *Budget) SetLimits(ratio float64, allowance int64) {
	b.mu.Lock()
	b.ratio, b.allowance = ratio, float64(allowance)
	b.mu.Unlock()
}

// SetProxyCount sets how many ingresses share the allowance. The number never
// falls, so the part of this ingress never grows: one that loses contact with
// others must not take theirs. Until the first call it has no part at all.
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

// RecordFirst counts a first attempt.
func (b *Budget) RecordFirst(service string) { b.RecordNestedCall(service, 0) }

// RecordNestedCall counts a first attempt that, with a probability of retryShare,
// is a nested call of a retried request; that fraction counts as a retry. It is not
// refused here, since the request that needs it is already running and budget was
// reserved for it.
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

// RecordUndelivered takes back a first attempt that is not known to have reached a
// worker. The deduction lasts for a whole window from now on, so that the limit
// errs on the safe side. The fraction that was counted as a retry stays counted.
func (b *Budget) RecordUndelivered(service string, retryShare float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.countsFor(service, now).first.add(now, retryShare-1)
}

// ReserveNested reserves budget for the nested calls that a retried request is
// expected to make, by service, until ReleaseNested. If a service has too little
// budget nothing is reserved and that service is returned, unless force is set
// because the request has to run.
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

// ReleaseNested returns the reservation of a request that has ended; the calls that
// it made were counted when they were made.
func (b *Budget) ReleaseNested(calls map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, count := range calls {
		if counts := b.services[service]; counts != nil {
			counts.reserved = max(counts.reserved-count, 0)
		}
	}
}

// Allow asks for a retry, and counts it if it is allowed.
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

// MostlyUnused reports whether one more retry would leave at least three quarters
// of the ratio unused. It is meant for retries that are useful but must not
// displace necessary ones.
func (b *Budget) MostlyUnused(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.countsFor(service, time.Now())
	return 4*(counts.retries.total()+counts.reserved+1) <= b.ratio*counts.first.total()
}

// WouldAllow reports whether a retry would be allowed now, without counting it.
func (b *Budget) WouldAllow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return b.hasRoom(b.countsFor(service, now), now, 1)
}

// hasRoom reports whether additional retries are within the limits now.
func (b *Budget) hasRoom(counts *serviceCounts, now time.Time, additional float64) bool {
	allowanceShare := 0.0
	// There is no part of the allowance during the first window either: what this
	// ingress used of it before a restart may still count.
	if b.proxies > 0 && now.Sub(b.created) >= b.window {
		allowanceShare = b.allowance / float64(b.proxies)
	}
	// Nested calls of retried requests are counted by their expected number, so two
	// standard deviations of such a count are held back.
	if nested := counts.nestedRetries.total() + counts.reserved; nested > 0 {
		additional += 2 * math.Sqrt(nested)
	}
	additional += counts.reserved
	// A tenth of the ratio is held back, because between two retries of one ingress
	// first attempts of the others leave the window. The limit over a fifth of the
	// window prevents a burst of retries that would exceed the ratio if traffic
	// fell off right after it.
	shortStart := now.Add(-b.window / 5)
	return counts.retries.total()+additional <= 0.9*b.ratio*counts.first.total()+allowanceShare &&
		counts.retries.since(shortStart)+additional <= 1.5*b.ratio*counts.first.since(shortStart)+max(allowanceShare, 1)
}

// EstimateWait estimates how long it takes until a retry may be allowed: until the
// oldest one that counts leaves its window.
func (b *Budget) EstimateWait(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	counts := b.countsFor(service, now)
	if b.hasRoom(counts, now, 1) {
		return 0
	}
	// Without retries in the window there are too few first attempts.
	wait := b.window / 5
	if retries := counts.retries.attempts; len(retries) > 0 {
		wait = retries[0].at.Add(b.window).Sub(now)
		if index := counts.retries.firstAfter(now.Add(-b.window / 5)); index < len(retries) {
			wait = retries[index].at.Add(b.window / 5).Sub(now)
		}
	}
	return wait
}

// Counts returns the numbers of first attempts and of retries within the window.
func (b *Budget) Counts(service string) (first, retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.countsFor(service, time.Now())
	return int(counts.first.total() + 0.5), int(counts.retries.total() + 0.5)
}

// RequestedCount returns the number of retries that were asked for, allowed or not.
func (b *Budget) RequestedCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Allowed + b.Denied
}

// AllowedCount returns the number of retries that were allowed.
func (b *Budget) AllowedCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Allowed
}
