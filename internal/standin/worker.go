// Package standin simulates the workers and callers that the mesh serves, and observes them to
// count violations of its guarantees.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/responsedigest"
	"puffincrank/internal/task"
)

// WorkerBehavior describes how a worker behaves. The parts are those of the requests, drawn at random.
type WorkerBehavior struct {
	Took   time.Duration // mean time to execute a request
	Lose   float64       // part executed, but whose answer is lost
	Garble float64       // part whose answer is corrupted
	Fail   float64       // part answered with 500
	Busy   float64       // part answered with 503 and a header saying that it was not executed
	Sulk   float64       // part executed, but answered with 503 and no header saying so
	Naive  bool          // executes requests that are addressed to another worker
}

// Worker is a worker of one service.
type Worker struct {
	Service, ID, Addr           string
	Slots                       int
	proxyAddr                   string // outer address of the node beside it
	env                         env.Env
	tasks                       *task.Group
	observer                    *Observer
	transport                   http.RoundTripper
	mu                          sync.Mutex
	behavior                    WorkerBehavior
	state                       string
	leftAt                      time.Time // when it first reported that it is leaving
	executing, peak, executions int
	nestedCalls                 func(left string) // makes nested calls, given the remaining time in ms
}

// NewWorker starts a worker. observer may be nil if violations are not counted.
func NewWorker(environment env.Env, service, id, addr, proxyAddr string, slots int, behavior WorkerBehavior, observer *Observer) (*Worker, error) {
	worker := &Worker{Service: service, ID: id, Addr: addr, Slots: slots, proxyAddr: proxyAddr, env: environment, tasks: task.New(context.Background()), observer: observer, behavior: behavior, state: "up"}
	worker.transport = &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return environment.Net.Dial(ctx, addr) }}
	if err := httpapi.Serve(worker.tasks, environment, addr, http.HandlerFunc(worker.serve), time.Second); err != nil {
		return nil, err
	}
	worker.tasks.Go("beats", func(ctx context.Context) {
		for {
			wait := worker.sendHeartbeat(ctx)
			timer := time.NewTimer(wait)
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.C:
			}
		}
	})
	return worker, nil
}

// sendHeartbeat reports the worker's state to its node and returns the time until the next one.
func (worker *Worker) sendHeartbeat(ctx context.Context) time.Duration {
	worker.mu.Lock()
	state := worker.state
	worker.mu.Unlock()
	wait := 250 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	body, _ := json.Marshal(map[string]any{"service": worker.Service, "worker": worker.ID, "addr": worker.Addr, "slots": worker.Slots, "state": state})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+worker.proxyAddr+"/puffin/beat", bytes.NewReader(body))
	if err != nil {
		return wait
	}
	response, err := worker.transport.RoundTrip(request)
	if err != nil {
		return wait
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Beat int64 `json:"beat_ms"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) == nil && answer.Beat > 0 {
		wait = time.Duration(answer.Beat) * time.Millisecond
	}
	return wait
}

// SetBehavior changes how the worker behaves.
func (worker *Worker) SetBehavior(behavior WorkerBehavior) {
	worker.mu.Lock()
	worker.behavior = behavior
	worker.mu.Unlock()
}

// Leave reports the given state, which says that the worker is leaving or gone.
func (worker *Worker) Leave(state string) {
	worker.mu.Lock()
	worker.state = state
	if worker.leftAt.IsZero() {
		worker.leftAt = time.Now()
	}
	worker.mu.Unlock()
	worker.sendHeartbeat(worker.tasks.Context())
}

// SetNestedCalls sets a function that is called during each request, with the remaining time in ms.
func (worker *Worker) SetNestedCalls(call func(left string)) {
	worker.mu.Lock()
	worker.nestedCalls = call
	worker.mu.Unlock()
}

// NestCalls makes the worker's requests make nested calls through the given ingress. The rate of a
// kind of call is the part of the requests that make it.
func (worker *Worker) NestCalls(ingress string, lines []CallKind) {
	if len(lines) == 0 {
		return
	}
	callers := NewCallers(worker.env, []string{ingress}, worker.observer, 15*time.Second)
	callers.Name = "nested-" + worker.ID + "-"
	worker.SetNestedCalls(func(left string) {
		for _, line := range lines {
			if rand.Float64() < line.Rate {
				line.Timeout = left
				callers.CallAt(ingress, line)
			}
		}
	})
}

// Kill ends the worker at once.
func (worker *Worker) Kill() { worker.tasks.Stop() }

func (worker *Worker) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/puffin/fitness" {
		w.Header().Set(responsedigest.WorkerHeader, worker.ID)
		return
	}
	start := time.Now()
	body, _ := io.ReadAll(r.Body)
	attemptID, requestID := r.Header.Get(responsedigest.AttemptIDHeader), r.Header.Get(responsedigest.RequestIDHeader)
	worker.mu.Lock()
	behavior, leftAt := worker.behavior, worker.leftAt
	worker.mu.Unlock()
	// A request for another worker is declined without being executed, but its arrival
	// is already a violation.
	if r.Header.Get(responsedigest.WorkerHeader) != worker.ID {
		if worker.observer != nil {
			worker.observer.RecordViolation(Misdelivered, r.Header.Get("X-Call")+" for "+r.Header.Get(responsedigest.WorkerHeader)+" arrived at "+worker.ID)
		}
		if !behavior.Naive {
			worker.writeAnswer(w, attemptID, http.StatusMisdirectedRequest, []byte("not me"))
			return
		}
	}
	if rand.Float64() < behavior.Busy {
		w.Header().Set(responsedigest.ExecutedHeader, "no")
		worker.writeAnswer(w, attemptID, http.StatusServiceUnavailable, []byte("busy"))
		return
	}
	worker.mu.Lock()
	worker.executing++
	worker.executions++
	worker.peak = max(worker.peak, worker.executing)
	worker.mu.Unlock()
	defer func() {
		worker.mu.Lock()
		worker.executing--
		worker.mu.Unlock()
	}()
	if worker.observer != nil {
		worker.observer.recordExecution(requestID, r.Header.Get("X-Call"), worker, r.Header.Get("X-Service"), leftAt)
	}
	if behavior.Took > 0 {
		// Between 0.5 and 1.5 times the mean.
		timer := time.NewTimer(behavior.Took/2 + time.Duration(rand.Int64N(int64(behavior.Took))))
		select {
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
		}
	}
	worker.mu.Lock()
	calls := worker.nestedCalls
	worker.mu.Unlock()
	if calls != nil {
		remaining, _ := strconv.ParseInt(r.Header.Get(responsedigest.TimeoutHeader), 10, 64)
		calls(strconv.FormatInt(max(remaining-time.Since(start).Milliseconds(), 1), 10))
	}
	if rand.Float64() < behavior.Lose {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if rand.Float64() < behavior.Sulk {
		status = http.StatusServiceUnavailable
	}
	if rand.Float64() < behavior.Fail {
		status = http.StatusInternalServerError
	}
	answer := []byte(fmt.Sprintf("%s|%s|%s|%s|%d", worker.Service, worker.ID, requestID, r.Header.Get("X-Call"), len(body)))
	if want, _ := strconv.Atoi(r.Header.Get("X-Want")); want > 0 {
		answer = append(answer, LongAnswer(r.Header.Get("X-Call"), body, want)...)
	}
	if rand.Float64() < behavior.Garble {
		w.Header().Set(responsedigest.AttemptIDHeader, attemptID)
		w.Header().Set(responsedigest.WorkerHeader, worker.ID)
		w.Header().Set(responsedigest.DigestHeader, responsedigest.Of(attemptID, worker.ID, status, answer))
		answer[rand.IntN(len(answer))] ^= 0x55
		w.WriteHeader(status)
		_, _ = w.Write(answer)
		return
	}
	worker.writeAnswer(w, attemptID, status, answer)
}

func (worker *Worker) writeAnswer(w http.ResponseWriter, attemptID string, status int, body []byte) {
	w.Header().Set(responsedigest.AttemptIDHeader, attemptID)
	w.Header().Set(responsedigest.WorkerHeader, worker.ID)
	w.Header().Set(responsedigest.DigestHeader, responsedigest.Of(attemptID, worker.ID, status, body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// Runs returns the number of requests that the worker began to execute.
func (worker *Worker) Runs() int {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.executions
}
