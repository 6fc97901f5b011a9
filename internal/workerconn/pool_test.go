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

// fakeWorker is a network with one worker, which answers each request on every connection
// that is dialed.
type fakeWorker struct {
	env.Net
	workerBehavior
	group *task.Group
	dials atomic.Int64
}

// workerBehavior is how a worker responds and when it closes connections.
type workerBehavior struct {
	response    string        // written for each request
	unsolicited string        // unsolicited bytes, written right after the response
	idleTimeout time.Duration // it closes a connection that idles for longer; 0: never
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

// roundTrip sends one request and returns its error.
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

// TestConnReuse checks that a connection is reused unless it has idled for too long, was
// closed by either side, was announced to be closed, or received unsolicited bytes. In
// these cases the next request goes out on a new connection.
func TestConnReuse(t *testing.T) {
	const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	keep := func() bool { return true }
	for _, test := range []struct {
		name    string
		worker  workerBehavior
		idle    time.Duration
		release func() bool
		dials   int64
	}{
		{"reused immediately", workerBehavior{response: okResponse}, time.Millisecond, keep, 1},
		{"idle for less than the maximum", workerBehavior{response: okResponse}, 9 * time.Second, keep, 1},
		{"idle for more than the maximum", workerBehavior{response: okResponse}, 11 * time.Second, keep, 2},
		{"idle for less than three quarters of the Keep-Alive timeout", workerBehavior{response: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=20\r\nContent-Length: 0\r\n\r\n"}, 14 * time.Second, keep, 1},
		{"idle for more than three quarters of the Keep-Alive timeout", workerBehavior{response: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=4\r\nContent-Length: 0\r\n\r\n"}, 3100 * time.Millisecond, keep, 2},
		{"worker announces that it closes the connection", workerBehavior{response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"}, time.Millisecond, keep, 2},
		{"worker closed the idle connection", workerBehavior{response: okResponse, idleTimeout: time.Second}, 2 * time.Second, keep, 2},
		{"unsolicited bytes from the worker", workerBehavior{response: okResponse, unsolicited: "HTTP/1.1 200 OK\r\n"}, time.Second, keep, 2},
		{"closed by this side", workerBehavior{response: okResponse}, time.Millisecond, func() bool { return false }, 2},
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
					<-time.After(test.idle)
				}
				if n := worker.dials.Load(); n != test.dials {
					t.Errorf("%d connections, want %d", n, test.dials)
				}
			})
		})
	}
}

// TestCloseIdle checks that connections that have idled for too long are closed and removed
// from the pool.
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
			t.Errorf("%d connections are still in the pool", len(pool.conns))
		}
	})
}
