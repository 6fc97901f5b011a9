// Package standin holds stand-ins for what the mesh serves: workers and callers,
// and the observer who counts what must never happen.
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

// Way is how a worker behaves.
type Way struct {
	Took   time.Duration // middle time for one job
	Lose   float64       // part of the answers lost after the work
	Garble float64       // part of the answers garbled
	Fail   float64       // part answered 500
	Busy   float64       // part refused with a word that it did not run
	Sulk   float64       // part that is done and then answered 503 without a word on that
	Naive  bool          // doesn't look whom a job is for
}

// Worker is a worker of one service.
type Worker struct {
	Service, ID, Addr     string
	Slots                 int
	proxyAddr             string // outer address of the node beside it
	env                   env.Env
	tasks                 *task.Group
	observer              *Observer
	transport             http.RoundTripper
	mu                    sync.Mutex
	behavior              Way
	state                 string
	leftAt                time.Time // when it said that it is leaving
	executing, peak, runs int
	nestedCalls           func(left string) // a nested call, with the time left
}

// NewWorker starts a worker; obs may be nil when nobody counts.
func NewWorker(environment env.Env, service, id, addr, proxyAddr string, slots int, behavior Way, observer *Observer) (*Worker, error) {
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

// sendHeartbeat tells the node beside it how it is.
func (k *Worker) sendHeartbeat(ctx context.Context) time.Duration {
	k.mu.Lock()
	state := k.state
	k.mu.Unlock()
	wait := 250 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	body, _ := json.Marshal(map[string]any{"service": k.Service, "worker": k.ID, "addr": k.Addr, "slots": k.Slots, "state": state})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+k.proxyAddr+"/puffin/beat", bytes.NewReader(body))
	if err != nil {
		return wait
	}
	response, err := k.transport.RoundTrip(request)
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

// Behave changes the worker's way.
func (k *Worker) Behave(behavior Way) {
	k.mu.Lock()
	k.behavior = behavior
	k.mu.Unlock()
}

// Leave says that the worker is leaving, or gone.
func (k *Worker) Leave(state string) {
	k.mu.Lock()
	k.state = state
	if k.leftAt.IsZero() {
		k.leftAt = time.Now()
	}
	k.mu.Unlock()
	k.sendHeartbeat(k.tasks.Context())
}

// CallsTo makes every job of this worker make a call of its own.
func (k *Worker) CallsTo(call func(left string)) {
	k.mu.Lock()
	k.nestedCalls = call
	k.mu.Unlock()
}

// Nests makes a part of this worker's jobs call further services, through the
// front beside it; the rate of a line is the part of the jobs that make it.
func (k *Worker) Nests(ingress string, lines []Line) {
	if len(lines) == 0 {
		return
	}
	callers := NewCallers(k.env, []string{ingress}, k.observer, 15*time.Second)
	callers.Name = "nested-" + k.ID + "-"
	k.CallsTo(func(left string) {
		for _, line := range lines {
			if rand.Float64() < line.Rate {
				line.Left = left
				callers.At(ingress, line)
			}
		}
	})
}

// Kill ends the worker at once.
func (k *Worker) Kill() { k.tasks.Stop() }

func (k *Worker) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/puffin/fitness" {
		w.Header().Set(responsedigest.WorkerHeader, k.ID)
		return
	}
	from := time.Now()
	body, _ := io.ReadAll(r.Body)
	attempt, job := r.Header.Get(responsedigest.AttemptIDHeader), r.Header.Get(responsedigest.RequestIDHeader)
	k.mu.Lock()
	behavior, leftAt := k.behavior, k.leftAt
	k.mu.Unlock()
	// A job meant for another identity is refused unseen, but that it got here
	// at all counts.
	if r.Header.Get(responsedigest.WorkerHeader) != k.ID {
		if k.observer != nil {
			k.observer.RecordViolation(Misdelivered, r.Header.Get("X-Call")+" for "+r.Header.Get(responsedigest.WorkerHeader)+" arrived at "+k.ID)
		}
		if !behavior.Naive {
			k.writeAnswer(w, attempt, http.StatusMisdirectedRequest, []byte("not me"))
			return
		}
	}
	if rand.Float64() < behavior.Busy {
		w.Header().Set(responsedigest.RanHeader, "no")
		k.writeAnswer(w, attempt, http.StatusServiceUnavailable, []byte("busy"))
		return
	}
	k.mu.Lock()
	k.executing++
	k.runs++
	k.peak = max(k.peak, k.executing)
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		k.executing--
		k.mu.Unlock()
	}()
	if k.observer != nil {
		k.observer.recordRun(job, r.Header.Get("X-Call"), k, r.Header.Get("X-Service"), leftAt)
	}
	if behavior.Took > 0 {
		// Between half and one and a half of the middle.
		timer := time.NewTimer(behavior.Took/2 + time.Duration(rand.Int64N(int64(behavior.Took))))
		select {
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
		}
	}
	k.mu.Lock()
	calls := k.nestedCalls
	k.mu.Unlock()
	if calls != nil {
		leftAt, _ := strconv.ParseInt(r.Header.Get(responsedigest.TimeoutHeader), 10, 64)
		calls(strconv.FormatInt(max(leftAt-time.Since(from).Milliseconds(), 1), 10))
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
	answer := []byte(fmt.Sprintf("%s|%s|%s|%s|%d", k.Service, k.ID, job, r.Header.Get("X-Call"), len(body)))
	if want, _ := strconv.Atoi(r.Header.Get("X-Want")); want > 0 {
		answer = append(answer, Whole(r.Header.Get("X-Call"), body, want)...)
	}
	if rand.Float64() < behavior.Garble {
		w.Header().Set(responsedigest.AttemptIDHeader, attempt)
		w.Header().Set(responsedigest.WorkerHeader, k.ID)
		w.Header().Set(responsedigest.DigestHeader, responsedigest.Of(attempt, k.ID, status, answer))
		answer[rand.IntN(len(answer))] ^= 0x55
		w.WriteHeader(status)
		_, _ = w.Write(answer)
		return
	}
	k.writeAnswer(w, attempt, status, answer)
}

func (k *Worker) writeAnswer(w http.ResponseWriter, attempt string, status int, body []byte) {
	w.Header().Set(responsedigest.AttemptIDHeader, attempt)
	w.Header().Set(responsedigest.WorkerHeader, k.ID)
	w.Header().Set(responsedigest.DigestHeader, responsedigest.Of(attempt, k.ID, status, body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// Runs counts the jobs that it began.
func (k *Worker) Runs() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runs
}
