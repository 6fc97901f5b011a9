package checker

import (
	"sync"
	"time"
)

// Span is a time of trouble; To is zero while it lasts.
type Span struct {
	From, To time.Time
	What     string
}

func (s *Span) meets(from, to time.Time) bool {
	return !s.From.After(to) && (s.To.IsZero() || !s.To.Before(from))
}

// Touch knows which machines were in touch when. A machine is in touch at a
// moment if no trouble of its own or of the core was in the bound before it.
type Touch struct {
	mu    sync.Mutex
	bound time.Duration
	own   map[string][]*Span // trouble of one machine
	core  []*Span            // what unsettles the core
	most  []*Span            // the core without a calm majority
	slow  map[string][]*Span // own ones in which the machine was only slowed
	any   []*Span
}

func newTouch(bound time.Duration) *Touch {
	return &Touch{bound: bound, own: map[string][]*Span{}, slow: map[string][]*Span{}}
}

// Begin opens a time of trouble at a machine; the result ends it.
func (t *Touch) Begin(machine, what string) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &Span{From: time.Now(), What: what}
	t.own[machine] = append(t.own[machine], s)
	if what == Slowed {
		t.slow[machine] = append(t.slow[machine], s)
	}
	t.any = append(t.any, s)
	return t.end(s)
}

// Slowed is the trouble in which a machine runs, but late.
const Slowed = "slowed"

// Planned begins the names of what a machine is told to do; it is no unplanned
// trouble, but the machine is not in touch for it.
const Planned = "planned "

func (t *Touch) end(s *Span) func() {
	return func() {
		t.mu.Lock()
		if s.To.IsZero() {
			s.To = time.Now()
		}
		t.mu.Unlock()
	}
}

// Core notes a moment that unsettles the core.
func (t *Touch) Core(what string) { t.CoreWhile(what)() }

// CoreWhile opens a time in which the core is unsettled.
func (t *Touch) CoreWhile(what string) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &Span{From: time.Now(), What: what}
	t.core = append(t.core, s)
	t.any = append(t.any, s)
	return t.end(s)
}

// Minority opens a time in which no calm majority of the core is connected.
func (t *Touch) Minority() func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &Span{From: time.Now(), What: "no majority"}
	t.most = append(t.most, s)
	t.core = append(t.core, s)
	return t.end(s)
}

func hit(list []*Span, from, to time.Time) bool {
	for _, s := range list {
		if s.meets(from, to) {
			return true
		}
	}
	return false
}

// At tells whether a machine was in touch at a moment.
func (t *Touch) At(machine string, at time.Time) bool { return t.through(machine, at, at) }

// through tells whether a machine was in touch through a time.
func (t *Touch) through(machine string, from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	from = from.Add(-t.bound)
	return !hit(t.own[machine], from, to) && !hit(t.core, from, to)
}

// outer tells whether a machine itself was calm through a time while a
// majority of the core ran, whether the core was settled or not.
func (t *Touch) outer(machine string, from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	from = from.Add(-t.bound)
	return !hit(t.own[machine], from, to) && !hit(t.most, from, to)
}

// slowed tells whether a machine was slowed in a time.
func (t *Touch) slowed(machine string, from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return hit(t.slow[machine], from, to)
}

// calm tells that no unplanned trouble was anywhere in a time.
func (t *Touch) calm(from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.any {
		if (len(s.What) < len(Planned) || s.What[:len(Planned)] != Planned) && s.meets(from, to) {
			return false
		}
	}
	return true
}

// settled tells that the core was settled through a time.
func (t *Touch) settled(from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !hit(t.core, from.Add(-t.bound), to)
}

// starts lists where calm stretches may begin within a time.
func (t *Touch) starts(from, to time.Time) []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []time.Time{from}
	for _, s := range t.any {
		if at := s.To.Add(t.bound + 1); !s.To.IsZero() && at.After(from) && at.Before(to) {
			out = append(out, at)
		}
	}
	return out
}
