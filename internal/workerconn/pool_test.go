package workerconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/task"
)

// worker is a network on which one worker answers each request, on as many connections
// as are dialed.
type worker struct {
	env.Net
	manners
	group *task.Group
	dials atomic.Int64
}

// manners are a worker's ways.
type manners struct {
	say   string        // its answer
	more  string        // what it says unasked, right after that
	idles time.Duration // it closes a connection that idled for longer; 0: never
}

func (w *worker) Dial(context.Context, string) (net.Conn, error) {
	w.dials.Add(1)
	ours, its := net.Pipe()
	w.group.Go("worker", func(context.Context) {
		defer func() { _ = its.Close() }()
		reader := bufio.NewReader(its)
		for {
			if w.idles > 0 {
				_ = its.SetReadDeadline(time.Now().Add(w.idles))
			}
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if _, err := its.Write([]byte(w.say)); err != nil {
				return
			}
			if w.more != "" {
				_, _ = its.Write([]byte(w.more))
			}
		}
	})
	return ours, nil
}

// trip sends one request and gives its error.
func trip(t *testing.T, p *Pool, release func() bool) error {
	t.Helper()
	c, err := p.Acquire(t.Context(), "w", "10.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	r, _ := http.NewRequest(http.MethodGet, "http://10.0.0.1:1/x", nil)
	_, _, err = p.RoundTrip(c, r, time.Now().Add(time.Minute), nil, release)
	return err
}

// TestReuse: a connection is used again as long as it has not idled for too long, nor
// been closed, nor told to be, nor had a byte that nobody asked for, nor been ended from
// here; else the next request has a new one.
func TestReuse(t *testing.T) {
	const well = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	kept := func() bool { return true }
	for _, c := range []struct {
		name    string
		worker  manners
		rest    time.Duration
		release func() bool
		dials   int64
	}{
		{"at once", manners{say: well}, time.Millisecond, kept, 1},
		{"before the longest rest", manners{say: well}, 9 * time.Second, kept, 1},
		{"after the longest rest", manners{say: well}, 11 * time.Second, kept, 2},
		{"within three quarters of what the worker tells", manners{say: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=20\r\nContent-Length: 0\r\n\r\n"}, 14 * time.Second, kept, 1},
		{"after three quarters of what the worker tells", manners{say: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=4\r\nContent-Length: 0\r\n\r\n"}, 3100 * time.Millisecond, kept, 2},
		{"the worker says that it closes", manners{say: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"}, time.Millisecond, kept, 2},
		{"the worker has closed it", manners{say: well, idles: time.Second}, 2 * time.Second, kept, 2},
		{"bytes that nobody asked for", manners{say: well, more: "HTTP/1.1 200 OK\r\n"}, time.Second, kept, 2},
		{"ended from here", manners{say: well}, time.Millisecond, func() bool { return false }, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &worker{manners: c.worker, group: task.New(context.Background())}
				p := NewPool(w, w.group, 10*time.Second, 4096, false)
				defer func() { p.Close(); w.group.Cancel(); w.group.Stop() }()
				for range 2 {
					if err := trip(t, p, c.release); err != nil {
						t.Fatal(err)
					}
					<-time.After(c.rest)
				}
				if n := w.dials.Load(); n != c.dials {
					t.Errorf("%d connections, want %d", n, c.dials)
				}
			})
		})
	}
}

// TestCloseIdle: connections that idled for too long are ended and forgotten.
func TestCloseIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &worker{manners: manners{say: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}, group: task.New(context.Background())}
		p := NewPool(w, w.group, 10*time.Second, 4096, false)
		defer func() { p.Close(); w.group.Cancel(); w.group.Stop() }()
		if err := trip(t, p, func() bool { return true }); err != nil {
			t.Fatal(err)
		}
		for _, left := range []int{1, 0} {
			p.CloseIdle()
			if n := len(p.idle["w"]); n != left {
				t.Errorf("%d idle connections, want %d", n, left)
			}
			<-time.After(11 * time.Second)
		}
		synctest.Wait()
		if len(p.all) != 0 {
			t.Errorf("%d connections are not forgotten", len(p.all))
		}
	})
}
