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

// beatEvery is the time between two of a worker's calls.
const beatEvery = 1500 * time.Millisecond

func (k *Worker) beats(ctx context.Context) {
	for ctx.Err() == nil {
		k.tell(ctx, http.MethodPut)
		task.Sleep(ctx, beatEvery)
	}
}

// tell makes one call to the nodes that take them and says whether it was
// acknowledged. Each has a second, then the next is called.
func (k *Worker) tell(ctx context.Context, method string) bool {
	for range k.Beats {
		// One that signed off beats no more.
		if method == http.MethodPut && (k.is("over") || k.is("leaving")) {
			return false
		}
		at, state, body := k.word()
		code, got := k.ask(ctx, method, at, body)
		if code/100 == 2 {
			if state == "draining" || method == http.MethodDelete {
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

// word makes a worker's next call: where it goes, the state that it tells, and
// all of it.
func (k *Worker) word() (at, state string, body map[string]any) {
	k.mu.Lock()
	k.seq++
	seq, state, at := k.seq, k.state, k.Beats[k.beat%len(k.Beats)]
	k.mu.Unlock()
	cold := max(k.W.Cold-time.Since(k.born), 0)
	return at, state, map[string]any{"service": k.Service, "addr": k.Addr, "area": k.Area, "version": "v1", "slots": k.W.Slots, "state": state,
		"cold_ms": cold.Milliseconds(), "seq": seq}
}

// hold makes a beat now that comes only after a time, as one that was held up on
// its way.
func (k *Worker) hold(long time.Duration) {
	at, _, body := k.word()
	k.g.Go("late-beat", func(ctx context.Context) {
		task.Sleep(ctx, long)
		if ctx.Err() == nil {
			k.ask(ctx, http.MethodPut, at, body)
		}
	})
}

func (k *Worker) ask(ctx context.Context, method, at string, body any) (int, []byte) {
	raw, _ := json.Marshal(body)
	return Ask(ctx, k.e.Net, method, at, "/puffin/workers/"+k.Name, raw, time.Second)
}

// Manner is how a worker leaves.
type Manner struct {
	SignsOff bool          // it never says "draining": it signs off first and serves on as long
	Late     time.Duration // a beat of before comes only so long after its first word; 0: none does
	More     time.Duration // it serves on for so much longer
}

// latest is how late a beat may come.
const latest = 3 * time.Second

// manner draws how a worker leaves: one in three signs off first, every second
// one has a beat on its way, and one in three serves on for seconds.
func (k *Worker) manner() Manner {
	var m Manner
	m.SignsOff = k.dice.below(3) == 0
	if k.dice.below(2) == 0 {
		m.Late = time.Duration(1+k.dice.below(int(latest/time.Millisecond))) * time.Millisecond
	}
	if k.dice.below(3) == 0 {
		m.More = latest
	}
	return m
}

// Leave is the planned end of a worker, in a manner of its own.
func (k *Worker) Leave(ctx context.Context) { k.LeaveBy(ctx, k.manner()) }

// LeaveBy is the planned end of a worker: it says that it leaves, serves on for
// its time after that was acknowledged, signs off and ends. Without an
// acknowledgement it ends all the same, some seconds later.
func (k *Worker) LeaveBy(ctx context.Context, m Manner) {
	if m.Late > 0 {
		k.hold(m.Late)
	}
	method := http.MethodPut
	k.mu.Lock()
	k.state = "draining"
	if m.SignsOff {
		k.state, method = "leaving", http.MethodDelete
	}
	k.mu.Unlock()
	k.wit.Leaves(k.Worker)
	for from := time.Now(); time.Since(from) < 6*time.Second; {
		if k.tell(ctx, method) {
			pause(ctx, k.W.Drain+m.More+time.Duration(200+k.dice.below(300))*time.Millisecond)
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

// Acknowledged tells whether its leave was.
func (k *Worker) Acknowledged() bool {
	yes := false
	k.wit.Change(func() { yes = !k.Acked.IsZero() })
	return yes
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
