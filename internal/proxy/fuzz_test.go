package proxy

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"puffincrank/internal/dialect"
	"puffincrank/internal/protocol"
	"puffincrank/internal/schema"
	"puffincrank/internal/standin/actors"
	"puffincrank/internal/task"
	"puffincrank/internal/workerconn"
)

// scriptedWorker is a worker that reads a request and answers with fixed bytes.
type scriptedWorker struct {
	group    *task.Group
	response string
}

func (l scriptedWorker) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }
func (l scriptedWorker) Dial(context.Context, string) (net.Conn, error) {
	a, b := net.Pipe()
	l.group.Go("liar", func(context.Context) {
		defer func() { _ = b.Close() }()
		if r, err := http.ReadRequest(bufio.NewReader(b)); err == nil && r != nil {
			_, _ = b.Write([]byte(l.response))
		}
	})
	return a, nil
}

// FuzzAnswer checks that any bytes from a worker yield at most one complete response within the
// bound, and that a success is never accepted without proof that it is the worker's own
// response to exactly this attempt.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nPlain-Id: a.1\r\nPlain-Stamp: s\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nPlain-Id: a.2\r\nPlain-Stamp: s\r\n\r\nabc",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nPlain-Id: a.1\r\n\r\nmore",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nPlain-Id: a.1\r\nPlain-Stamp: s\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 503 No\r\nPlain-Not-Run: yes\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nPlain-Id: a.1\r\nPlain-Stamp: s\r\n\r\n",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		g := task.New(context.Background())
		pool := workerconn.NewPool(scriptedWorker{g, text}, g, time.Minute, 4096, false)
		defer func() { pool.Close(); g.Cancel(); g.Stop() }()
		c, err := pool.Acquire(t.Context(), "w", "10.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		r, _ := http.NewRequest("GET", "http://10.0.0.1:1/x", nil)
		w, body, err := pool.RoundTrip(c, r, time.Now().Add(time.Minute), nil, func() bool { return true })
		if err != nil {
			return
		}
		if len(body) > 4096 || w.StatusCode < 200 || w.ContentLength >= 0 && int64(len(body)) != w.ContentLength && len(body) > 0 {
			t.Errorf("status %d, body of %d bytes, Content-Length %d", w.StatusCode, len(body), w.ContentLength)
		}
		for _, dialectUsed := range []dialect.Dialect{dialect.Default, actors.PlainDialect} {
			x := &Proxy{dialect: dialectUsed}
			attempt := &ownerAttempt{req: protocol.AttemptRequest{AttemptID: "a.1", Worker: "w"}, result: protocol.AttemptResult{Status: w.StatusCode, Header: w.Header, Body: body}}
			accepted := x.invalidReason(attempt, x.reportsNotRun(&attempt.result)) == ""
			if accepted && w.StatusCode < 300 && (!strings.Contains(text, "a.1") || w.Header.Get(dialectUsed.ResponseDigest) == "") {
				t.Errorf("%s: a success without proof of its origin was accepted: %q", dialectUsed.Name, text)
			}
		}
	})
}

// FuzzHeartbeat checks that any report of a worker is either refused with the place of each
// problem, or yields values within their bounds.
func FuzzHeartbeat(f *testing.F) {
	f.Add(`{"service":"pages","addr":"10.0.1.1:9","slots":4,"state":"up","cold_ms":0.5,"seq":7,"more":1}`)
	f.Add(`{"service":"-","addr":"h:9","slots":4.0,"state":"UP","cold_ms":-1,"seq":1e30}`)
	f.Fuzz(func(t *testing.T, raw string) {
		in, _, err := schema.Parse([]byte(raw))
		if err != nil {
			return
		}
		for _, table := range []schema.Table{WorkerTable, HeartbeatTable} {
			values, bad := table.ReadKnown(in, "")
			for _, b := range bad {
				if b.Place == "" || b.Message == "" {
					t.Errorf("a problem without place or message: %+v", b)
				}
			}
			if n := values.Count("slots"); len(bad) == 0 && (n < 1 || n > 1024 || schema.IsAddr(values.Text("addr")) != nil || schema.IsName(values.Text("service")) != nil) {
				t.Errorf("out-of-range values accepted: %v", values)
			}
		}
	})
}
