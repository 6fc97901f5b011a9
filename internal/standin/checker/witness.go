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
	Status       int    // 0: no answer
	ID, Stamp    string // whose it says it is, and its worker's stamp
	Body         Body
	Whole        bool // framed to its end
	Broken       bool // bytes that are no answer
	Taken        bool // the far side had read the whole request
	GaveUp       bool // the client closed first
	Come         time.Duration
	HasCome      bool
	Why          string // the error, or the mesh's own words
	ClosedBefore bool   // the connection ended before the request was read
}

// Try is one send of a client, with its own id.
type Try struct {
	ID, Job           string // all tries of one job share its name
	Kind              string
	Front             string // machine at which it began
	Life              int    // of that machine's processes
	Host, Method, URI string
	Body              Body
	Repeat            bool          // may run more than once
	Left              time.Duration // what its client waits
	Told              time.Duration // what of it the client told when it wrote; 0: all
	Kept              bool          // sent on a connection that had an earlier request
	Early             bool          // its client leaves before its time: owed nothing unless served
	Probe             bool          // asks which document is in force; owed nothing
	By                *Visit        // the run that made it, of a nested one
	Work              time.Duration // what it takes a worker
	Plan              any           // what else its worker is to do
	From, Sent, End   time.Time     // End is zero while no answer came
	Got               Answer
	Visits            []*Visit
}

// Visit is one arrival of a try at a worker.
type Visit struct {
	Try                   *Try
	Worker                *Worker
	Method, URI, From, To string // To: whom it was meant for; From: the service named as caller
	Body                  Body
	At, Start, End        time.Time     // Start is zero unless the worker took it up
	Given                 time.Duration // what it was told to have left; 0: nothing
	Declined              int           // the status with which it was turned away
	Status                int
	Stamp                 string
	Gave                  Body
	Broke                 bool // the worker itself broke off or spoiled the answer
	Odd                   bool // more came than the answer
	Again                 bool // not the first of its try, or the call of a run that was none
}

// Ran tells that the worker took it up.
func (v *Visit) Ran() bool { return !v.Start.IsZero() }

// Worker is one life of a worker.
type Worker struct {
	Name, Service, Machine, Area string
	Asked                        time.Time // when it first said that it leaves
	Acked                        time.Time // when that was acknowledged first
	By                           string    // the machine that did
}

// Witness writes down one day.
type Witness struct {
	mu      sync.Mutex
	B       Bounds
	tries   map[string]*Try
	order   []*Try
	visits  []*Visit
	workers []*Worker
	serves  map[string]string // machine to its worker's service
	notes   []string
	bad     map[string]int
	seen    map[string]bool
	Touch   *Touch
	docs    []*Doc
	reads   []Read
	ops     []*Op
	holds   []*Hold
	lives   map[string]int
	starts  map[string][]time.Time // of a machine's processes, but for the first
	looks   map[string][]look      // at its node's readiness
	plans   []plan
	fullest float64 // window of repeats, as a part of what is allowed
	fullAt  string
	shut    [2]time.Time // the closing fault, and the return after it
}

// New makes a witness of a day that begins now.
func New(b Bounds) *Witness {
	return &Witness{B: b, tries: map[string]*Try{}, serves: map[string]string{}, bad: map[string]int{}, seen: map[string]bool{},
		Touch: newTouch(b.Touch), lives: map[string]int{}, starts: map[string][]time.Time{}, looks: map[string][]look{}}
}

// Blame counts one breach; each note is counted once.
func (w *Witness) Blame(rule, form string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blame(rule, form, args...)
}

func (w *Witness) blame(rule, form string, args ...any) {
	say := rule + ": " + fmt.Sprintf(form, args...)
	if w.seen[say] {
		return
	}
	w.seen[say] = true
	w.bad[rule]++
	if w.bad[rule] <= 8 {
		w.notes = append(w.notes, say)
	}
}

// Send writes a try down before its first byte goes out.
func (w *Witness) Send(t *Try) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.Life = w.lives[t.Front]
	w.tries[t.ID] = t
	w.order = append(w.order, t)
}

// Find gives a try by its id.
func (w *Witness) Find(id string) *Try {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tries[id]
}

// Sent notes that the last byte of a try is out.
func (w *Witness) Sent(t *Try) {
	w.mu.Lock()
	t.Sent = time.Now()
	w.mu.Unlock()
}

// Ended writes down what came back.
func (w *Witness) Ended(t *Try, a Answer) {
	w.mu.Lock()
	t.Got, t.End = a, time.Now()
	w.mu.Unlock()
}

// Stray blames bytes on a connection where nobody waits.
func (w *Witness) Stray(front, what string) {
	w.Blame(Mixed, "%s: bytes with no request waiting: %.60q at %s", front, what, stamp(time.Now()))
}

// Worked writes down a new life of a worker.
func (w *Witness) Worked(k *Worker) {
	w.mu.Lock()
	w.workers = append(w.workers, k)
	w.serves[k.Machine] = k.Service
	w.mu.Unlock()
}

// Serves tells which service a machine's worker is of; its nodes keep that
// name when the worker is gone.
func (w *Witness) Serves(machine, service string) {
	w.mu.Lock()
	w.serves[machine] = service
	w.mu.Unlock()
}

// Arrive writes down an arrival at a worker.
func (w *Witness) Arrive(v *Visit, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v.At = time.Now()
	v.Try = w.tries[id]
	if t := v.Try; t != nil {
		v.Again = len(t.Visits) > 0 || (t.By != nil && t.By.Again)
		t.Visits = append(t.Visits, v)
	}
	w.visits = append(w.visits, v)
}

// Change alters a visit under the witness's lock.
func (w *Witness) Change(f func()) {
	w.mu.Lock()
	f()
	w.mu.Unlock()
}

// Lives notes that a machine's processes started afresh.
func (w *Witness) Lives(machine string) {
	w.mu.Lock()
	w.lives[machine]++
	w.starts[machine] = append(w.starts[machine], time.Now())
	w.mu.Unlock()
}

func stamp(t time.Time) string { return t.Format("04:05.000") }
