package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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
	mu   sync.Mutex
	idle map[string][]*line // worker to its connections
	all  map[*line]bool
}

// line is one connection to a worker.
type line struct {
	c            net.Conn
	worker, addr string
	lim          io.LimitedReader
	r            *bufio.Reader
	w            *bufio.Writer
	since        time.Time
	woke         chan bool // the idle watch's last word: still good
}

func newWay(n env.Net, g *task.Group, rest time.Duration, most int64) *way {
	return &way{net: n, g: g, rest: rest, most: most, idle: map[string][]*line{}, all: map[*line]bool{}}
}

// take gives a connection to a worker: a kept one that was good a moment ago,
// or a new one. An error means that no job can have been sent.
func (y *way) take(ctx context.Context, worker, addr string) (*line, error) {
	for {
		y.mu.Lock()
		l := y.idle[worker]
		var k *line
		if n := len(l); n > 0 {
			k = l[n-1]
			y.idle[worker] = l[:n-1]
		}
		y.mu.Unlock()
		if k == nil {
			break
		}
		// The watch is told to end; it says whether the worker kept still.
		_ = k.c.SetReadDeadline(time.Unix(1, 0))
		if good := <-k.woke; good && time.Since(k.since) < y.rest {
			return k, nil
		}
		y.drop(k)
	}
	return y.open(ctx, worker, addr)
}

// keep puts a connection by. A watch reads on it meanwhile: a worker that
// closes it is noticed at once, and not by the next job.
func (y *way) keep(k *line) {
	k.since = time.Now()
	k.lim.N = 1
	_ = k.c.SetDeadline(time.Time{})
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
			if time.Since(k.since) < y.rest {
				stay = append(stay, k)
			} else {
				// Its watch sees the end and drops it.
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
func (y *way) send(k *line, r *http.Request, end time.Time) (*http.Response, []byte, error) {
	good := false
	defer func() {
		if good {
			y.keep(k)
		} else {
			y.drop(k)
		}
	}()
	_ = k.c.SetDeadline(end)
	k.lim.N = y.most
	if err := r.Write(k.w); err != nil {
		return nil, nil, err
	}
	if err := k.w.Flush(); err != nil {
		return nil, nil, err
	}
	w, err := http.ReadResponse(k.r, r)
	for err == nil && w.StatusCode >= 100 && w.StatusCode < 200 {
		w, err = http.ReadResponse(k.r, r)
	}
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(w.Body)
	_ = w.Body.Close()
	if err != nil {
		return nil, nil, err
	}
	good = !w.Close && w.ProtoAtLeast(1, 1) && k.r.Buffered() == 0
	return w, body, nil
}
