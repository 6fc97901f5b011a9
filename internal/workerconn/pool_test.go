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

// fakeWorker is a network on which one worker answers each request, on as many connections
// as are dialed.
type fakeWorker struct {
	env.Net
	workerBehavior
	group *task.Group
	dials atomic.Int64
}

// workerBehavior are a worker's ways.
type workerBehavior struct {
	response    string        // its answer
	unsolicited string        // what it says unasked, right after that
	idleTimeout time.Duration // it closes a connection that idled for longer; 0: never
}

func (w *fakeWorker) Dial(context.Context, string) (net.Conn, error) {
	w.dials.Add(1)
	client, server := net.Pipe()
	w.group.Go("worker", func(context.Context) {
		defer func() { _ = server.Close() }()
		reader := bufio.NewReader(server)
		for {
			if w.idleTimeout > 0 {
				_ = server.SetReadDeadline(time.Now().Add(w.idleTimeout))
			}
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if _, err := server.Write([]byte(w.response)); err != nil {
				return
			}
			if w.unsolicited != "" {
				_, _ = server.Write([]byte(w.unsolicited))
			}
		}
	})
	return client, nil
}

// roundTrip sends one request and gives its error.
func roundTrip(t *testing.T, pool *Pool, release func() bool) error {
	t.Helper()
	conn, err := pool.Acquire(t.Context(), "w", "10.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	req, _ := http.NewRequest(http.MethodGet, "http://10.0.0.1:1/x", nil)
	_, _, err = pool.RoundTrip(conn, req, time.Now().Add(time.Minute), nil, release)
	return err
}

// TestConnReuse: a connection is used again as long as it has not idled for too long, nor
// been closed, nor told to be, nor had a byte that nobody asked for, nor been ended from
// here; else the next request has a new one.
func TestConnReuse(t *testing.T) {
	const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	keep := func() bool { return true }
	for _, test := range []struct {
		name    string
		worker  workerBehavior
		rest    time.Duration
		release func() bool
		dials   int64
	}{
		{"at once", workerBehavior{response: okResponse}, time.Millisecond, keep, 1},
		{"before the longest rest", workerBehavior{response: okResponse}, 9 * time.Second, keep, 1},
		{"after the longest rest", workerBehavior{response: okResponse}, 11 * time.Second, keep, 2},
		{"within three quarters of what the worker tells", workerBehavior{response: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=20\r\nContent-Length: 0\r\n\r\n"}, 14 * time.Second, keep, 1},
		{"after three quarters of what the worker tells", workerBehavior{response: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=4\r\nContent-Length: 0\r\n\r\n"}, 3100 * time.Millisecond, keep, 2},
		{"the worker says that it closes", workerBehavior{response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"}, time.Millisecond, keep, 2},
		{"the worker has closed it", workerBehavior{response: okResponse, idleTimeout: time.Second}, 2 * time.Second, keep, 2},
		{"bytes that nobody asked for", workerBehavior{response: okResponse, unsolicited: "HTTP/1.1 200 OK\r\n"}, time.Second, keep, 2},
		{"ended from here", workerBehavior{response: okResponse}, time.Millisecond, func() bool { return false }, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &fakeWorker{workerBehavior: test.worker, group: task.New(context.Background())}
				pool := NewPool(worker, worker.group, 10*time.Second, 4096, false)
				defer func() { pool.Close(); worker.group.Cancel(); worker.group.Stop() }()
				for range 2 {
					if err := roundTrip(t, pool, test.release); err != nil {
						t.Fatal(err)
					}
					<-time.After(test.rest)
				}
				if n := worker.dials.Load(); n != test.dials {
					t.Errorf("%d connections, want %d", n, test.dials)
				}
			})
		})
	}
}

// TestCloseIdle: connections that idled for too long are ended and forgotten.
func TestCloseIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{workerBehavior: workerBehavior{response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}, group: task.New(context.Background())}
		pool := NewPool(worker, worker.group, 10*time.Second, 4096, false)
		defer func() { pool.Close(); worker.group.Cancel(); worker.group.Stop() }()
		if err := roundTrip(t, pool, func() bool { return true }); err != nil {
			t.Fatal(err)
		}
		for _, left := range []int{1, 0} {
			pool.CloseIdle()
			if n := len(pool.idle["w"]); n != left {
				t.Errorf("%d idle connections, want %d", n, left)
			}
			<-time.After(11 * time.Second)
		}
		synctest.Wait()
		if len(pool.conns) != 0 {
			t.Errorf("%d connections are not forgotten", len(pool.conns))
		}
	})
}
