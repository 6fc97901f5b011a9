package sim

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// rawConnection is a raw connection to an ingress, on which the test itself writes and reads HTTP.
type rawConnection struct {
	t *testing.T
	c net.Conn
	r *bufio.Reader
}

func (f *Fleet) dialByHand(t *testing.T, n *Node) *rawConnection {
	f.Net.SetZone("10.0.8.77", n.Zone)
	c, err := f.Net.Host("10.0.8.77").Dial(t.Context(), n.Host+":8000")
	if err != nil {
		t.Fatal(err)
	}
	return &rawConnection{t, c, bufio.NewReader(c)}
}

// request sends a request with additional header lines and returns the response.
func (h *rawConnection) request(header string) *http.Response {
	h.t.Helper()
	if _, err := fmt.Fprintf(h.c, "GET /pages/1 HTTP/1.1\r\nHost: h\r\n%s\r\n", header); err != nil {
		h.t.Fatal(err)
	}
	response, err := http.ReadResponse(h.r, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response
}

// waitClosed waits until the ingress closes the connection and returns how long that took.
func (h *rawConnection) waitClosed() time.Duration {
	h.t.Helper()
	start := time.Now()
	_ = h.c.SetReadDeadline(start.Add(3 * time.Minute))
	if b, err := h.r.ReadByte(); err == nil {
		rest, _ := h.r.ReadString(0)
		h.t.Errorf("unexpected data before the close: %q%s", b, rest)
	}
	return time.Since(start)
}

func assertDuration(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if got < want-10*time.Millisecond || got > want+50*time.Millisecond {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// TestLimitsLive: the limits of the configuration document on callers' headers
// and connections apply as soon as the document does, also on existing connections. They
// cut no request off that is being read or answered.
func TestLimitsLive(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := smallShape()
		f := NewFleet(t, s, 47)
		defer f.Stop()
		f.Start()
		n := f.Nodes[0]
		version := uint64(1)
		limits := func(head, headMS, idle int) {
			t.Helper()
			doc := strings.TrimSuffix(s.Config, "}") + fmt.Sprintf(`,"limits":{"head_bytes":%d,"head_ms":%d,"idle_ms":%d}}`, head, headMS, idle)
			if code, v := f.Apply(n.Host+":7003", version, doc); code != 200 {
				t.Fatalf("apply answered %d", code)
			} else {
				version = v
			}
			f.Until(2*time.Second, "the configuration version is applied", func() bool {
				_, status := f.Get(n.Host+":7003", "/puffin/own")
				return status["config_version"] == float64(version)
			})
		}
		// Without limits in the document those of the settings hold: change_ms for the header
		// and thirty times as much for an idle connection.
		silent := f.dialByHand(t, n)
		assertDuration(t, "no header, default limits", silent.waitClosed(), 2*time.Second)
		kept := f.dialByHand(t, n)
		if w := kept.request(""); w.StatusCode != 200 || w.Header.Get("Keep-Alive") != "" {
			t.Errorf("status %d, Keep-Alive %q", w.StatusCode, w.Header.Get("Keep-Alive"))
		}
		idle := f.dialByHand(t, n)
		idle.request("")

		limits(500, 5000, 4000)
		// An existing connection uses the new limits from its next request on.
		if w := kept.request(""); w.StatusCode != 200 || w.Header.Get("Keep-Alive") != "timeout=3" {
			t.Errorf("status %d, Keep-Alive %q", w.StatusCode, w.Header.Get("Keep-Alive"))
		}
		assertDuration(t, "idle", kept.waitClosed(), 4*time.Second)
		// A connection that got no Keep-Alive header before it became idle is not closed early.
		if w := idle.request(""); w.StatusCode != 200 {
			t.Errorf("a connection that idled before: %d", w.StatusCode)
		}
		assertDuration(t, "no header", f.dialByHand(t, n).waitClosed(), 5*time.Second)
		slow := f.dialByHand(t, n)
		slow.request("")
		_, _ = io.WriteString(slow.c, "GET /pages/1 HT")
		assertDuration(t, "half a header", slow.waitClosed(), 5*time.Second)
		big := f.dialByHand(t, n)
		if w := big.request("X-More: " + strings.Repeat("x", 600) + "\r\n"); w.StatusCode != 431 {
			t.Errorf("a header over the bound: %d", w.StatusCode)
		}
		if w := f.dialByHand(t, n).request("X-More: " + strings.Repeat("x", 300) + "\r\n"); w.StatusCode != 200 {
			t.Errorf("a header within the bound: %d", w.StatusCode)
		}

		// A request that runs longer than all limits is answered, and so is one
		// whose body arrives slowly.
		limits(70000, 300, 300)
		for _, m := range f.Nodes {
			m.Worker.SetBehavior(standin.WorkerBehavior{Took: 350 * time.Millisecond})
		}
		long := f.dialByHand(t, n)
		if w := long.request("X-More: " + strings.Repeat("x", 66000) + "\r\n"); w.StatusCode != 200 {
			t.Errorf("a long request: %d", w.StatusCode)
		}
		assertDuration(t, "idle after it", long.waitClosed(), 300*time.Millisecond)
		body := f.dialByHand(t, n)
		_, _ = io.WriteString(body.c, "POST /loans/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab")
		Wait(700 * time.Millisecond)
		_, _ = io.WriteString(body.c, "cd")
		if w, err := http.ReadResponse(body.r, nil); err != nil || w.StatusCode != 504 && w.StatusCode != 503 && w.StatusCode != 200 {
			t.Errorf("a slow body: %v %v", w, err)
		}
	})
}
