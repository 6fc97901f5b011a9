package mesh

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

var client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Call makes one call to a process, with a second of patience; code 0 means no answer.
func (m *Mesh) Call(method, address, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(bytes.TrimSpace(raw))
}

// Arrival is a request that a worker has run.
type Arrival struct {
	At                    time.Time
	Worker, Attempt, Path string
}

// Worker is a stand-in for an application worker: one life, with its own instance id.
type Worker struct {
	ID, Service string
	Machine     *Machine
	Work        time.Duration
	OnRun       func(Arrival)
	mesh        *Mesh
	server      *http.Server
	mu          sync.Mutex
	sequence    int
	lostShare   float64
	lostUntil   time.Time
	stop        context.CancelFunc
}

// StartWorker starts a worker on a side machine. Its beats begin with StartBeats.
func (m *Mesh) StartWorker(machine *Machine, id string, work time.Duration, onRun func(Arrival)) *Worker {
	w := &Worker{ID: id, Service: machine.Service, Machine: machine, Work: work, OnRun: onRun, mesh: m}
	listener, err := net.Listen("tcp", machine.App())
	if err != nil {
		m.Fail("worker %s: %v", id, err)
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	return w
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	attempt := r.Header.Get("X-Puffincrank-Attempt-Id")
	if expected := r.Header.Get("X-Puffincrank-Expected-Instance"); expected != "" && expected != w.ID {
		rw.Header().Set("X-Puffincrank-Not-Executed", "1")
		rw.Header().Set("X-Puffincrank-Instance-Id", w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.OnRun(Arrival{time.Now(), w.ID, attempt, r.URL.Path})
	select {
	case <-time.After(w.workOf(r.URL.Path)):
	case <-r.Context().Done():
		return
	}
	if w.losesAnswer() {
		w.mesh.Log("worker %s loses the answer of %s", w.ID, attempt)
		resetConn(rw)
		return
	}
	rw.Header().Set("X-Puffincrank-Attempt-Id", attempt)
	rw.Header().Set("X-Puffincrank-Server-Seal", "seal."+w.ID+"."+attempt)
	_, _ = io.WriteString(rw, strings.Repeat(attempt+"\n", 20))
}

// NextBeat returns the body of the worker's next beat.
func (w *Worker) NextBeat(state string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return fmt.Sprintf(`{"service":%q,"addr":%q,"area":"palermo-a","version":"v1","slots":12,"state":%q,"cold_ms":0,"seq":%d}`, w.Service, w.Machine.App(), state, w.sequence)
}

// Send sends a beat to the node beside the worker.
func (w *Worker) Send(beat string) int {
	code, _ := w.mesh.Call("PUT", w.Machine.Control(), "/puffin/workers/"+w.ID, beat)
	return code
}

// SignOff sends the worker's DELETE and returns the status.
func (w *Worker) SignOff() int {
	code, _ := w.mesh.Call("DELETE", w.Machine.Control(), "/puffin/workers/"+w.ID, "")
	return code
}

// StartBeats sends a beat at once and every 1.5 s, until StopBeats.
func (w *Worker) StartBeats() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go func() {
		for ctx.Err() == nil {
			if w.Send(w.NextBeat("up")) != 200 {
				select {
				case <-ctx.Done():
				case <-time.After(100 * time.Millisecond):
				}
				continue
			}
			select {
			case <-ctx.Done():
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
}

// StopBeats ends the beats of StartBeats.
func (w *Worker) StopBeats() { w.stop() }

// End ends the worker.
func (w *Worker) End() { _ = w.server.Close() }

// workOf is how long a request works: as its path says (/kind/wMS), or as usual.
func (w *Worker) workOf(path string) time.Duration {
	var ms int
	if i := strings.LastIndex(path, "/w"); i >= 0 {
		if n, _ := fmt.Sscanf(path[i:], "/w%d", &ms); n == 1 {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return w.Work
}

// LoseAnswers lets the worker reset the connection in place of a share of its answers.
func (w *Worker) LoseAnswers(share float64, length time.Duration) {
	w.mu.Lock()
	w.lostShare, w.lostUntil = share, time.Now().Add(length)
	w.mu.Unlock()
}

func (w *Worker) losesAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.lostUntil) && rand.Float64() < w.lostShare
}

// resetConn resets the connection of a request.
func resetConn(rw http.ResponseWriter) {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
