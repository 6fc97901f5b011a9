package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/task"
)

// way keeps connections to the own workers. net/http's Transport isn't used:
// it sends a request again in silence when a kept connection turns out dead.
// Here nothing is ever sent twice: a job is written once, on one connection.
type way struct {
	net  env.Net
	g    *task.Group
	rest time.Duration // how long a connection may idle and be used again
	most int64         // bound on one answer, head and body
	asks bool          // who is there, on each new connection
	mu   sync.Mutex
	idle map[string][]*line // worker to its connections
	all  map[*line]bool
	wary map[string]wary // by worker
}

// line is one connection to a worker.
type line struct {
	c            net.Conn
	worker, addr string
	lim          io.LimitedReader
	r            *bufio.Reader
	w            *bufio.Writer
	since        time.Time
	rested       time.Duration // before its newest job; 0: it is new
	rest         time.Duration // how long it may idle
	woke         chan bool     // the idle watch's last word: still good
}

func newWay(n env.Net, g *task.Group, rest time.Duration, most int64) *way {
	return &way{net: n, g: g, rest: rest, most: most, asks: true, idle: map[string][]*line{}, all: map[*line]bool{}, wary: map[string]wary{}}
}

// take gives a connection to a worker: a kept one that was good a moment ago,
// or a new one. An error means that no job can have been sent.
func (y *way) take(ctx context.Context, worker, addr string) (*line, error) {
	for {
		y.mu.Lock()
		l := y.idle[worker]
		var k *line
		most := y.idles(worker)
		if n := len(l); n > 0 {
			k = l[n-1]
			y.idle[worker] = l[:n-1]
		}
		y.mu.Unlock()
		if k == nil {
			break
		}
		k.rested = time.Since(k.since)
		if k.kept() && k.rested < min(k.rest, most) {
			return k, nil
		}
		y.drop(k)
	}
	return y.open(ctx, worker, addr)
}

// kept tells whether the worker kept still while the connection idled: one that
// closed it, or said something that nobody asked for, gets no job on it.
func (k *line) kept() bool {
	if still, known := env.Still(k.c); known {
		return still
	}
	// The watch is told to end, and says.
	_ = k.c.SetReadDeadline(time.Unix(1, 0))
	return <-k.woke
}

// keep puts a connection by. Where it can't be looked at before its next job, a
// watch reads on it meanwhile.
func (y *way) keep(k *line) {
	k.since = time.Now()
	k.lim.N = 1
	_ = k.c.SetDeadline(time.Time{})
	if _, known := env.Still(k.c); known {
		y.mu.Lock()
		defer y.mu.Unlock()
		y.idle[k.worker] = append(y.idle[k.worker], k)
		return
	}
	ok := y.g.Go("idle-watch", func(context.Context) {
		_, err := k.r.Peek(1)
		late, is := err.(net.Error)
		good := is && late.Timeout()
		k.woke <- good
		if !good {
			y.forget(k)
		}
	})
	if !ok {
		y.drop(k)
		return
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	y.idle[k.worker] = append(y.idle[k.worker], k)
}

// forget drops a connection that died while it idled.
func (y *way) forget(k *line) {
	y.mu.Lock()
	for i, o := range y.idle[k.worker] {
		if o == k {
			y.idle[k.worker] = append(y.idle[k.worker][:i:i], y.idle[k.worker][i+1:]...)
			break
		}
	}
	y.mu.Unlock()
	y.drop(k)
}

func (y *way) drop(k *line) {
	_ = k.c.Close()
	y.mu.Lock()
	delete(y.all, k)
	y.mu.Unlock()
}

// sweep ends connections that idled for too long.
func (y *way) sweep() {
	y.mu.Lock()
	defer y.mu.Unlock()
	for worker, l := range y.idle {
		var stay []*line
		for _, k := range l {
			if time.Since(k.since) < k.rest {
				stay = append(stay, k)
			} else {
				// Its watch, if any, sees the end and drops it.
				_ = k.c.Close()
				delete(y.all, k)
			}
		}
		if len(stay) == 0 {
			delete(y.idle, worker)
		} else {
			y.idle[worker] = stay
		}
	}
}

// close ends all connections.
func (y *way) close() {
	y.mu.Lock()
	defer y.mu.Unlock()
	for k := range y.all {
		_ = k.c.Close()
	}
}

// send writes a request once and reads the answer whole, within the time. The
// answer is nil when anything at all went wrong.
// An answer that is a surplus one is passed over, once. The connection is held
// until release is called; false means that it was ended meanwhile.
func (y *way) send(k *line, r *http.Request, end time.Time, surplus func(*http.Response) bool, release func() bool) (*http.Response, []byte, error) {
	good := false
	defer func() {
		if release() && good {
			y.keep(k)
		} else {
			y.drop(k)
		}
	}()
	_ = k.c.SetDeadline(end)
	k.lim.N = y.most
	from := time.Now()
	err := r.Write(k.w)
	if err == nil {
		err = k.w.Flush()
	}
	if err != nil {
		return nil, nil, y.failed(k, err, from)
	}
	w, body, err := k.answer(r)
	if err == nil && surplus != nil && surplus(w) {
		// What follows it is ours, or nothing whole is.
		w, body, err = k.answer(r)
	}
	if err != nil {
		return nil, nil, y.failed(k, err, from)
	}
	good = !w.Close && w.ProtoAtLeast(1, 1) && k.r.Buffered() == 0
	k.rest = y.rests(w.Header.Get("Keep-Alive"))
	return w, body, nil
}

// rests is how long a connection may idle and be used again: three quarters of
// what the worker told, since both clocks start at different times; what it
// didn't tell is taken to be short.
func (y *way) rests(told string) time.Duration {
	for _, p := range strings.Split(told, ",") {
		n, v, _ := strings.Cut(strings.TrimSpace(p), "=")
		if s, err := strconv.Atoi(v); err == nil && n == "timeout" && s > 0 {
			return time.Duration(s) * time.Second * 3 / 4
		}
	}
	return y.rest
}

// answer reads one answer whole.
func (k *line) answer(r *http.Request) (*http.Response, []byte, error) {
	w, err := http.ReadResponse(k.r, r)
	for err == nil && w.StatusCode >= 100 && w.StatusCode < 200 {
		w, err = http.ReadResponse(k.r, r)
	}
	if err == nil && w.StatusCode < 200 {
		// None that may be passed on.
		err = errors.New("an answer without a status")
	}
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(w.Body)
	_ = w.Body.Close()
	if err != nil {
		return nil, nil, err
	}
	return w, body, nil
}
