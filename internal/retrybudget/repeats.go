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

type row struct {
	first, second tape
	lent          tape    // the part of second that calls of repeated runs are
	held          float64 // calls to come of repeated runs under way
}

// Budget is one front's count for each service.
type Budget struct {
	mu      sync.Mutex
	window  time.Duration
	share   float64
	allow   float64
	nodes   int
	born    time.Time
	rows    map[string]*row
	Denied  int64 // repeats that were not allowed
	Allowed int64
}

// New makes a budget over a window.
func New(window time.Duration) *Budget {
	return &Budget{window: window, born: time.Now(), rows: map[string]*row{}}
}

// SetLimits sets the ratio and the mesh-wide allowance.
func (b *Budget) SetLimits(share float64, allow int64) {
	b.mu.Lock()
	b.share, b.allow = share, float64(allow)
	b.mu.Unlock()
}

// SetProxyCount tells how many fronts share the allowance. The part never grows: a
// front that loses sight of others must not take theirs. Until the first word
// it has no part at all.
func (b *Budget) SetProxyCount(n int) {
	b.mu.Lock()
	b.nodes = max(b.nodes, n)
	b.mu.Unlock()
}

func (b *Budget) at(service string, now time.Time) *row {
	r := b.rows[service]
	if r == nil {
		r = &row{}
		b.rows[service] = r
	}
	from := now.Add(-b.window)
	r.first.cut(from)
	r.second.cut(from)
	r.lent.cut(from)
	return r
}

// RecordFirst counts a first send.
func (b *Budget) RecordFirst(service string) { b.RecordNestedCall(service, 0) }

// RecordNestedCall counts a first send that is, for a part between 0 and 1, the call of a
// repeated run: that part counts as a repeat. It is not refused here, since the
// run that needs it is under way; its room was held.
func (b *Budget) RecordNestedCall(service string, part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	r := b.at(service, now)
	r.first.add(now, 1-part)
	if part > 0 {
		r.second.add(now, part)
		r.lent.add(now, part)
	}
}

// RecordUndelivered takes back a first send that is not known to have come to a worker. It
// is missing for a whole window from now on, so that the bound errs to the safe
// side, and what was counted as a repeat stays so.
func (b *Budget) RecordUndelivered(service string, part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.at(service, now).first.add(now, part-1)
}

// ReserveNested asks for room for the calls that a repeated run is expected to make, by
// service, and keeps it until Free. Without room for all it keeps none, and
// names the service that has none, unless the run must be.
func (b *Budget) ReserveNested(calls map[string]float64, must bool) (lacks string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for s, n := range calls {
		if r := b.at(s, now); !must && !b.may(r, now, n) {
			b.Denied++
			return s, false
		}
	}
	for s, n := range calls {
		b.rows[s].held += n
	}
	return "", true
}

// ReleaseNested gives back what a run held that has ended; what it called was counted.
func (b *Budget) ReleaseNested(calls map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s, n := range calls {
		if r := b.rows[s]; r != nil {
			r.held = max(r.held-n, 0)
		}
	}
}

// Allow asks for a repeat and counts it if it is allowed.
func (b *Budget) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	r := b.at(service, now)
	if !b.may(r, now, 1) {
		b.Denied++
		return false
	}
	r.second.add(now, 1)
	b.Allowed++
	return true
}

// MostlyUnused tells whether no more than a quarter of what is allowed was taken: for
// repeats that would be good to have, but not at the cost of those that must be.
func (b *Budget) MostlyUnused(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.at(service, time.Now())
	return 4*(r.second.all()+r.held+1) <= b.share*r.first.all()
}

// WouldAllow tells whether a repeat would be allowed just now.
func (b *Budget) WouldAllow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return b.may(b.at(service, now), now, 1)
}

// may tells whether more repeats have room now.
func (b *Budget) may(r *row, now time.Time, more float64) bool {
	part := 0.0
	// Nor for the first window: what an earlier start of this front used of
	// its part may still count.
	if b.nodes > 0 && now.Sub(b.born) >= b.window {
		part = b.allow / float64(b.nodes)
	}
	// Calls of repeated runs are counted by what runs make on the mean: two
	// deviations of such a count are kept back besides.
	if lent := r.lent.all() + r.held; lent > 0 {
		more += 2 * math.Sqrt(lent)
	}
	more += r.held
	// A tenth is kept back: between two repeats of one front the first sends
	// of the others pass out of the window. The short window keeps a burst of
	// repeats from standing alone when traffic falls off right after it.
	short := now.Add(-b.window / 5)
	return r.second.all()+more <= 0.9*b.share*r.first.all()+part &&
		r.second.since(short)+more <= 1.5*b.share*r.first.since(short)+max(part, 1)
}

// EstimateWait guesses how long until a repeat may be allowed: until the oldest one
// that counts leaves its window.
func (b *Budget) EstimateWait(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	r := b.at(service, now)
	if b.may(r, now, 1) {
		return 0
	}
	// Without repeats in the window it is first sends that lack.
	wait := b.window / 5
	if l := r.second.marks; len(l) > 0 {
		wait = l[0].at.Add(b.window).Sub(now)
		if i := r.second.past(now.Add(-b.window / 5)); i < len(l) {
			wait = l[i].at.Add(b.window / 5).Sub(now)
		}
	}
	return wait
}

// Counts gives the first and second sends within the window.
func (b *Budget) Counts(service string) (first, second int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.at(service, time.Now())
	return int(r.first.all() + 0.5), int(r.second.all() + 0.5)
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
