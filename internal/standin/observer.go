package standin

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// execution is one execution of a request by a worker.
type execution struct {
	at     time.Time
	worker string
}

// ackedVersion is one acknowledged version of the configuration.
type ackedVersion struct {
	at      time.Time
	version uint64
}

// Call is one call as its caller saw it.
type Call struct {
	ID         string // the ID that the caller gave it
	Ingress    string
	Service    string
	Safe       bool
	From       time.Time
	To         time.Time
	Status     int    // 0 if there was no answer
	Ran        string // the header that says whether the request was executed
	Version    uint64
	Body       string
	RetryAfter string // the Retry-After header
	Cut        bool   // the answer was cut off after its headers
}

// Observer records every execution and every answer, and counts violations of the guarantees.
type Observer struct {
	mu             sync.Mutex
	executions     map[string][]execution // call ID to its executions
	calls          []Call
	ackedVersions  []ackedVersion
	disconnected   map[string][]period // ingress to the periods in which it was disconnected
	violations     map[string]int
	firstArrivals  map[string][]time.Time // service to the first arrivals of calls
	retryArrivals  map[string][]time.Time // service to the further arrivals of calls
	notes          []string
	RetryWindow    time.Duration
	ConfigBound    time.Duration
	LeaveBound     time.Duration
	RetryShare     float64
	RetryAllowance int
}

type period struct{ from, to time.Time }

// NewObserver returns an observer with the bounds of the specification.
func NewObserver() *Observer {
	return &Observer{executions: map[string][]execution{}, disconnected: map[string][]period{}, violations: map[string]int{}, firstArrivals: map[string][]time.Time{}, retryArrivals: map[string][]time.Time{},
		RetryWindow: 10 * time.Second, ConfigBound: 2 * time.Second, LeaveBound: 2 * time.Second, RetryShare: 0.2, RetryAllowance: 10}
}

// The violations that are counted.
const (
	Twice            = "a request was executed twice although its route forbids retries"
	RanThoughBusy    = "503 was answered although the request was executed"
	NotWorkersAnswer = "a success that is not the worker's own complete answer"
	Misdelivered     = "a request reached a service that it was not sent to"
	SentAfterLeave   = "a new request reached a worker that left longer ago than the bound"
	StaleVersion     = "a node acted on an older version after the bound"
	VersionStepBack  = "a node stepped back to an older version"
	TooManyRetries   = "more retries in a window than allowed"
	CutOff           = "an answer in progress was cut off by a graceful shutdown"
)

// ViolationKinds lists these violations.
var ViolationKinds = []string{Twice, RanThoughBusy, NotWorkersAnswer, Misdelivered, SentAfterLeave, StaleVersion, VersionStepBack, TooManyRetries, CutOff}

func (o *Observer) recordViolation(kind, format string, args ...any) {
	o.violations[kind]++
	if len(o.notes) < 40 {
		o.notes = append(o.notes, kind+": "+fmt.Sprintf(format, args...))
	}
}

// RecordViolation counts a violation that was found elsewhere.
func (o *Observer) RecordViolation(kind, note string) {
	o.mu.Lock()
	o.recordViolation(kind, "%s", note)
	o.mu.Unlock()
}

func (o *Observer) recordExecution(requestID, callID string, worker *Worker, expected string, leftAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if callID == "" {
		callID = requestID
	}
	if expected != "" && !includesService(expected, worker.Service) {
		o.recordViolation(Misdelivered, "%s for %s at %s", callID, expected, worker.ID)
	}
	if !leftAt.IsZero() && now.Sub(leftAt) > o.LeaveBound {
		o.recordViolation(SentAfterLeave, "%s at %s %v after", callID, worker.ID, now.Sub(leftAt))
	}
	if len(o.executions[callID]) == 0 {
		o.firstArrivals[worker.Service] = append(o.firstArrivals[worker.Service], now)
	} else {
		o.retryArrivals[worker.Service] = append(o.retryArrivals[worker.Service], now)
	}
	o.executions[callID] = append(o.executions[callID], execution{now, worker.ID})
}

// VersionAcked records that a version was acknowledged.
func (o *Observer) VersionAcked(version uint64) {
	o.mu.Lock()
	o.ackedVersions = append(o.ackedVersions, ackedVersion{time.Now(), version})
	o.mu.Unlock()
}

// AckedVersions returns the number of acknowledged versions.
func (o *Observer) AckedVersions() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.ackedVersions)
}

// Disconnected records that an ingress was disconnected for a period.
func (o *Observer) Disconnected(ingress string, from, to time.Time) {
	o.mu.Lock()
	o.disconnected[ingress] = append(o.disconnected[ingress], period{from, to})
	o.mu.Unlock()
}

// RecordCall records a call that has ended.
func (o *Observer) RecordCall(call Call) {
	o.mu.Lock()
	o.calls = append(o.calls, call)
	o.mu.Unlock()
}

// includesService reports whether a call may reach the service. allowed lists one or, during a
// trial, several services separated by slashes.
func includesService(allowed, service string) bool {
	return strings.Contains("/"+allowed+"/", "/"+service+"/")
}

// Calls returns all calls that have ended so far.
func (o *Observer) Calls() []Call {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Call(nil), o.calls...)
}
