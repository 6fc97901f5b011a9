package standin

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// run is one job seen by a worker.
type run struct {
	at     time.Time
	worker string
}

// ack is one acknowledged change of the configuration.
type acked struct {
	at      time.Time
	version uint64
}

// Call is one call as its caller saw it.
type Call struct {
	ID      string // the caller's own name for it
	Front   string
	Service string
	Safe    bool
	From    time.Time
	To      time.Time
	Status  int // 0 when there was no answer at all
	Ran     string
	Version uint64
	Body    string
	Retry   string // when to come back, as the answer told
	Cut     bool   // the answer broke off after it began
}

// Observer sees every run and every answer and counts what must never be.
type Observer struct {
	mu     sync.Mutex
	runs   map[string][]run // caller's name of the call to its runs
	calls  []Call
	acks   []acked
	cut    map[string][]span // front to the times for which it was out of touch
	bad    map[string]int
	first  map[string][]time.Time // service to first arrivals
	second map[string][]time.Time
	notes  []string
	Window time.Duration
	Change time.Duration
	Leave  time.Duration
	Share  float64
	Allow  int
}

type span struct{ from, to time.Time }

// NewObserver makes an observer with the brief's bounds.
func NewObserver() *Observer {
	return &Observer{runs: map[string][]run{}, cut: map[string][]span{}, bad: map[string]int{}, first: map[string][]time.Time{}, second: map[string][]time.Time{},
		Window: 10 * time.Second, Change: 2 * time.Second, Leave: 2 * time.Second, Share: 0.2, Allow: 10}
}

// The counts of what must never happen.
const (
	Twice    = "ran twice on a never path"
	BusyRan  = "busy was answered but it ran"
	NotWhole = "success that isn't the worker's own whole answer"
	Stranger = "a job reached a service it was not sent to"
	Leaving  = "a new job reached a worker that left more than the bound ago"
	OldRules = "a node acted on an older version after the bound"
	StepBack = "a node stepped back to an older version"
	Repeats  = "repeats over a window beyond the bound"
	CutOff   = "an answer under way was cut off by a planned stop"
)

// Kinds lists the counts.
var Kinds = []string{Twice, BusyRan, NotWhole, Stranger, Leaving, OldRules, StepBack, Repeats, CutOff}

func (o *Observer) blame(kind, form string, args ...any) {
	o.bad[kind]++
	if len(o.notes) < 40 {
		o.notes = append(o.notes, kind+": "+fmt.Sprintf(form, args...))
	}
}

// Blame counts a violation that a plan found by itself.
func (o *Observer) Blame(kind, note string) {
	o.mu.Lock()
	o.blame(kind, "%s", note)
	o.mu.Unlock()
}

func (o *Observer) ran(job, call string, k *Worker, want string, left time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if call == "" {
		call = job
	}
	if want != "" && !oneOf(want, k.Service) {
		o.blame(Stranger, "%s for %s at %s", call, want, k.ID)
	}
	if !left.IsZero() && now.Sub(left) > o.Leave {
		o.blame(Leaving, "%s at %s %v after", call, k.ID, now.Sub(left))
	}
	if len(o.runs[call]) == 0 {
		o.first[k.Service] = append(o.first[k.Service], now)
	} else {
		o.second[k.Service] = append(o.second[k.Service], now)
	}
	o.runs[call] = append(o.runs[call], run{now, k.ID})
}

// Acked notes an acknowledged version.
func (o *Observer) Acked(version uint64) {
	o.mu.Lock()
	o.acks = append(o.acks, acked{time.Now(), version})
	o.mu.Unlock()
}

// Acks counts the acknowledged versions.
func (o *Observer) Acks() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.acks)
}

// Lost notes that a front was out of touch for a while.
func (o *Observer) Lost(front string, from, to time.Time) {
	o.mu.Lock()
	o.cut[front] = append(o.cut[front], span{from, to})
	o.mu.Unlock()
}

// Saw takes in a call that ended.
func (o *Observer) Saw(c Call) {
	o.mu.Lock()
	o.calls = append(o.calls, c)
	o.mu.Unlock()
}

// oneOf tells whether a service is one of those that a call may reach, which
// are several while a change is tried.
func oneOf(want, service string) bool { return strings.Contains("/"+want+"/", "/"+service+"/") }

// Calls gives all calls that ended so far.
func (o *Observer) Calls() []Call {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Call(nil), o.calls...)
}
