package actors

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"puffincrank/internal/standin/checker"
)

// wire is one connection of a client to the node.
type wire struct {
	c     net.Conn
	r     *bufio.Reader
	tail  *tail
	mu    sync.Mutex
	t     *checker.Try // who waits for an answer
	to    chan checker.Answer
	over  bool
	until time.Time // to be left alone after
	n     int
	used  bool // it had an earlier request
}

// take gives a kept connection or opens a new one, for which there is a second.
func (c *Client) take(ctx context.Context, kept bool) *wire {
	c.mu.Lock()
	for kept && len(c.idle) > 0 {
		w := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if w.fresh() {
			w.used = true
			c.mu.Unlock()
			return w
		}
		w.shut()
	}
	c.mu.Unlock()
	ctx, end := context.WithTimeout(ctx, time.Second)
	defer end()
	conn, err := c.E.Net.Dial(ctx, c.Front)
	if err != nil {
		return nil
	}
	w := &wire{c: conn, tail: &tail{Reader: conn}}
	w.r = bufio.NewReader(w.tail)
	c.mu.Lock()
	if c.wires == nil {
		c.wires = map[*wire]bool{}
	}
	c.wires[w] = true
	c.mu.Unlock()
	if !c.G.Go("wire", func(context.Context) { w.listen(c); c.forget(w) }) {
		_ = conn.Close()
		c.forget(w)
		return nil
	}
	return w
}

func (c *Client) keep(w *wire) {
	c.mu.Lock()
	c.idle = append(c.idle, w)
	c.mu.Unlock()
}

func (c *Client) forget(w *wire) {
	c.mu.Lock()
	delete(c.wires, w)
	c.mu.Unlock()
}

// Close ends the client's connections, as its machine is gone: none of its jobs
// tries again, at an address that may be another machine's by then.
func (c *Client) Close() {
	c.gone.Store(true)
	c.mu.Lock()
	var all []*wire
	for w := range c.wires {
		all = append(all, w)
	}
	c.idle = nil
	c.mu.Unlock()
	for _, w := range all {
		w.shut()
	}
}

func (w *wire) fresh() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.over && (w.until.IsZero() || time.Now().Before(w.until))
}

func (w *wire) shut() {
	w.mu.Lock()
	w.over = true
	w.mu.Unlock()
	_ = w.c.Close()
}

// taken tells whether the node has read all that was sent.
func (w *wire) taken() bool {
	if c, ok := w.c.(interface{ Taken() bool }); ok {
		return c.Taken()
	}
	return true
}

func (w *wire) expect(t *checker.Try, to chan checker.Answer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.t, w.to = t, to
	w.n++
	return !w.over
}

// write sends a request, its body with a length or in chunks.
func (w *wire) write(t *checker.Try, body []byte, c *Client, last bool) error {
	var b bytes.Buffer
	ms := max(time.Until(t.From.Add(t.Left)).Milliseconds(), 1)
	t.Told = time.Since(t.From) + time.Duration(ms)*time.Millisecond
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nX-Other: %s\r\n", t.Method, t.URI, t.Host, c.Say.AttemptID, t.ID, c.Say.Timeout, ms, t.Kind)
	// Whatever stands there is not to be believed.
	if c.dice.below(3) == 0 {
		fmt.Fprintf(&b, "%s: somebody\r\n", c.Say.CallerService)
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	chunks := len(body) > 0 && c.dice.below(2) == 0
	switch {
	case chunks:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for part := body; len(part) > 0; {
			n := min(len(part), 1+c.dice.below(32<<10))
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, part[:n])
			part = part[n:]
		}
		b.WriteString("0\r\n\r\n")
	case len(body) > 0 || t.Method != http.MethodGet:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	default:
		b.WriteString("\r\n")
	}
	for out := b.Bytes(); len(out) > 0; {
		n := min(len(out), 64<<10)
		if _, err := w.c.Write(out[:n]); err != nil {
			return err
		}
		out = out[n:]
	}
	return nil
}

// listen reads what comes; bytes that nobody waits for are written down.
func (w *wire) listen(c *Client) {
	for {
		_, err := w.r.Peek(1)
		w.mu.Lock()
		t, to, over := w.t, w.to, w.over
		w.t, w.to = nil, nil
		w.mu.Unlock()
		if err != nil {
			w.mu.Lock()
			w.over = true
			w.mu.Unlock()
			if to != nil {
				to <- checker.Answer{Why: err.Error(), Taken: w.taken()}
			}
			_ = w.c.Close()
			return
		}
		if to == nil {
			if !over {
				all, _ := w.r.Peek(w.r.Buffered())
				c.Wit.Stray(c.Machine, string(all))
			}
			w.shut()
			return
		}
		a, on := w.read(c, t)
		if !on {
			w.shut()
		}
		to <- a
		if !on {
			return
		}
	}
}

// read reads one answer.
func (w *wire) read(c *Client, t *checker.Try) (a checker.Answer, on bool) {
	req := &http.Request{Method: t.Method}
	got, err := http.ReadResponse(w.r, req)
	for err == nil && got.StatusCode >= 100 && got.StatusCode < 200 {
		got, err = http.ReadResponse(w.r, req)
	}
	if err != nil {
		// The end of the connection is no bytes, and no answer.
		var n net.Error
		cut := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &n) || w.tail.cutInHead(w.r, err)
		return checker.Answer{Broken: !cut, Taken: true, Why: err.Error()}, false
	}
	body, err := io.ReadAll(got.Body)
	_ = got.Body.Close()
	a = checker.Answer{Status: got.StatusCode, ID: got.Header.Get(c.Say.AttemptID), Stamp: got.Header.Get(c.Say.ResponseDigest), Body: checker.BodyOf(body), Whole: err == nil, Taken: true}
	if got.Header.Get("Content-Encoding") != "" {
		a.Body.Sum++
	}
	if s, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64); err == nil {
		a.Come, a.HasCome = time.Duration(s*float64(time.Second)), true
	}
	if a.Stamp == "" && len(body) < 400 {
		a.Why = strings.TrimSpace(string(body))
	}
	w.mu.Lock()
	w.until = time.Time{}
	for _, f := range strings.Split(got.Header.Get("Keep-Alive"), ",") {
		if n, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout="); ok {
			if s, err := strconv.Atoi(n); err == nil {
				w.until = time.Now().Add(time.Duration(s) * time.Second)
			}
		}
	}
	w.mu.Unlock()
	return a, err == nil && !got.Close
}

// good tells whether a connection may serve another request.
func (w *wire) good(a checker.Answer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.over && a.Whole && a.Status != 0
}
