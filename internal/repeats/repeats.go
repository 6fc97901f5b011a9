// Package repeats keeps the bound on second sends: over any window a front's
// repeats to a service stay within a ratio to its own first sends plus its
// part of the mesh-wide allowance. The sum over the fronts then holds for the
// whole mesh at every moment, without a word between them.
package repeats

import (
	"sync"
	"time"
)

type row struct {
	first  []time.Time
	second []time.Time
}

// Budget is one front's count for each service.
type Budget struct {
	mu     sync.Mutex
	window time.Duration
	share  float64
	allow  float64
	nodes  int
	born   time.Time
	rows   map[string]*row
	No     int64 // repeats that were not allowed
	Yes    int64
}

// New makes a budget over a window.
func New(window time.Duration) *Budget {
	return &Budget{window: window, born: time.Now(), rows: map[string]*row{}}
}

// Bound sets the ratio and the mesh-wide allowance.
func (b *Budget) Bound(share float64, allow int64) {
	b.mu.Lock()
	b.share, b.allow = share, float64(allow)
	b.mu.Unlock()
}

// Nodes tells how many fronts share the allowance. The part never grows: a
// front that loses sight of others must not take theirs. Until the first word
// it has no part at all.
func (b *Budget) Nodes(n int) {
	b.mu.Lock()
	b.nodes = max(b.nodes, n)
	b.mu.Unlock()
}

func cut(l []time.Time, from time.Time) []time.Time {
	i := 0
	for i < len(l) && !l[i].After(from) {
		i++
	}
	return l[i:]
}

func (b *Budget) at(service string, now time.Time) *row {
	r := b.rows[service]
	if r == nil {
		r = &row{}
		b.rows[service] = r
	}
	from := now.Add(-b.window)
	r.first, r.second = cut(r.first, from), cut(r.second, from)
	return r
}

// First counts a first send.
func (b *Budget) First(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	r := b.at(service, now)
	r.first = append(r.first, now)
}

// Again asks for a repeat and counts it if it is allowed.
func (b *Budget) Again(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	r := b.at(service, now)
	if !b.may(r, now) {
		b.No++
		return false
	}
	r.second = append(r.second, now)
	b.Yes++
	return true
}

// Could tells whether a repeat would be allowed just now.
func (b *Budget) Could(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return b.may(b.at(service, now), now)
}

func (b *Budget) may(r *row, now time.Time) bool {
	part := 0.0
	// Nor for the first window: what an earlier start of this front used of
	// its part may still count.
	if b.nodes > 0 && now.Sub(b.born) >= b.window {
		part = b.allow / float64(b.nodes)
	}
	// A tenth is kept back: between two repeats of one front the first sends
	// of the others pass out of the window. The short window keeps a burst of
	// repeats from standing alone when traffic falls off right after it.
	short := now.Add(-b.window / 5)
	one, two := len(cut(r.first, short)), len(cut(r.second, short))
	return float64(len(r.second)+1) <= 0.9*b.share*float64(len(r.first))+part &&
		float64(two+1) <= 1.5*b.share*float64(one)+max(part, 1)
}

// When guesses how long until a repeat may be allowed: until the oldest one
// that counts leaves its window.
func (b *Budget) When(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	r := b.at(service, now)
	if b.may(r, now) {
		return 0
	}
	// Without repeats in the window it is first sends that lack.
	wait := b.window / 5
	if short := cut(r.second, now.Add(-b.window/5)); len(short) > 0 {
		wait = short[0].Add(b.window / 5).Sub(now)
	} else if len(r.second) > 0 {
		wait = r.second[0].Add(b.window).Sub(now)
	}
	return wait
}

// Counts gives the first and second sends within the window.
func (b *Budget) Counts(service string) (first, second int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.at(service, time.Now())
	return len(r.first), len(r.second)
}

// Asked counts the repeats that were asked for, allowed or not.
func (b *Budget) Asked() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Yes + b.No
}

// Given counts the repeats that were allowed.
func (b *Budget) Given() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Yes
}
