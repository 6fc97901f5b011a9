package actors_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/sim"
	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
	"puffincrank/internal/task"
)

// testbed has a worker, callers and, between them, an ingress that the test implements.
type testbed struct {
	t        *testing.T
	net      *sim.Net
	tasks    *task.Group
	recorder *checker.Recorder
	worker   *actors.Worker
	client   *actors.Client
	line     *actors.RequestKind
	// misbehave handles a request in a faulty way. If it is nil or returns false, the ingress
	// forwards the request once.
	misbehave func(w http.ResponseWriter, r *http.Request, body []byte, send func() (*http.Response, []byte, error)) bool
}

func newTestbed(t *testing.T, behavior actors.WorkerBehavior, misbehave func(http.ResponseWriter, *http.Request, []byte, func() (*http.Response, []byte, error)) bool) *testbed {
	bed := &testbed{t: t, net: sim.NewNet(1, time.Millisecond, time.Millisecond), tasks: task.New(context.Background()), recorder: checker.New(checker.UsualBounds), misbehave: misbehave}
	bed.net.SetZone("10.0.0.1", "x")
	bed.net.SetZone("10.0.0.2", "x")
	environment := env.Env{Net: bed.net.Host("10.0.0.1"), Log: event.New("h1", nil), WallClock: time.Now}
	bed.line = &actors.RequestKind{Kind: "read", Host: "h.example", Method: "GET", Prefix: "/a/", Retryable: true, Rate: 50, AnswerSize: 300, WorkTime: 20 * time.Millisecond, Timeout: 800 * time.Millisecond, Retries: 1}
	document := &checker.Document{Number: 1, Routes: []checker.RouteSpec{{Host: "h.example", Prefix: "/a/", Retryable: true, Weights: map[string]int{"s": 1}}, {Host: "h.example", Prefix: "/b/", Weights: map[string]int{"s": 1}}}}
	bed.recorder.DocumentSent(document)
	bed.recorder.DocumentAcked(document, "c1")
	if err := httpapi.Serve(bed.tasks, environment, "10.0.0.1:8000", http.HandlerFunc(bed.serveIngress), time.Second); err != nil {
		t.Fatal(err)
	}
	bed.worker, _ = actors.StartWorker(environment, actors.PlainDialect, checker.Worker{Name: "w1", Service: "s", Machine: "10.0.0.1"}, "10.0.0.1:9000", "10.0.0.1:8000", []string{"10.0.0.1:7003"}, behavior, bed.recorder, 1)
	environment.Net = bed.net.Host("10.0.0.2")
	bed.client = actors.NewClient(environment, actors.PlainDialect, "10.0.0.1:8000", "10.0.0.1", "c", bed.recorder, bed.tasks, 2)
	return bed
}

// serveIngress forwards a request to the worker on a new connection.
func (b *testbed) serveIngress(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	send := func() (*http.Response, []byte, error) {
		forwarded, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://10.0.0.1:9000"+r.RequestURI, bytes.NewReader(body))
		forwarded.Header = r.Header.Clone()
		forwarded.Header.Del("Connection")
		forwarded.Header.Set(actors.PlainDialect.CallerService, "s")
		forwarded.Header.Set(actors.PlainDialect.ExpectedWorker, "w1")
		transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, target string) (net.Conn, error) {
			return b.net.Host("10.0.0.1").Dial(ctx, target)
		}}
		response, err := transport.RoundTrip(forwarded)
		if err != nil {
			return nil, nil, err
		}
		answer, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return response, answer, err
	}
	if b.misbehave != nil && b.misbehave(w, r, body, send) {
		return
	}
	response, answer, err := send()
	passOn(w, response, answer, err)
}

func passOn(w http.ResponseWriter, response *http.Response, body []byte, err error) {
	// An incomplete answer is not passed on.
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	for _, name := range []string{actors.PlainDialect.AttemptID, actors.PlainDialect.ResponseDigest, actors.PlainDialect.NotExecuted} {
		if value := response.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body)
}

// runLoad runs the load for the given duration and returns the breaches.
func (b *testbed) runLoad(duration time.Duration, lines ...*actors.RequestKind) map[string]int {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	for _, line := range append(lines, b.line) {
		b.tasks.Go("load", func(context.Context) { b.client.Load(ctx, line, func() float64 { return line.Rate }) })
	}
	<-ctx.Done()
	<-time.After(3 * time.Second)
	b.client.Close()
	b.worker.Kill()
	b.tasks.Stop()
	<-time.After(time.Second)
	breaches, notes := b.recorder.Breaches()
	for _, n := range notes {
		b.t.Log(n)
	}
	b.t.Log(b.recorder.Outcomes())
	return breaches
}

var usualBehavior = actors.WorkerBehavior{Slots: 8, Queue: 4, MaxConns: 60, HandshakeTime: 1500 * time.Microsecond, IdleTimeout: 4 * time.Second, TimeFactor: 1, LoadFactor: 1.5, ColdStart: 3 * time.Second, ColdStartFactor: 2, CloseShare: 0.02, DrainTime: 2 * time.Second, HealthPath: "/health"}

// TestCorrectIngressBreaksNoRule checks that an ingress that forwards each request once breaks
// no rule, with request bodies, retries, nested requests, and a worker that is at capacity,
// loses answers and corrupts them.
func TestCorrectIngressBreaksNoRule(t *testing.T) {
	for _, resets := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			behavior := usualBehavior
			behavior.ResetsWhenFull = resets
			bed := newTestbed(t, behavior, nil)
			put := &actors.RequestKind{Kind: "put", Host: "h.example", Method: "POST", Prefix: "/b/", Rate: 20, Size: 20000, AnswerSize: 40000, WorkTime: 60 * time.Millisecond, Timeout: time.Second, Retries: 2}
			bed.line.Calls = []actors.NestedCall{{Line: put, Share: 0.1}}
			bed.worker.SetFaults(actors.Faults{Lose: 0.02, Spoil: 0.05, Fail: 0.01})
			if breaches := bed.runLoad(15*time.Second, put); len(breaches) > 0 {
				t.Errorf("unexpected breaches: %v", breaches)
			}
			outcomes := bed.recorder.Outcomes()
			if outcomes["tries"] < 800 || outcomes["200"] < outcomes["tries"]/2 || outcomes["declined"] == 0 && !resets {
				t.Errorf("too little load: %v", outcomes)
			}
		})
	}
}

// TestFaultyIngressIsDetected checks that each kind of fault of an ingress is detected by what
// is seen on the sockets alone.
func TestFaultyIngressIsDetected(t *testing.T) {
	var previous atomic.Pointer[[]byte]
	for _, c := range []struct {
		rule      string
		misbehave func(w http.ResponseWriter, r *http.Request, body []byte, send func() (*http.Response, []byte, error)) bool
	}{
		{checker.Twice, func(_ http.ResponseWriter, _ *http.Request, _ []byte, send func() (*http.Response, []byte, error)) bool {
			_, _, _ = send()
			return false
		}},
		{checker.Refused, func(w http.ResponseWriter, _ *http.Request, _ []byte, send func() (*http.Response, []byte, error)) bool {
			_, _, _ = send()
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}},
		{checker.Unasked, func(_ http.ResponseWriter, r *http.Request, _ []byte, _ func() (*http.Response, []byte, error)) bool {
			r.RequestURI += "&more=1"
			return false
		}},
		{checker.Mixed, func(w http.ResponseWriter, _ *http.Request, _ []byte, send func() (*http.Response, []byte, error)) bool {
			response, body, err := send()
			if earlier := previous.Swap(&body); earlier != nil && err == nil {
				body = *earlier
			}
			passOn(w, response, body, err)
			return true
		}},
		{checker.Mixed, func(w http.ResponseWriter, _ *http.Request, _ []byte, _ func() (*http.Response, []byte, error)) bool {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = conn.Write([]byte("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
			return true
		}},
		{checker.Denied, func(w http.ResponseWriter, _ *http.Request, _ []byte, _ func() (*http.Response, []byte, error)) bool {
			w.WriteHeader(http.StatusForbidden)
			return true
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			bed := newTestbed(t, usualBehavior, c.misbehave)
			bed.line.Retryable = false
			bed.line.Prefix = "/b/"
			if breaches := bed.runLoad(2 * time.Second); breaches[c.rule] == 0 {
				t.Errorf("breach of %s was not detected", c.rule)
			}
		})
	}
}

// TestTruncatedHeaderIsNotMixed checks that a connection that ends within a header line counts
// as cut off, and a complete line that is not a header as a malformed answer.
func TestTruncatedHeaderIsNotMixed(t *testing.T) {
	for answer, mixed := range map[string]bool{"HTTP/1.1 200 OK\r\nConnect": false, "HTTP/1.1 200 OK\r\nConnect\r\n\r\n": true, "HTTP/1.1 200 OK\r\nConnect\r\nX": true, "Connect": true} {
		synctest.Test(t, func(t *testing.T) {
			bed := newTestbed(t, usualBehavior, func(w http.ResponseWriter, _ *http.Request, _ []byte, _ func() (*http.Response, []byte, error)) bool {
				if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
					_, _ = conn.Write([]byte(answer))
					_ = conn.Close()
				}
				return true
			})
			if breaches := bed.runLoad(time.Second); (breaches[checker.Mixed] > 0) != mixed {
				t.Errorf("%q: breaches %v", answer, breaches)
			}
		})
	}
}
