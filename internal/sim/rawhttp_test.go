package sim

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/task"
)

// sendRaw writes bytes unchanged to a port, with a pause at each W, and returns the
// statuses of the responses until the connection ends or stays silent for 3 s.
func (f *Fleet) sendRaw(addr, text string) (codes []int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := f.Net.Host("10.0.9.9").Dial(ctx, addr)
	if err != nil {
		f.T.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	f.g.Go("write", func(ctx context.Context) {
		for _, chunk := range strings.Split(text, "W") {
			_, _ = conn.Write([]byte(chunk))
			task.Sleep(ctx, 300*time.Millisecond)
		}
	})
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return codes
		}
		codes = append(codes, response.StatusCode)
		if _, err := reader.Discard(int(max(response.ContentLength, 0))); err != nil || response.Close {
			return codes
		}
	}
}

// TestRawBytes: requests whose framing is ambiguous, that contain another request or
// that exceed a limit. A refused request runs nowhere, and each accepted request runs
// exactly once, whatever the bytes contain.
func TestRawBytes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := smallShape()
		// Without nested calls the workers' runs are exactly those that the bytes
		// requested.
		s.Nested = nil
		f := NewFleet(t, s, 46)
		defer f.Stop()
		f.Start()
		f.Net.SetZone("10.0.9.9", "outside")
		inner := "GET /pages/inner HTTP/1.1\r\nHost: a\r\n\r\n"
		post := "POST /loans HTTP/1.1\r\nHost: a\r\n"
		for _, c := range []struct {
			name, text string
			want       string // the response statuses
			runs       int64  // at all workers
		}{
			{"whole", post + "Content-Length: 3\r\n\r\nabc", "[200]", 1},
			{"two lengths", post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "[400]", 0},
			{"two lengths in one", post + "Content-Length: 3, 4\r\n\r\nabcd", "[400]", 0},
			{"a length that is none", post + "Content-Length: +3\r\n\r\nabc", "[400]", 0},
			{"a length below none", post + "Content-Length: -3\r\n\r\nabc", "[400]", 0},
			{"an unknown encoding", post + "Transfer-Encoding: gzip\r\n\r\nabc", "[501]", 0},
			{"two encodings", post + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n", "[501]", 0},
			{"encoding twice", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "[501]", 0},
			{"length and chunks", post + "Content-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner, "[400]", 0},
			{"a chunk that is no number", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", "[400]", 0},
			{"a chunk with a bare line feed", post + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n" + inner, "[400]", 0},
			{"a chunk longer than it says", post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n" + inner, "[400]", 0},
			{"an endless chunk size", post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1", 40) + "\r\n", "[400]", 0},
			{"a blank before the colon", post + "Content-Length : 3\r\n\r\nabc", "[400]", 0},
			{"a folded line", post + "X: a\r\n Content-Length: 3\r\n\r\nabc", "[200]", 1},
			{"a bare line feed", "GET /pages/a HTTP/1.1\nHost: a\n\n", "[400]", 0},
			{"a bare line feed in a header", "GET /pages/a HTTP/1.1\r\nHost: a\r\nX: a\nY: b\r\n\r\n", "[400]", 0},
			{"a bare return in a header", "GET /pages/a HTTP/1.1\r\nHost: a\r\nX: a\rContent-Length: 3\r\n\r\n", "[400]", 0},
			{"a nought in a header", "GET /pages/a HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n", "[400]", 0},
			{"no host", "GET /pages/a HTTP/1.1\r\n\r\n", "[400]", 0},
			{"two hosts", "GET /pages/a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "[400]", 0},
			{"no version", "GET /pages/a\r\nHost: a\r\n\r\n", "[400]", 0},
			{"a version to come", "GET /pages/a HTTP/3.7\r\nHost: a\r\n\r\n", "[505]", 0},
			{"a large header", "GET /pages/a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 200<<10) + "\r\n\r\n", "[431]", 0},
			{"a large request line", "GET /pages/" + strings.Repeat("x", 200<<10) + " HTTP/1.1\r\nHost: a\r\n\r\n", "[431]", 0},
			{"many headers", "GET /pages/a HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: y\r\n", 40<<10) + "\r\n", "[431]", 0},
			{"a large body", post + fmt.Sprintf("Content-Length: %d\r\n\r\n", 2<<20) + strings.Repeat("x", 2<<20), "[413]", 0},
			{"a large body in chunks", post + "Transfer-Encoding: chunked\r\n\r\n200000\r\n" + strings.Repeat("x", 2<<20) + "\r\n0\r\n\r\n", "[413]", 0},
			{"a body that ends early", post + "Content-Length: 30\r\n\r\nabc", "[]", 0},
			{"a request within a body", post + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(inner)) + inner, "[200]", 1},
			{"the same on a kept connection", inner + "W" + post + "Content-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner, "[200 400]", 1},
			{"bare line feeds on a kept connection", inner + "W" + "GET /pages/a HTTP/1.1\nHost: a\n\n", "[200 400]", 1},
			{"the same sent together", inner + post + "Content-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner, "[200 200]", 2},
			{"chunks on a kept connection", inner + "W" + post + "Transfer-Encoding: chunked\r\n\r\n3\r\na\nb\r\n0\r\n\r\nW" + inner, "[200 200 200]", 3},
			{"one after the other", post + "Content-Length: 3\r\n\r\nabc" + inner, "[200 200]", 2},
		} {
			ran := func() (n int64) {
				for _, node := range f.Nodes {
					n += int64(node.Worker.Ran())
				}
				return n
			}
			before := ran()
			codes := fmt.Sprint(f.sendRaw(f.Nodes[0].Host+":8000", c.text))
			Wait(500 * time.Millisecond)
			if got := ran() - before; codes != c.want || got != c.runs {
				t.Errorf("%s: %s, %d ran; want %s and %d", c.name, codes, got, c.want, c.runs)
			}
		}
	})
}
