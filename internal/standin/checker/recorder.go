// Package checker records what clients, workers and operators of a test run see on their
// sockets, and counts every breach of a rule from these records alone.
package checker

import (
	"fmt"
	"sync"
	"time"
)

// The rules, by the names under which their breaches are counted.
const (
	Mixed   = "MIXED"   // an answer that is incomplete, altered or belongs to another request
	Unasked = "UNASKED" // an execution that no client requested, or of an altered request
	Twice   = "TWICE"   // a second execution of a request that must not be retried
	Refused = "REFUSED" // reported as not executed although it was executed
	Denied  = "DENIED"  // a valid request that the mesh itself answered with 3xx or 4xx
	Route   = "ROUTE"   // an execution by a service that no document ever allowed
	Drain   = "DRAIN"   // sent to a worker later than the bound after its leave, or to a stopping node
	Gone    = "GONE"    // execution started or continued for a caller that had left
	Lost    = "LOST"    // cut off by planned work, or lost after it was acknowledged
	Config  = "CONFIG"  // acting on an outdated document, or accepting an invalid one
	Budget  = "BUDGET"  // more retries, workers or time than allowed
	Recover = "RECOVER" // no service after the machines came back from the final fault
	One     = "ONE"     // two holders of one lock
	Order   = "ORDER"   // numbers, revisions or changes out of order
	Stale   = "STALE"   // a read older than an acknowledged write
	Acks    = "ACKS"    // no acknowledgement within the bound without unplanned disturbances
)

// Rules lists all rules.
var Rules = []string{Mixed, Unasked, Twice, Refused, Denied, Route, Drain, Gone, Lost, Config, Budget, Recover, One, Order, Stale, Acks}

// Bounds are the limits that the rules check.
type Bounds struct {
	Connect, Leave, Grace, UnforwardedCut                 time.Duration // until a machine counts as connected; a worker's leave; a graceful shutdown; an unforwarded request cut off by planned work
	DocumentChange, StepBack, UnsettledExtension          time.Duration // a document taking effect; a step back to an older one; extension while the control plane is unsettled
	Ack, RetryWindow, Recovery, WatchHistory, LockRelease time.Duration // an acknowledgement; window of the retry budget; recovery after the final fault; history for watches; release of an expired lock
	RetryShare, RetryAllowance                            float64       // allowed retries: as a part of the requests, and in addition
}

// UsualBounds are the bounds that the known deployments have.
var UsualBounds = Bounds{Connect: 3 * time.Second, Leave: 2 * time.Second, Grace: 6 * time.Second, UnforwardedCut: 200 * time.Millisecond,
	DocumentChange: 2 * time.Second, StepBack: 250 * time.Millisecond, UnsettledExtension: 5 * time.Second, Ack: 4 * time.Second, RetryWindow: 10 * time.Second,
	Recovery: 15 * time.Second, WatchHistory: 20 * time.Second, LockRelease: 1500 * time.Millisecond, RetryShare: 0.2, RetryAllowance: 60}

// Answer is what came back to a client on its socket.
type Answer struct {
	Status           int    // 0: no answer
	ID, Digest       string // the attempt ID and response digest in its headers
	Body             Body
	Complete         bool // received up to the end of its framing
	Malformed        bool // the bytes received are not an HTTP answer
	RequestRead      bool // the other side had read the whole request
	ClientClosed     bool // the client closed the connection first
	RetryAfter       time.Duration
	HasRetryAfter    bool
	Reason           string // the error, or the reason that the mesh gave
	ClosedBeforeRead bool   // the connection ended before the whole request was read
}

// Attempt is one attempt of a client to get a request served. It has its own ID.
type Attempt struct {
	ID, Request        string // all attempts of one request share Request
	Kind               string
	Ingress            string // the machine whose node the client sent it to
	Incarnation        int    // of that machine's processes, counted up at each restart
	Host, Method, URI  string
	Body               Body
	Retryable          bool          // may be executed more than once
	Timeout            time.Duration // how long its client waits
	SentTimeout        time.Duration // the timeout that the client sent, counted from Start; 0: same as Timeout
	ReusedConn         bool          // sent on a connection that had carried an earlier request
	LeavesEarly        bool          // its client leaves before its timeout; need not be served
	Probe              bool          // only shows which document is in force; need not be served
	Parent             *Arrival      // the execution that made it, if it is nested
	WorkTime           time.Duration // how long a worker takes to execute it
	WorkerPlan         any           // further instructions to the worker
	Start, SentAt, End time.Time     // End is zero until the outcome is known
	Answer             Answer
	Arrivals           []*Arrival
}

// Arrival is one arrival of an attempt at a worker.
type Arrival struct {
	Attempt                                    *Attempt
	Worker                                     *Worker
	Method, URI, CallerService, ExpectedWorker string // CallerService: the service named as caller; ExpectedWorker: whom it was sent to
	Body                                       Body
	ArrivedAt, Start, End                      time.Time     // Start is zero unless the worker executed it
	Timeout                                    time.Duration // the remaining time in its headers; 0: none given
	DeclinedStatus                             int           // the status with which the worker declined it
	Status                                     int
	Digest                                     string
	AnswerBody                                 Body
	WorkerFailed                               bool // the worker itself cut off or corrupted the answer
	ExtraBytes                                 bool // the worker sent more bytes than the answer
	Retry                                      bool // not the first arrival of its attempt, or nested in an execution that is a retry
}

// Executed reports whether the worker started to execute the request.
func (a *Arrival) Executed() bool { return !a.Start.IsZero() }

// Worker is one incarnation of a worker.
type Worker struct {
	Name, Service, Machine, Zone string
	LeaveSentAt                  time.Time // when it first reported that it leaves
	LeaveAckedAt                 time.Time // when that was first acknowledged
	LeaveAckedBy                 string    // the machine that acknowledged it
}

// Recorder records one test run. mu guards its unexported fields; records change through Update.
type Recorder struct {
	mu              sync.Mutex
	Bounds          Bounds
	attempts        map[string]*Attempt
	attemptOrder    []*Attempt
	arrivals        []*Arrival
	workers         []*Worker
	serviceOf       map[string]string // machine to the service of its worker
	notes           []string
	breaches        map[string]int
	noted           map[string]bool
	Faults          *Disturbances
	documents       []*Document
	configReads     []ConfigRead
	calls           []*Op
	holds           []*LockHold
	incarnations    map[string]int
	restarts        map[string][]time.Time      // of a machine's processes, without their first start
	readinessProbes map[string][]readinessProbe // of a machine's node
	signals         []signal
	fullestWindow   float64 // highest ratio of retries to allowed retries in a window
	fullestService  string
	finalFault      [2]time.Time // the start of the final fault, and the machines' return from it
}

// New returns a recorder for a test run that begins now.
func New(bounds Bounds) *Recorder {
	return &Recorder{Bounds: bounds, attempts: map[string]*Attempt{}, serviceOf: map[string]string{}, breaches: map[string]int{}, noted: map[string]bool{},
		Faults: newDisturbances(bounds.Connect), incarnations: map[string]int{}, restarts: map[string][]time.Time{}, readinessProbes: map[string][]readinessProbe{}}
}

// RecordBreach counts one breach. A breach with the same text is counted once.
func (w *Recorder) RecordBreach(rule, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordBreach(rule, format, args...)
}

func (w *Recorder) recordBreach(rule, format string, args ...any) {
	note := rule + ": " + fmt.Sprintf(format, args...)
	if w.noted[note] {
		return
	}
	w.noted[note] = true
	w.breaches[rule]++
	if w.breaches[rule] <= 8 {
		w.notes = append(w.notes, note)
	}
}

// AttemptStarted records an attempt before its first byte is sent.
func (w *Recorder) AttemptStarted(attempt *Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	attempt.Incarnation = w.incarnations[attempt.Ingress]
	w.attempts[attempt.ID] = attempt
	w.attemptOrder = append(w.attemptOrder, attempt)
}

// FindAttempt returns the attempt with the given ID, or nil.
func (w *Recorder) FindAttempt(id string) *Attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.attempts[id]
}

// AttemptSent records that the last byte of an attempt was sent.
func (w *Recorder) AttemptSent(attempt *Attempt) {
	w.mu.Lock()
	attempt.SentAt = time.Now()
	w.mu.Unlock()
}

// AttemptEnded records the outcome of an attempt.
func (w *Recorder) AttemptEnded(attempt *Attempt, answer Answer) {
	w.mu.Lock()
	attempt.Answer, attempt.End = answer, time.Now()
	w.mu.Unlock()
}

// UnexpectedBytes records a breach: bytes arrived on a connection without a pending request.
func (w *Recorder) UnexpectedBytes(ingress, content string) {
	w.RecordBreach(Mixed, "%s: bytes on a connection without a pending request: %.60q at %s", ingress, content, clockTime(time.Now()))
}

// WorkerStarted records a new incarnation of a worker.
func (w *Recorder) WorkerStarted(worker *Worker) {
	w.mu.Lock()
	w.workers = append(w.workers, worker)
	w.serviceOf[worker.Machine] = worker.Service
	w.mu.Unlock()
}

// SetCallerService records the service of a machine's worker. The machine's node keeps it as its caller
// service after the worker is gone.
func (w *Recorder) SetCallerService(machine, service string) {
	w.mu.Lock()
	w.serviceOf[machine] = service
	w.mu.Unlock()
}

// RecordArrival records an arrival at a worker.
func (w *Recorder) RecordArrival(arrival *Arrival, attemptID string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	arrival.ArrivedAt = time.Now()
	arrival.Attempt = w.attempts[attemptID]
	if attempt := arrival.Attempt; attempt != nil {
		arrival.Retry = len(attempt.Arrivals) > 0 || (attempt.Parent != nil && attempt.Parent.Retry)
		attempt.Arrivals = append(attempt.Arrivals, arrival)
	}
	w.arrivals = append(w.arrivals, arrival)
}

// Update runs a function that changes recorded data, with the lock held.
func (w *Recorder) Update(update func()) {
	w.mu.Lock()
	update()
	w.mu.Unlock()
}

// Restarted records that a machine's processes restarted.
func (w *Recorder) Restarted(machine string) {
	w.mu.Lock()
	w.incarnations[machine]++
	w.restarts[machine] = append(w.restarts[machine], time.Now())
	w.mu.Unlock()
}

func clockTime(at time.Time) string { return at.Format("04:05.000") }
