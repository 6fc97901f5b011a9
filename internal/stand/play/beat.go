package play

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

// beatEvery is the time between two of a worker's calls.
const beatEvery = 1500 * time.Millisecond

func (k *Worker) beats(ctx context.Context) {
	for ctx.Err() == nil {
		k.tell(ctx, http.MethodPut)
		task.Pause(ctx, beatEvery)
	}
}

// tell makes one call to the nodes that take them and says whether it was
// acknowledged. Each has a second, then the next is called.
func (k *Worker) tell(ctx context.Context, method string) bool {
	for range k.Beats {
		k.mu.Lock()
		k.seq++
		seq, state, at := k.seq, k.state, k.Beats[k.beat%len(k.Beats)]
		k.mu.Unlock()
		if state == "over" && method == http.MethodPut {
			return false
		}
		cold := max(k.W.Cold-time.Since(k.born), 0)
		body := map[string]any{"service": k.Service, "addr": k.Addr, "area": k.Area, "version": "v1", "slots": k.W.Slots, "state": state,
			"cold_ms": cold.Milliseconds(), "seq": seq}
		code, got := k.ask(ctx, method, at, body)
		if code/100 == 2 {
			if state == "draining" {
				by := host(at)
				if by == host(k.Addr) {
					by = k.Machine
				}
				k.wit.LeaveTaken(k.Worker, by)
			}
			var said struct {
				At string `json:"beat_at"`
			}
			if json.Unmarshal(got, &said) == nil && said.At != "" {
				k.mu.Lock()
				k.Beats, k.beat = append([]string{said.At}, k.Beats...), 0
				k.mu.Unlock()
			}
			return true
		}
		k.mu.Lock()
		k.beat++
		k.mu.Unlock()
	}
	return false
}

func (k *Worker) ask(ctx context.Context, method, at string, body any) (int, []byte) {
	raw, _ := json.Marshal(body)
	return Ask(ctx, k.e.Net, method, at, "/puffin/workers/"+k.Name, raw, time.Second)
}

// Leave is the planned end of a worker: it says that it leaves, serves on for
// its time after that was acknowledged, signs off and ends. Without an
// acknowledgement it ends all the same, some seconds later.
func (k *Worker) Leave(ctx context.Context) {
	k.mu.Lock()
	k.state = "draining"
	k.mu.Unlock()
	k.wit.Leaves(k.Worker)
	for from := time.Now(); time.Since(from) < 6*time.Second; {
		if k.tell(ctx, http.MethodPut) {
			pause(ctx, k.W.Drain+time.Duration(200+k.dice.below(300))*time.Millisecond)
			break
		}
		pause(ctx, 300*time.Millisecond)
	}
	k.tell(ctx, http.MethodDelete)
	// What it has in hand is answered; those who still come are not its fault.
	for range 20 {
		if now, _ := k.room.load(); now == 0 {
			break
		}
		pause(ctx, 50*time.Millisecond)
	}
	k.Kill()
}

// Ask makes one call on a connection of its own; the code is 0 when no whole
// answer came in time.
func Ask(ctx context.Context, e dialer, method, at, uri string, body []byte, long time.Duration) (int, []byte) {
	ctx, end := context.WithTimeout(ctx, long)
	defer end()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at+uri, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	way := &http.Transport{DisableKeepAlives: true, DialContext: func(free context.Context, _, a string) (net.Conn, error) {
		// The transport's own dial goes on after the call has ended.
		free, end := context.WithTimeout(free, long)
		defer end()
		return e.Dial(free, a)
	}}
	w, err := way.RoundTrip(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = w.Body.Close() }()
	raw, err := io.ReadAll(w.Body)
	if err != nil {
		return 0, nil
	}
	return w.StatusCode, raw
}

type dialer interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

func host(a string) string {
	h, _, err := net.SplitHostPort(a)
	if err != nil {
		return a
	}
	return h
}
