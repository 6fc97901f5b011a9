package proxy

import (
	"net/http"
	"sync"
	"time"

	"puffincrank/internal/httpapi"
)

// What a step of the trail says of a request.
const (
	stepSent      = "sent"        // written to the worker
	stepRefused   = "refused"     // turned away by the owner, unrun
	stepLeft      = "caller-left" // the front saw that the caller had gone
	stepCancelled = "cancelled"   // the owner heard that the caller had gone
	stepEnded     = "run-ended"   // the owner closed the connection on which it ran
	stepKept      = "run-kept"    // it runs on, since it may not be run again
	stepUnknown   = "unknown"     // the owner has no answer of the worker, which may have run it
	stepHedged    = "hedged"      // the front began a second attempt beside the one at the worker
	// The front answered a request that may have run, without its worker's answer.
	stepUnanswered = "unanswered"
)

// Decision is one decision about a request, with what this node knew of the worker
// when it was made.
type Decision struct {
	Seq            uint64    `json:"seq"` // orders the steps and the worker's states of this process
	Time           time.Time `json:"at"`  // by the wall clock, to find it beside other logs; orders nothing
	Request        string    `json:"request"`
	Attempt        string    `json:"attempt,omitempty"`
	Step           string    `json:"step"`
	Worker         string    `json:"worker,omitempty"`
	State          string    `json:"state,omitempty"`   // of the worker
	Since          uint64    `json:"since,omitempty"`   // the step number at which that state began
	HeartbeatSeq   int64     `json:"call,omitempty"`    // the newest call of the worker that was taken
	HeartbeatAgeMS int64     `json:"word_ms,omitempty"` // how old the worker's newest word was
	Reason         string    `json:"why,omitempty"`
}

// decisionLogSize bounds the trail of one process; with some 200 bytes a step it
// takes less than half a megabyte.
const decisionLogSize = 2048

// decisionLog keeps the newest steps of a process.
type decisionLog struct {
	mu     sync.Mutex
	seq    uint64
	oldest int        // in the ring, once that is full
	ring   []Decision // grows to its length, then the oldest is overwritten
}

// nextSeq counts a change of a worker's state in the order of the steps.
func (t *decisionLog) nextSeq() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	return t.seq
}

// add keeps a step, in the place of the oldest.
func (t *decisionLog) add(decision Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	decision.Seq, decision.Time = t.seq, time.Now()
	if len(t.ring) < decisionLogSize {
		t.ring = append(t.ring, decision)
		return
	}
	t.ring[t.oldest] = decision
	t.oldest = (t.oldest + 1) % decisionLogSize
}

// filter gives the kept steps of a request or a worker, all for "", oldest first.
func (t *decisionLog) filter(name string) []Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Decision{}
	for i := range t.ring {
		decision := t.ring[(t.oldest+i)%len(t.ring)]
		if name == "" || decision.Request == name || decision.Worker == name {
			out = append(out, decision)
		}
	}
	return out
}

// recordDecision adds what is known of the worker and keeps it.
func (x *Proxy) recordDecision(attempt *ownerAttempt, step, reason string) {
	decision := Decision{Request: attempt.req.WorkerAttemptID, Attempt: attempt.req.AttemptID, Step: step, Worker: attempt.req.Worker, Reason: reason}
	if decision.Request == "" {
		decision.Request = attempt.req.RequestID
	}
	if local := attempt.worker; local != nil {
		local.mu.Lock()
		decision.Since, decision.HeartbeatSeq = local.stateSeq, local.callSeq
		if !local.lastUp.IsZero() {
			decision.HeartbeatAgeMS = time.Since(local.lastUp).Milliseconds()
		}
		local.mu.Unlock()
		decision.State = local.state.Current()
	}
	x.decisions.add(decision)
}

// onDecisions tells the newest decisions about requests, of one request or worker
// where the query names it ("of").
func (x *Proxy) onDecisions(w http.ResponseWriter, r *http.Request) {
	httpapi.WriteJSON(w, http.StatusOK, map[string][]Decision{"steps": x.decisions.filter(r.URL.Query().Get("of"))})
}
