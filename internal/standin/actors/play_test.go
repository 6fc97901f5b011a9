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

// ground is a worker with callers and, between them, a front of the test's own.
type ground struct {
	t    *testing.T
	net  *sim.Net
	g    *task.Group
	wit  *checker.Witness
	k    *actors.Worker
	c    *actors.Client
	line *actors.Line
	// How the front errs; nil: it passes on what it gets, once.
	err func(w http.ResponseWriter, r *http.Request, body []byte, send func() (*http.Response, []byte, error)) bool
}

func newGround(t *testing.T, w actors.Ways, err func(http.ResponseWriter, *http.Request, []byte, func() (*http.Response, []byte, error)) bool) *ground {
	d := &ground{t: t, net: sim.NewNet(1, time.Millisecond, time.Millisecond), g: task.New(context.Background()), wit: checker.New(checker.Usual), err: err}
	d.net.Place("10.0.0.1", "x")
	d.net.Place("10.0.0.2", "x")
	e := env.Env{Net: d.net.Host("10.0.0.1"), Log: event.New("h1", nil), WallClock: time.Now}
	d.line = &actors.Line{Kind: "read", Host: "h.example", Method: "GET", Prefix: "/a/", Repeat: true, Rate: 50, Back: 300, Work: 20 * time.Millisecond, Left: 800 * time.Millisecond, Further: 1}
	doc := &checker.Doc{Number: 1, Paths: []checker.Path{{Host: "h.example", Prefix: "/a/", Repeat: true, Services: map[string]int{"s": 1}}, {Host: "h.example", Prefix: "/b/", Services: map[string]int{"s": 1}}}}
	d.wit.Offer(doc)
	d.wit.Took(doc, "c1")
	if err := httpapi.Serve(d.g, e, "10.0.0.1:8000", http.HandlerFunc(d.front), time.Second); err != nil {
		t.Fatal(err)
	}
	d.k, _ = actors.Start(e, actors.Plain, checker.Worker{Name: "w1", Service: "s", Machine: "10.0.0.1"}, "10.0.0.1:9000", "10.0.0.1:8000", []string{"10.0.0.1:7003"}, w, d.wit, 1)
	e.Net = d.net.Host("10.0.0.2")
	d.c = actors.NewClient(e, actors.Plain, "10.0.0.1:8000", "10.0.0.1", "c", d.wit, d.g, 2)
	return d
}

// front passes a request on to the worker, on a connection of its own.
func (d *ground) front(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	send := func() (*http.Response, []byte, error) {
		out, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://10.0.0.1:9000"+r.RequestURI, bytes.NewReader(body))
		out.Header = r.Header.Clone()
		out.Header.Del("Connection")
		out.Header.Set(actors.Plain.CallerService, "s")
		out.Header.Set(actors.Plain.ExpectedWorker, "w1")
		way := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, a string) (net.Conn, error) { return d.net.Host("10.0.0.1").Dial(ctx, a) }}
		got, err := way.RoundTrip(out)
		if err != nil {
			return nil, nil, err
		}
		all, err := io.ReadAll(got.Body)
		_ = got.Body.Close()
		return got, all, err
	}
	if d.err != nil && d.err(w, r, body, send) {
		return
	}
	got, all, err := send()
	pass(w, got, all, err)
}

func pass(w http.ResponseWriter, got *http.Response, all []byte, err error) {
	// An answer that is not whole or carries another's id is none.
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	for _, n := range []string{actors.Plain.AttemptID, actors.Plain.ResponseDigest, actors.Plain.NotExecuted} {
		if v := got.Header.Get(n); v != "" {
			w.Header().Set(n, v)
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(all)))
	w.WriteHeader(got.StatusCode)
	_, _ = w.Write(all)
}

// play runs a load and gives the verdict.
func (d *ground) play(long time.Duration, lines ...*actors.Line) map[string]int {
	ctx, end := context.WithTimeout(context.Background(), long)
	defer end()
	for _, l := range append(lines, d.line) {
		d.g.Go("load", func(context.Context) { d.c.Load(ctx, l, func() float64 { return l.Rate }) })
	}
	<-ctx.Done()
	<-time.After(3 * time.Second)
	d.c.Close()
	d.k.Kill()
	d.g.Stop()
	<-time.After(time.Second)
	bad, notes := d.wit.Verdict()
	for _, n := range notes {
		d.t.Log(n)
	}
	d.t.Log(d.wit.Tally())
	return bad
}

var usual = actors.Ways{Slots: 8, Queue: 4, Conns: 60, Hello: 1500 * time.Microsecond, Idle: 4 * time.Second, Speed: 1, Crowd: 1.5, Cold: 3 * time.Second, ColdBy: 2, Hop: 0.02, Drain: 2 * time.Second, Fitness: "/health"}

// TestHonest: a front that passes on what it gets breaks no rule, with bodies,
// repeats, a worker that is full, loses and spoils answers, and calls of its own.
func TestHonest(t *testing.T) {
	for _, resets := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := usual
			w.Resets = resets
			d := newGround(t, w, nil)
			put := &actors.Line{Kind: "put", Host: "h.example", Method: "POST", Prefix: "/b/", Rate: 20, Size: 20000, Back: 40000, Work: 60 * time.Millisecond, Left: time.Second, Further: 2}
			d.line.Calls = []actors.Call{{Line: put, Share: 0.1}}
			d.k.Fall(actors.Ills{Lose: 0.02, Spoil: 0.05, Fail: 0.01})
			if bad := d.play(15*time.Second, put); len(bad) > 0 {
				t.Errorf("blamed: %v", bad)
			}
			n := d.wit.Tally()
			if n["tries"] < 800 || n["200"] < n["tries"]/2 || n["declined"] == 0 && !resets {
				t.Errorf("too little was played: %v", n)
			}
		})
	}
}

// TestErring: each way in which a front errs is caught from the sockets alone.
func TestErring(t *testing.T) {
	var last atomic.Pointer[[]byte]
	for _, c := range []struct {
		rule string
		err  func(w http.ResponseWriter, r *http.Request, body []byte, send func() (*http.Response, []byte, error)) bool
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
			got, all, err := send()
			if was := last.Swap(&all); was != nil && err == nil {
				all = *was
			}
			pass(w, got, all, err)
			return true
		}},
		{checker.Mixed, func(w http.ResponseWriter, _ *http.Request, _ []byte, _ func() (*http.Response, []byte, error)) bool {
			c, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = c.Write([]byte("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
			return true
		}},
		{checker.Denied, func(w http.ResponseWriter, _ *http.Request, _ []byte, _ func() (*http.Response, []byte, error)) bool {
			w.WriteHeader(http.StatusForbidden)
			return true
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			d := newGround(t, usual, c.err)
			d.line.Repeat = false
			d.line.Prefix = "/b/"
			if bad := d.play(2 * time.Second); bad[c.rule] == 0 {
				t.Errorf("not caught: %s", c.rule)
			}
		})
	}
}

// TestCutHead: a connection that ends within a line of the headers is a cut;
// a whole line that is no header is not the protocol.
func TestCutHead(t *testing.T) {
	for head, mixed := range map[string]bool{"HTTP/1.1 200 OK\r\nConnect": false, "HTTP/1.1 200 OK\r\nConnect\r\n\r\n": true, "HTTP/1.1 200 OK\r\nConnect\r\nX": true, "Connect": true} {
		synctest.Test(t, func(t *testing.T) {
			d := newGround(t, usual, func(w http.ResponseWriter, _ *http.Request, _ []byte, _ func() (*http.Response, []byte, error)) bool {
				if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
					_, _ = c.Write([]byte(head))
					_ = c.Close()
				}
				return true
			})
			if bad := d.play(time.Second); (bad[checker.Mixed] > 0) != mixed {
				t.Errorf("%q: blamed %v", head, bad)
			}
		})
	}
}
