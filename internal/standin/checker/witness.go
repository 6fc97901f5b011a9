// Package checker writes down what clients, workers and operators of a played
// day see on their sockets, and counts every breach of a rule from that alone.
package checker

import (
	"fmt"
	"sync"
	"time"
)

// The rules, by the names under which their breaches are counted.
const (
	Mixed   = "MIXED"   // an answer that is not the worker's own and whole, or another one's
	Unasked = "UNASKED" // a run that nobody asked for, or of something changed
	Twice   = "TWICE"   // a second run of what may run once
	Refused = "REFUSED" // told 'not run' although it ran
	Denied  = "DENIED"  // proper ones turned away with the mesh's own 3xx or 4xx
	Route   = "ROUTE"   // a run at a service that no document ever allowed
	Drain   = "DRAIN"   // sent to a worker that left, after the bound
	Gone    = "GONE"    // work begun, or gone on with, for a caller that had left
	Lost    = "LOST"    // broken off in planned work, or gone after an acknowledgement
	Config  = "CONFIG"  // an older document acted on, a broken one taken
	Budget  = "BUDGET"  // more repeats than the window allows
	Recover = "RECOVER" // no service after the return
	One     = "ONE"     // two holders of one lock
	Order   = "ORDER"   // numbers, revisions or changes out of order
	Stale   = "STALE"   // a read older than an acknowledged write
	Acks    = "ACKS"    // no acknowledgement within the bound, in calm times
)

// Rules lists all counts.
var Rules = []string{Mixed, Unasked, Twice, Refused, Denied, Route, Drain, Gone, Lost, Config, Budget, Recover, One, Order, Stale, Acks}

// Bounds are the figures that the rules are counted by.
type Bounds struct {
	Touch, Leave, Grace, Slack       time.Duration // in touch after; leaving; stop; an answer lost in planned work
	Change, Back, Stretch            time.Duration // a change; a step back; longer while the core is unsettled
	Ack, Window, Return, Hist, Frees time.Duration
	Share, Allow                     float64 // repeats: part of the requests, and besides
}

// Usual are the bounds of the deployments we know.
var Usual = Bounds{Touch: 3 * time.Second, Leave: 2 * time.Second, Grace: 6 * time.Second, Slack: 200 * time.Millisecond,
	Change: 2 * time.Second, Back: 250 * time.Millisecond, Stretch: 5 * time.Second, Ack: 4 * time.Second, Window: 10 * time.Second,
	Return: 15 * time.Second, Hist: 20 * time.Second, Frees: 1500 * time.Millisecond, Share: 0.2, Allow: 60}

// Answer is what came back to a client on its socket.
type Answer struct {
	Status           int    // 0: no answer
	ID, Digest       string // whose it says it is, and its worker's stamp
	Body             Body
	Complete         bool // framed to its end
	Malformed        bool // bytes that are no answer
	RequestRead      bool // the far side had read the whole request
	ClientClosed     bool // the client closed first
	RetryAfter       time.Duration
	HasRetryAfter    bool
	Reason           string // the error, or the mesh's own words
	ClosedBeforeRead bool   // the connection ended before the request was read
}

// Attempt is one send of a client, with its own id.
type Attempt struct {
	ID, Request        string // all tries of one job share its name
	Kind               string
	Ingress            string // machine at which it began
	Incarnation        int    // of that machine's processes
	Host, Method, URI  string
	Body               Body
	Retryable          bool          // may run more than once
	Timeout            time.Duration // what its client waits
	SentTimeout        time.Duration // what of it the client told when it wrote; 0: all
	ReusedConn         bool          // sent on a connection that had an earlier request
	LeavesEarly        bool          // its client leaves before its time: owed nothing unless served
	Probe              bool          // asks which document is in force; owed nothing
	Parent             *Arrival      // the run that made it, of a nested one
	WorkTime           time.Duration // what it takes a worker
	WorkerPlan         any           // what else its worker is to do
	Start, SentAt, End time.Time     // End is zero while no answer came
	Answer             Answer
	Arrivals           []*Arrival
}

// Arrival is one arrival of a try at a worker.
type Arrival struct {
	Attempt                                    *Attempt
	Worker                                     *Worker
	Method, URI, CallerService, ExpectedWorker string // To: whom it was meant for; From: the service named as caller
	Body                                       Body
	ArrivedAt, Start, End                      time.Time     // Start is zero unless the worker took it up
	Timeout                                    time.Duration // what it was told to have left; 0: nothing
	DeclinedStatus                             int           // the status with which it was turned away
	Status                                     int
	Digest                                     string
	AnswerBody                                 Body
	WorkerFailed                               bool // the worker itself broke off or spoiled the answer
	ExtraBytes                                 bool // more came than the answer
	Retry                                      bool // not the first of its try, or the call of a run that was none
}

// Executed tells that the worker took it up.
func (v *Arrival) Executed() bool { return !v.Start.IsZero() }

// Worker is one life of a worker.
type Worker struct {
	Name, Service, Machine, Area string
	LeaveSentAt                  time.Time // when it first said that it leaves
	LeaveAckedAt                 time.Time // when that was acknowledged first
	LeaveAckedBy                 string    // the machine that did
}

// Witness writes down one day.
type Witness struct {
	mu              sync.Mutex
	B               Bounds
	attempts        map[string]*Attempt
	attemptOrder    []*Attempt
	arrivals        []*Arrival
	workers         []*Worker
	serviceOf       map[string]string // machine to its worker's service
	notes           []string
	breaches        map[string]int
	noted           map[string]bool
	Touch           *Disturbances
	documents       []*Document
	configReads     []ConfigRead
	ops             []*Op
	holds           []*Hold
	incarnations    map[string]int
	restarts        map[string][]time.Time      // of a machine's processes, but for the first
	readinessProbes map[string][]readinessProbe // at its node's readiness
	signals         []signal
	fullestWindow   float64 // window of repeats, as a part of what is allowed
	fullestService  string
	finalFault      [2]time.Time // the closing fault, and the return after it
}

// New makes a witness of a day that begins now.
func New(bounds Bounds) *Witness {
	return &Witness{B: bounds, attempts: map[string]*Attempt{}, serviceOf: map[string]string{}, breaches: map[string]int{}, noted: map[string]bool{},
		Touch: newDisturbances(bounds.Touch), incarnations: map[string]int{}, restarts: map[string][]time.Time{}, readinessProbes: map[string][]readinessProbe{}}
}

// RecordBreach counts one breach; each note is counted once.
func (w *Witness) RecordBreach(rule, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordBreach(rule, format, args...)
}

func (w *Witness) recordBreach(rule, format string, args ...any) {
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

// AttemptStarted writes a try down before its first byte goes out.
func (w *Witness) AttemptStarted(attempt *Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	attempt.Incarnation = w.incarnations[attempt.Ingress]
	w.attempts[attempt.ID] = attempt
	w.attemptOrder = append(w.attemptOrder, attempt)
}

// FindAttempt gives a try by its id.
func (w *Witness) FindAttempt(id string) *Attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.attempts[id]
}

// AttemptSent notes that the last byte of a try is out.
func (w *Witness) AttemptSent(attempt *Attempt) {
	w.mu.Lock()
	attempt.SentAt = time.Now()
	w.mu.Unlock()
}

// AttemptEnded writes down what came back.
func (w *Witness) AttemptEnded(attempt *Attempt, answer Answer) {
	w.mu.Lock()
	attempt.Answer, attempt.End = answer, time.Now()
	w.mu.Unlock()
}

// UnexpectedBytes blames bytes on a connection where nobody waits.
func (w *Witness) UnexpectedBytes(front, what string) {
	w.RecordBreach(Mixed, "%s: bytes with no request waiting: %.60q at %s", front, what, clockTime(time.Now()))
}

// WorkerStarted writes down a new life of a worker.
func (w *Witness) WorkerStarted(worker *Worker) {
	w.mu.Lock()
	w.workers = append(w.workers, worker)
	w.serviceOf[worker.Machine] = worker.Service
	w.mu.Unlock()
}

// Serves tells which service a machine's worker is of; its nodes keep that
// name when the worker is gone.
func (w *Witness) Serves(machine, service string) {
	w.mu.Lock()
	w.serviceOf[machine] = service
	w.mu.Unlock()
}

// RecordArrival writes down an arrival at a worker.
func (w *Witness) RecordArrival(arrival *Arrival, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	arrival.ArrivedAt = time.Now()
	arrival.Attempt = w.attempts[id]
	if attempt := arrival.Attempt; attempt != nil {
		arrival.Retry = len(attempt.Arrivals) > 0 || (attempt.Parent != nil && attempt.Parent.Retry)
		attempt.Arrivals = append(attempt.Arrivals, arrival)
	}
	w.arrivals = append(w.arrivals, arrival)
}

// Update alters a visit under the witness's lock.
func (w *Witness) Update(update func()) {
	w.mu.Lock()
	update()
	w.mu.Unlock()
}

// Lives notes that a machine's processes started afresh.
func (w *Witness) Lives(machine string) {
	w.mu.Lock()
	w.incarnations[machine]++
	w.restarts[machine] = append(w.restarts[machine], time.Now())
	w.mu.Unlock()
}

func clockTime(at time.Time) string { return at.Format("04:05.000") }
