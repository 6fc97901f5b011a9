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

// clientConn is one connection of a client to the node.
type clientConn struct {
	conn        net.Conn
	reader      *bufio.Reader
	lastByte    *lastByteReader
	mu          sync.Mutex
	attempt     *checker.Attempt // who waits for an answer
	answers     chan checker.Answer
	closed      bool
	usableUntil time.Time // to be left alone after
	requests    int
	reused      bool // it had an earlier request
}

// connect gives a kept connection or opens a new one, for which there is a second.
func (c *Client) connect(ctx context.Context, reuse bool) *clientConn {
	c.mu.Lock()
	for reuse && len(c.idle) > 0 {
		opened := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if opened.usable() {
			opened.reused = true
			c.mu.Unlock()
			return opened
		}
		opened.close()
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	conn, err := c.Env.Net.Dial(ctx, c.IngressAddr)
	if err != nil {
		return nil
	}
	opened := &clientConn{conn: conn, lastByte: &lastByteReader{Reader: conn}}
	opened.reader = bufio.NewReader(opened.lastByte)
	c.mu.Lock()
	if c.conns == nil {
		c.conns = map[*clientConn]bool{}
	}
	c.conns[opened] = true
	c.mu.Unlock()
	if !c.Tasks.Go("wire", func(context.Context) { opened.readLoop(c); c.forgetConn(opened) }) {
		_ = conn.Close()
		c.forgetConn(opened)
		return nil
	}
	return opened
}

func (c *Client) keepIdle(conn *clientConn) {
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
}

func (c *Client) forgetConn(conn *clientConn) {
	c.mu.Lock()
	delete(c.conns, conn)
	c.mu.Unlock()
}

// Close ends the client's connections, as its machine is gone: none of its jobs
// tries again, at an address that may be another machine's by then.
func (c *Client) Close() {
	c.closed.Store(true)
	c.mu.Lock()
	var conns []*clientConn
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	c.idle = nil
	c.mu.Unlock()
	for _, conn := range conns {
		conn.close()
	}
}

func (w *clientConn) usable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.closed && (w.usableUntil.IsZero() || time.Now().Before(w.usableUntil))
}

func (w *clientConn) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	_ = w.conn.Close()
}

// requestRead tells whether the node has read all that was sent.
func (w *clientConn) requestRead() bool {
	if conn, ok := w.conn.(interface{ Taken() bool }); ok {
		return conn.Taken()
	}
	return true
}

func (w *clientConn) expectAnswer(attempt *checker.Attempt, answers chan checker.Answer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempt, w.answers = attempt, answers
	w.requests++
	return !w.closed
}

// writeRequest sends a request, its body with a length or in chunks.
func (w *clientConn) writeRequest(attempt *checker.Attempt, body []byte, client *Client, closing bool) error {
	var buffer bytes.Buffer
	milliseconds := max(time.Until(attempt.Start.Add(attempt.Timeout)).Milliseconds(), 1)
	attempt.SentTimeout = time.Since(attempt.Start) + time.Duration(milliseconds)*time.Millisecond
	fmt.Fprintf(&buffer, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nX-Other: %s\r\n", attempt.Method, attempt.URI, attempt.Host, client.Dialect.AttemptID, attempt.ID, client.Dialect.Timeout, milliseconds, attempt.Kind)
	// Whatever stands there is not to be believed.
	if client.random.intN(3) == 0 {
		fmt.Fprintf(&buffer, "%s: somebody\r\n", client.Dialect.CallerService)
	}
	if closing {
		buffer.WriteString("Connection: close\r\n")
	}
	chunks := len(body) > 0 && client.random.intN(2) == 0
	switch {
	case chunks:
		buffer.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for part := body; len(part) > 0; {
			size := min(len(part), 1+client.random.intN(32<<10))
			fmt.Fprintf(&buffer, "%x\r\n%s\r\n", size, part[:size])
			part = part[size:]
		}
		buffer.WriteString("0\r\n\r\n")
	case len(body) > 0 || attempt.Method != http.MethodGet:
		fmt.Fprintf(&buffer, "Content-Length: %d\r\n\r\n%s", len(body), body)
	default:
		buffer.WriteString("\r\n")
	}
	for unsent := buffer.Bytes(); len(unsent) > 0; {
		size := min(len(unsent), 64<<10)
		if _, err := w.conn.Write(unsent[:size]); err != nil {
			return err
		}
		unsent = unsent[size:]
	}
	return nil
}

// readLoop reads what comes; bytes that nobody waits for are written down.
func (w *clientConn) readLoop(client *Client) {
	for {
		_, err := w.reader.Peek(1)
		w.mu.Lock()
		attempt, answers, closed := w.attempt, w.answers, w.closed
		w.attempt, w.answers = nil, nil
		w.mu.Unlock()
		if err != nil {
			w.mu.Lock()
			w.closed = true
			w.mu.Unlock()
			if answers != nil {
				answers <- checker.Answer{Reason: err.Error(), RequestRead: w.requestRead()}
			}
			_ = w.conn.Close()
			return
		}
		if answers == nil {
			if !closed {
				unexpected, _ := w.reader.Peek(w.reader.Buffered())
				client.Recorder.UnexpectedBytes(client.Machine, string(unexpected))
			}
			w.close()
			return
		}
		answer, keepOpen := w.readAnswer(client, attempt)
		if !keepOpen {
			w.close()
		}
		answers <- answer
		if !keepOpen {
			return
		}
	}
}

// readAnswer reads one answer.
func (w *clientConn) readAnswer(client *Client, attempt *checker.Attempt) (answer checker.Answer, keepOpen bool) {
	request := &http.Request{Method: attempt.Method}
	response, err := http.ReadResponse(w.reader, request)
	for err == nil && response.StatusCode >= 100 && response.StatusCode < 200 {
		response, err = http.ReadResponse(w.reader, request)
	}
	if err != nil {
		// The end of the connection is no bytes, and no answer.
		var n net.Error
		connEnded := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &n) || w.lastByte.truncatedInHeader(w.reader, err)
		return checker.Answer{Malformed: !connEnded, RequestRead: true, Reason: err.Error()}, false
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	answer = checker.Answer{Status: response.StatusCode, ID: response.Header.Get(client.Dialect.AttemptID), Digest: response.Header.Get(client.Dialect.ResponseDigest), Body: checker.BodyOf(body), Complete: err == nil, RequestRead: true}
	if response.Header.Get("Content-Encoding") != "" {
		answer.Body.Sum++
	}
	if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		answer.RetryAfter, answer.HasRetryAfter = time.Duration(s*float64(time.Second)), true
	}
	if answer.Digest == "" && len(body) < 400 {
		answer.Reason = strings.TrimSpace(string(body))
	}
	w.mu.Lock()
	w.usableUntil = time.Time{}
	for _, field := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		if n, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if s, err := strconv.Atoi(n); err == nil {
				w.usableUntil = time.Now().Add(time.Duration(s) * time.Second)
			}
		}
	}
	w.mu.Unlock()
	return answer, err == nil && !response.Close
}

// reusable tells whether a connection may serve another request.
func (w *clientConn) reusable(answer checker.Answer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.closed && answer.Complete && answer.Status != 0
}
