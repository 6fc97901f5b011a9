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

// heartbeatInterval is the time between two of a worker's calls.
const heartbeatInterval = 1500 * time.Millisecond

func (k *Worker) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		k.report(ctx, http.MethodPut)
		task.Sleep(ctx, heartbeatInterval)
	}
}

// report makes one call to the nodes that take them and says whether it was
// acknowledged. Each has a second, then the next is called.
func (k *Worker) report(ctx context.Context, method string) bool {
	for range k.HeartbeatAddrs {
		// One that signed off beats no more.
		if method == http.MethodPut && (k.inState("over") || k.inState("leaving")) {
			return false
		}
		addr, state, body := k.nextReport()
		code, answer := k.callNode(ctx, method, addr, body)
		if code/100 == 2 {
			if state == "draining" || method == http.MethodDelete {
				node := hostOf(addr)
				if node == hostOf(k.ListenAddr) {
					node = k.Machine
				}
				k.recorder.LeaveAcked(k.Worker, node)
			}
			var parsed struct {
				At string `json:"beat_at"`
			}
			if json.Unmarshal(answer, &parsed) == nil && parsed.At != "" {
				k.mu.Lock()
				k.HeartbeatAddrs, k.heartbeatIndex = append([]string{parsed.At}, k.HeartbeatAddrs...), 0
				k.mu.Unlock()
			}
			return true
		}
		k.mu.Lock()
		k.heartbeatIndex++
		k.mu.Unlock()
	}
	return false
}

// nextReport makes a worker's next call: where it goes, the state that it tells, and
// all of it.
func (k *Worker) nextReport() (addr, state string, body map[string]any) {
	k.mu.Lock()
	k.seq++
	seq, state, addr := k.seq, k.state, k.HeartbeatAddrs[k.heartbeatIndex%len(k.HeartbeatAddrs)]
	k.mu.Unlock()
	cold := max(k.Behavior.Cold-time.Since(k.startedAt), 0)
	return addr, state, map[string]any{"service": k.Service, "addr": k.ListenAddr, "area": k.Area, "version": "v1", "slots": k.Behavior.Slots, "state": state,
		"cold_ms": cold.Milliseconds(), "seq": seq}
}

// delayHeartbeat makes a beat now that comes only after a time, as one that was held up on
// its way.
func (k *Worker) delayHeartbeat(delay time.Duration) {
	addr, _, body := k.nextReport()
	k.tasks.Go("late-beat", func(ctx context.Context) {
		task.Sleep(ctx, delay)
		if ctx.Err() == nil {
			k.callNode(ctx, http.MethodPut, addr, body)
		}
	})
}

func (k *Worker) callNode(ctx context.Context, method, addr string, body any) (int, []byte) {
	raw, _ := json.Marshal(body)
	return Ask(ctx, k.env.Net, method, addr, "/puffin/workers/"+k.Name, raw, time.Second)
}

// Manner is how a worker leaves.
type Manner struct {
	SignsOff bool          // it never says "draining": it signs off first and serves on as long
	Late     time.Duration // a beat of before comes only so long after its first word; 0: none does
	More     time.Duration // it serves on for so much longer
}

// maxHeartbeatDelay is how late a beat may come.
const maxHeartbeatDelay = 3 * time.Second

// drawManner draws how a worker leaves: one in three signs off first, every second
// one has a beat on its way, and one in three serves on for seconds.
func (k *Worker) drawManner() Manner {
	var manner Manner
	manner.SignsOff = k.random.intN(3) == 0
	if k.random.intN(2) == 0 {
		manner.Late = time.Duration(1+k.random.intN(int(maxHeartbeatDelay/time.Millisecond))) * time.Millisecond
	}
	if k.random.intN(3) == 0 {
		manner.More = maxHeartbeatDelay
	}
	return manner
}

// Leave is the planned end of a worker, in a manner of its own.
func (k *Worker) Leave(ctx context.Context) { k.LeaveBy(ctx, k.drawManner()) }

// LeaveBy is the planned end of a worker: it says that it leaves, serves on for
// its time after that was acknowledged, signs off and ends. Without an
// acknowledgement it ends all the same, some seconds later.
func (k *Worker) LeaveBy(ctx context.Context, manner Manner) {
	if manner.Late > 0 {
		k.delayHeartbeat(manner.Late)
	}
	method := http.MethodPut
	k.mu.Lock()
	k.state = "draining"
	if manner.SignsOff {
		k.state, method = "leaving", http.MethodDelete
	}
	k.mu.Unlock()
	k.recorder.LeaveSent(k.Worker)
	for from := time.Now(); time.Since(from) < 6*time.Second; {
		if k.report(ctx, method) {
			sleep(ctx, k.Behavior.Drain+manner.More+time.Duration(200+k.random.intN(300))*time.Millisecond)
			break
		}
		sleep(ctx, 300*time.Millisecond)
	}
	k.report(ctx, http.MethodDelete)
	// What it has in hand is answered; those who still come are not its fault.
	for range 20 {
		if inUse, _ := k.slots.load(); inUse == 0 {
			break
		}
		sleep(ctx, 50*time.Millisecond)
	}
	k.Kill()
}

// Acknowledged tells whether its leave was.
func (k *Worker) Acknowledged() bool {
	acknowledged := false
	k.recorder.Update(func() { acknowledged = !k.LeaveAckedAt.IsZero() })
	return acknowledged
}

// Ask makes one call on a connection of its own; the code is 0 when no whole
// answer came in time.
func Ask(ctx context.Context, network dialer, method, addr, uri string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+uri, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(dialCtx context.Context, _, target string) (net.Conn, error) {
		// The transport's own dial goes on after the call has ended.
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
