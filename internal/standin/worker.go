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
	Service, ID, Addr string
	Slots             int
	proxy             string // outer address of the node beside it
	e                 env.Env
	g                 *task.Group
	obs               *Observer
	way               http.RoundTripper
	mu                sync.Mutex
	w                 Way
	say               string
	left              time.Time // when it said that it is leaving
	now, most, runs   int
	calls             func(left string) // a nested call, with the time left
}

// NewWorker starts a worker; obs may be nil when nobody counts.
func NewWorker(e env.Env, service, id, addr, proxy string, slots int, w Way, obs *Observer) (*Worker, error) {
	k := &Worker{Service: service, ID: id, Addr: addr, Slots: slots, proxy: proxy, e: e, g: task.New(context.Background()), obs: obs, w: w, say: "up"}
	k.way = &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, a string) (net.Conn, error) { return e.Net.Dial(ctx, a) }}
	if err := httpapi.Serve(k.g, e, addr, http.HandlerFunc(k.serve), time.Second); err != nil {
		return nil, err
	}
	k.g.Go("beats", func(ctx context.Context) {
		for {
			wait := k.beat(ctx)
			t := time.NewTimer(wait)
			select {
			case <-ctx.Done():
				t.Stop()
				return
			case <-t.C:
			}
		}
	})
	return k, nil
}

// beat tells the node beside it how it is.
func (k *Worker) beat(ctx context.Context) time.Duration {
	k.mu.Lock()
	say := k.say
	k.mu.Unlock()
	wait := 250 * time.Millisecond
	ctx, end := context.WithTimeout(ctx, time.Second)
	defer end()
	body, _ := json.Marshal(map[string]any{"service": k.Service, "worker": k.ID, "addr": k.Addr, "slots": k.Slots, "state": say})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+k.proxy+"/puffin/beat", bytes.NewReader(body))
	if err != nil {
		return wait
	}
	w, err := k.way.RoundTrip(r)
	if err != nil {
		return wait
	}
	defer func() { _ = w.Body.Close() }()
	var got struct {
		Beat int64 `json:"beat_ms"`
	}
	if json.NewDecoder(w.Body).Decode(&got) == nil && got.Beat > 0 {
		wait = time.Duration(got.Beat) * time.Millisecond
	}
	return wait
}

// Behave changes the worker's way.
func (k *Worker) Behave(w Way) {
	k.mu.Lock()
	k.w = w
	k.mu.Unlock()
}

// Leave says that the worker is leaving, or gone.
func (k *Worker) Leave(say string) {
	k.mu.Lock()
	k.say = say
	if k.left.IsZero() {
		k.left = time.Now()
	}
	k.mu.Unlock()
	k.beat(k.g.Context())
}

// CallsTo makes every job of this worker make a call of its own.
func (k *Worker) CallsTo(f func(left string)) {
	k.mu.Lock()
	k.calls = f
	k.mu.Unlock()
}

// Nests makes a part of this worker's jobs call further services, through the
// front beside it; the rate of a line is the part of the jobs that make it.
func (k *Worker) Nests(front string, lines []Line) {
	if len(lines) == 0 {
		return
	}
	c := NewCallers(k.e, []string{front}, k.obs, 15*time.Second)
	c.Name = "nested-" + k.ID + "-"
	k.CallsTo(func(left string) {
		for _, l := range lines {
			if rand.Float64() < l.Rate {
				l.Left = left
				c.At(front, l)
			}
		}
	})
}

// Kill ends the worker at once.
func (k *Worker) Kill() { k.g.Stop() }

func (k *Worker) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/puffin/fitness" {
		w.Header().Set(responsedigest.WorkerHeader, k.ID)
		return
	}
	from := time.Now()
	body, _ := io.ReadAll(r.Body)
	attempt, job := r.Header.Get(responsedigest.AttemptIDHeader), r.Header.Get(responsedigest.RequestIDHeader)
	k.mu.Lock()
	way, left := k.w, k.left
	k.mu.Unlock()
	// A job meant for another identity is refused unseen, but that it got here
	// at all counts.
	if r.Header.Get(responsedigest.WorkerHeader) != k.ID {
		if k.obs != nil {
			k.obs.Blame(Stranger, r.Header.Get("X-Call")+" for "+r.Header.Get(responsedigest.WorkerHeader)+" arrived at "+k.ID)
		}
		if !way.Naive {
			k.send(w, attempt, http.StatusMisdirectedRequest, []byte("not me"))
			return
		}
	}
	if rand.Float64() < way.Busy {
		w.Header().Set(responsedigest.ExecutedHeader, "no")
		k.send(w, attempt, http.StatusServiceUnavailable, []byte("busy"))
		return
	}
	k.mu.Lock()
	k.now++
	k.runs++
	k.most = max(k.most, k.now)
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		k.now--
		k.mu.Unlock()
	}()
	if k.obs != nil {
		k.obs.ran(job, r.Header.Get("X-Call"), k, r.Header.Get("X-Service"), left)
	}
	if way.Took > 0 {
		// Between half and one and a half of the middle.
		t := time.NewTimer(way.Took/2 + time.Duration(rand.Int64N(int64(way.Took))))
		select {
		case <-t.C:
		case <-r.Context().Done():
			t.Stop()
		}
	}
	k.mu.Lock()
	calls := k.calls
	k.mu.Unlock()
	if calls != nil {
		left, _ := strconv.ParseInt(r.Header.Get(responsedigest.TimeoutHeader), 10, 64)
		calls(strconv.FormatInt(max(left-time.Since(from).Milliseconds(), 1), 10))
	}
	if rand.Float64() < way.Lose {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if rand.Float64() < way.Sulk {
		status = http.StatusServiceUnavailable
	}
	if rand.Float64() < way.Fail {
		status = http.StatusInternalServerError
	}
	out := []byte(fmt.Sprintf("%s|%s|%s|%s|%d", k.Service, k.ID, job, r.Header.Get("X-Call"), len(body)))
	if want, _ := strconv.Atoi(r.Header.Get("X-Want")); want > 0 {
		out = append(out, Whole(r.Header.Get("X-Call"), body, want)...)
	}
	if rand.Float64() < way.Garble {
		w.Header().Set(responsedigest.AttemptIDHeader, attempt)
		w.Header().Set(responsedigest.WorkerHeader, k.ID)
		w.Header().Set(responsedigest.DigestHeader, responsedigest.Of(attempt, k.ID, status, out))
		out[rand.IntN(len(out))] ^= 0x55
		w.WriteHeader(status)
		_, _ = w.Write(out)
		return
	}
	k.send(w, attempt, status, out)
}

func (k *Worker) send(w http.ResponseWriter, attempt string, status int, body []byte) {
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
