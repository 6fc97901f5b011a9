package actors

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"puffincrank/internal/task"
)

// heartbeatInterval is the time between two heartbeats of a worker.
const heartbeatInterval = 1500 * time.Millisecond

func (w *Worker) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		w.drawLateHeartbeat()
		w.reportState(ctx, http.MethodPut)
		task.Sleep(ctx, heartbeatInterval)
	}
}

// reportState sends the worker's state to the nodes one after the other, each with a timeout
// of one second, and reports whether one acknowledged it.
func (w *Worker) reportState(ctx context.Context, method string) bool {
	for range w.HeartbeatAddrs {
		// A worker that signed off sends no more heartbeats.
		if method == http.MethodPut && (w.inState("over") || w.inState("leaving")) {
			return false
		}
		addr, state, body := w.nextReport()
		code, answer := w.callNode(ctx, method, addr, body)
		if code/100 == 2 {
			if state == "draining" || method == http.MethodDelete {
				node := hostOf(addr)
				if node == hostOf(w.ListenAddr) {
					node = w.Machine
				}
				w.recorder.LeaveAcked(w.Worker, node)
			}
			var parsed struct {
				At string `json:"beat_at"`
			}
			if json.Unmarshal(answer, &parsed) == nil && parsed.At != "" {
				w.mu.Lock()
				w.HeartbeatAddrs, w.heartbeatIndex = append([]string{parsed.At}, w.HeartbeatAddrs...), 0
				w.mu.Unlock()
			}
			return true
		}
		w.mu.Lock()
		w.heartbeatIndex++
		w.mu.Unlock()
	}
	return false
}

// nextReport returns the worker's next report: its target, the state in it and its body.
func (w *Worker) nextReport() (addr, state string, body map[string]any) {
	w.mu.Lock()
	w.seq++
	seq, state, addr := w.seq, w.state, w.HeartbeatAddrs[w.heartbeatIndex%len(w.HeartbeatAddrs)]
	w.mu.Unlock()
	cold := max(w.Behavior.ColdStart-time.Since(w.startedAt), 0)
	return addr, state, map[string]any{"service": w.Service, "addr": w.ListenAddr, "area": w.Zone, "version": "v1", "slots": w.Behavior.Slots, "state": state,
		"cold_ms": cold.Milliseconds(), "seq": seq}
}

// maxLateness is how late a heartbeat may arrive.
const maxLateness = 6 * time.Second

// drawLateHeartbeat draws whether the current state arrives another time, late, doubled or after
// newer calls. It does so even if the worker has ended meanwhile.
func (w *Worker) drawLateHeartbeat() {
	if w.Behavior.LateTasks == nil || w.inState("over") || w.inState("leaving") || w.lateRandom.fraction() >= w.Behavior.LateShare {
		return
	}
	addr, _, body := w.nextReport()
	first := time.Duration(w.lateRandom.uint64() % uint64(maxLateness))
	second := time.Duration(w.lateRandom.uint64() % uint64(maxLateness))
	for _, delay := range []time.Duration{first, second}[:1+w.lateRandom.intN(2)] {
		w.Behavior.LateTasks.Go("late-beat", func(ctx context.Context) {
			task.Sleep(ctx, delay)
			if ctx.Err() == nil {
				w.callNode(ctx, http.MethodPut, addr, body)
			}
		})
	}
}

// sendDelayedHeartbeat builds a heartbeat now and sends it after the delay, like one that was
// delayed in the network.
func (w *Worker) sendDelayedHeartbeat(delay time.Duration) {
	addr, _, body := w.nextReport()
	w.tasks.Go("late-beat", func(ctx context.Context) {
		task.Sleep(ctx, delay)
		if ctx.Err() == nil {
			w.callNode(ctx, http.MethodPut, addr, body)
		}
	})
}

func (w *Worker) callNode(ctx context.Context, method, addr string, body any) (int, []byte) {
	raw, _ := json.Marshal(body)
	return CallNode(ctx, w.env.Net, method, addr, "/puffin/workers/"+w.Name, raw, time.Second)
}

// LeaveStyle describes how a worker leaves.
type LeaveStyle struct {
	DeregistersFirst bool          // it deregisters at once instead of reporting "draining", and goes on serving for the same time
	HeartbeatDelay   time.Duration // an earlier heartbeat arrives this long after the leave notice; 0: none does
	ExtraServingTime time.Duration // how much longer than required it goes on serving
}

// maxHeartbeatDelay is the longest delay of a late heartbeat, and the additional time that
// some leaving workers go on serving.
const maxHeartbeatDelay = 3 * time.Second

// drawManner draws how a worker leaves: one in three deregisters first, one in two has a
// delayed heartbeat on its way, and one in three goes on serving for maxHeartbeatDelay.
func (w *Worker) drawManner() LeaveStyle {
	var manner LeaveStyle
	manner.DeregistersFirst = w.random.intN(3) == 0
	if w.random.intN(2) == 0 {
		manner.HeartbeatDelay = time.Duration(1+w.random.intN(int(maxHeartbeatDelay/time.Millisecond))) * time.Millisecond
	}
	if w.random.intN(3) == 0 {
		manner.ExtraServingTime = maxHeartbeatDelay
	}
	return manner
}

// Leave shuts the worker down gracefully, in a random manner.
func (w *Worker) Leave(ctx context.Context) { w.LeaveBy(ctx, w.drawManner()) }

// LeaveBy shuts the worker down gracefully: it reports that it leaves, goes on serving for its
// drain time after the acknowledgement, deregisters and ends. Without an acknowledgement it
// gives up after 6 s and ends nevertheless.
func (w *Worker) LeaveBy(ctx context.Context, manner LeaveStyle) {
	if manner.HeartbeatDelay > 0 {
		w.sendDelayedHeartbeat(manner.HeartbeatDelay)
	}
	method := http.MethodPut
	w.mu.Lock()
	w.state = "draining"
	if manner.DeregistersFirst {
		w.state, method = "leaving", http.MethodDelete
	}
	w.mu.Unlock()
	w.recorder.LeaveSent(w.Worker)
	for start := time.Now(); time.Since(start) < 6*time.Second; {
		if w.reportState(ctx, method) {
			sleep(ctx, w.Behavior.DrainTime+manner.ExtraServingTime+time.Duration(200+w.random.intN(300))*time.Millisecond)
			break
		}
		sleep(ctx, 300*time.Millisecond)
	}
	w.reportState(ctx, http.MethodDelete)
	// Requests in progress get up to 1 s to finish. Those that still arrive are cut off.
	for range 20 {
		if inUse, _ := w.slots.load(); inUse == 0 {
			break
		}
		sleep(ctx, 50*time.Millisecond)
	}
	w.Kill()
}

// Acknowledged reports whether the worker's leave was acknowledged.
func (w *Worker) Acknowledged() bool {
	acknowledged := false
	w.recorder.Update(func() { acknowledged = !w.LeaveAckedAt.IsZero() })
	return acknowledged
}

// CallNode makes one call on a new connection. The returned status is 0 if no complete answer
// arrived in time.
func CallNode(ctx context.Context, network dialer, method, addr, uri string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+uri, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(dialCtx context.Context, _, target string) (net.Conn, error) {
		// The transport's dial would continue after the call has ended.
		dialCtx, cancel := context.WithTimeout(dialCtx, timeout)
		defer cancel()
		return network.Dial(dialCtx, target)
	}}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, raw
}

type dialer interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

func hostOf(addr string) string {
	name, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return name
}
