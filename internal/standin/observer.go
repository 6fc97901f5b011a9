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
type ackedVersion struct {
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
	mu             sync.Mutex
	runs           map[string][]run // caller's name of the call to its runs
	calls          []Call
	ackedVersions  []ackedVersion
	disconnected   map[string][]span // front to the times for which it was out of touch
	violations     map[string]int
	firstArrivals  map[string][]time.Time // service to first arrivals
	retryArrivals  map[string][]time.Time
	notes          []string
	RetryWindow    time.Duration
	ConfigBound    time.Duration
	LeaveBound     time.Duration
	RetryShare     float64
	RetryAllowance int
}

type span struct{ from, to time.Time }

// NewObserver makes an observer with the brief's bounds.
func NewObserver() *Observer {
	return &Observer{runs: map[string][]run{}, disconnected: map[string][]span{}, violations: map[string]int{}, firstArrivals: map[string][]time.Time{}, retryArrivals: map[string][]time.Time{},
		RetryWindow: 10 * time.Second, ConfigBound: 2 * time.Second, LeaveBound: 2 * time.Second, RetryShare: 0.2, RetryAllowance: 10}
}

// The counts of what must never happen.
const (
	Twice            = "ran twice on a never path"
	RanThoughBusy    = "busy was answered but it ran"
	NotWorkersAnswer = "success that isn't the worker's own whole answer"
	Misdelivered     = "a job reached a service it was not sent to"
	SentAfterLeave   = "a new job reached a worker that left more than the bound ago"
	StaleVersion     = "a node acted on an older version after the bound"
	VersionStepBack  = "a node stepped back to an older version"
	TooManyRetries   = "repeats over a window beyond the bound"
	CutOff           = "an answer under way was cut off by a planned stop"
)

// Kinds lists the counts.
var Kinds = []string{Twice, RanThoughBusy, NotWorkersAnswer, Misdelivered, SentAfterLeave, StaleVersion, VersionStepBack, TooManyRetries, CutOff}

func (o *Observer) recordViolation(kind, format string, args ...any) {
	o.violations[kind]++
	if len(o.notes) < 40 {
		o.notes = append(o.notes, kind+": "+fmt.Sprintf(format, args...))
	}
}

// RecordViolation counts a violation that a plan found by itself.
func (o *Observer) RecordViolation(kind, note string) {
	o.mu.Lock()
	o.recordViolation(kind, "%s", note)
	o.mu.Unlock()
}

func (o *Observer) recordRun(job, call string, worker *Worker, expected string, left time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if call == "" {
		call = job
	}
	if expected != "" && !oneOf(expected, worker.Service) {
		o.recordViolation(Misdelivered, "%s for %s at %s", call, expected, worker.ID)
	}
	if !left.IsZero() && now.Sub(left) > o.LeaveBound {
		o.recordViolation(SentAfterLeave, "%s at %s %v after", call, worker.ID, now.Sub(left))
	}
	if len(o.runs[call]) == 0 {
		o.firstArrivals[worker.Service] = append(o.firstArrivals[worker.Service], now)
	} else {
		o.retryArrivals[worker.Service] = append(o.retryArrivals[worker.Service], now)
	}
	o.runs[call] = append(o.runs[call], run{now, worker.ID})
}

// Acked notes an acknowledged version.
func (o *Observer) Acked(version uint64) {
	o.mu.Lock()
	o.ackedVersions = append(o.ackedVersions, ackedVersion{time.Now(), version})
	o.mu.Unlock()
}

// Acks counts the acknowledged versions.
func (o *Observer) Acks() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.ackedVersions)
}

// Lost notes that a front was out of touch for a while.
func (o *Observer) Lost(ingress string, from, to time.Time) {
	o.mu.Lock()
	o.disconnected[ingress] = append(o.disconnected[ingress], span{from, to})
	o.mu.Unlock()
}

// RecordCall takes in a call that ended.
func (o *Observer) RecordCall(call Call) {
	o.mu.Lock()
	o.calls = append(o.calls, call)
	o.mu.Unlock()
}

// oneOf tells whether a service is one of those that a call may reach, which
// are several while a change is tried.
func oneOf(allowed, service string) bool { return strings.Contains("/"+allowed+"/", "/"+service+"/") }

// Calls gives all calls that ended so far.
func (o *Observer) Calls() []Call {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Call(nil), o.calls...)
}
