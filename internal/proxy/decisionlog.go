package proxy

import (
	"net/http"
	"sync"
	"time"

	"puffincrank/internal/httpapi"
)

// Steps of a request that the decision log records.
const (
	stepSent      = "sent"        // written to the worker
	stepRefused   = "refused"     // refused by the owner without running
	stepLeft      = "caller-left" // the ingress saw that the caller had left
	stepCancelled = "cancelled"   // the owner was told that the caller had left
	stepEnded     = "run-ended"   // the owner closed the connection of the run
	stepKept      = "run-kept"    // the run goes on, since it must not be repeated
	stepUnknown   = "unknown"     // the owner has no response of the worker, which may have run it
	stepHedged    = "hedged"      // the ingress started a second attempt beside the one at the worker
	// The ingress answered a request that may have run, without its worker's response.
	stepUnanswered = "unanswered"
)

// Decision is one decision about a request, with what this node knew of the worker at that
// time.
type Decision struct {
	Seq            uint64    `json:"seq"` // orders decisions and worker state changes of this process
	Time           time.Time `json:"at"`  // wall clock, for comparison with other logs; not an order
	Request        string    `json:"request"`
	Attempt        string    `json:"attempt,omitempty"`
	Step           string    `json:"step"`
	Worker         string    `json:"worker,omitempty"`
	State          string    `json:"state,omitempty"`   // of the worker
	Since          uint64    `json:"since,omitempty"`   // sequence number at which that state began
	HeartbeatSeq   int64     `json:"call,omitempty"`    // newest accepted call of the worker
	HeartbeatAgeMS int64     `json:"word_ms,omitempty"` // age of the worker's newest report
	Reason         string    `json:"why,omitempty"`
}

// decisionLogSize bounds the decision log of one process; at some 200 bytes per entry it takes
// less than half a megabyte.
const decisionLogSize = 2048

// decisionLog keeps the newest decisions of a process.
type decisionLog struct {
	mu     sync.Mutex
	seq    uint64
	oldest int        // index of the oldest entry once the ring is full
	ring   []Decision // grows to its full size, then the oldest entry is overwritten
}

// nextSeq assigns a sequence number to a change of a worker's state.
func (l *decisionLog) nextSeq() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	return l.seq
}

// add appends a decision, replacing the oldest if the log is full.
func (l *decisionLog) add(decision Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	decision.Seq, decision.Time = l.seq, time.Now()
	if len(l.ring) < decisionLogSize {
		l.ring = append(l.ring, decision)
		return
	}
	l.ring[l.oldest] = decision
	l.oldest = (l.oldest + 1) % decisionLogSize
}

// filter returns the decisions about a request or a worker, or all for "", oldest first.
func (l *decisionLog) filter(name string) []Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Decision{}
	for i := range l.ring {
		decision := l.ring[(l.oldest+i)%len(l.ring)]
		if name == "" || decision.Request == name || decision.Worker == name {
			out = append(out, decision)
		}
	}
	return out
}

// recordDecision logs a decision with the current state of the worker.
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

// onDecisions returns the newest decisions, those of one request or worker if the query names
// it as "of".
func (x *Proxy) onDecisions(w http.ResponseWriter, r *http.Request) {
	httpapi.WriteJSON(w, http.StatusOK, map[string][]Decision{"steps": x.decisions.filter(r.URL.Query().Get("of"))})
}
