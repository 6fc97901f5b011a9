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

// clientConn is a connection of a client to the node. mu guards the fields below it but reused.
type clientConn struct {
	conn        net.Conn
	reader      *bufio.Reader
	lastByte    *lastByteReader
	mu          sync.Mutex
	attempt     *checker.Attempt // the attempt that waits for an answer
	answers     chan checker.Answer
	closed      bool
	usableUntil time.Time // end of the node's keep-alive time; zero: none was given
	requests    int
	reused      bool // it carried an earlier request
}

// connect returns an idle connection if reuse is set, or opens a new one within one second.
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

// Close closes all connections because the client's machine is gone. No request is retried:
// the address may belong to another machine by then.
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

func (c *clientConn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && (c.usableUntil.IsZero() || time.Now().Before(c.usableUntil))
}

func (c *clientConn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.conn.Close()
}

// requestRead reports whether the node has read all that was sent.
func (c *clientConn) requestRead() bool {
	if conn, ok := c.conn.(interface{ Taken() bool }); ok {
		return conn.Taken()
	}
	return true
}

func (c *clientConn) expectAnswer(attempt *checker.Attempt, answers chan checker.Answer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt, c.answers = attempt, answers
	c.requests++
	return !c.closed
}

// writeRequest sends a request, its body either with a length or in chunks.
func (c *clientConn) writeRequest(attempt *checker.Attempt, body []byte, client *Client, closing bool) error {
	var buffer bytes.Buffer
	milliseconds := max(time.Until(attempt.Start.Add(attempt.Timeout)).Milliseconds(), 1)
	attempt.SentTimeout = time.Since(attempt.Start) + time.Duration(milliseconds)*time.Millisecond
	fmt.Fprintf(&buffer, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nX-Other: %s\r\n", attempt.Method, attempt.URI, attempt.Host, client.Dialect.AttemptID, attempt.ID, client.Dialect.Timeout, milliseconds, attempt.Kind)
	// A caller may send any value here; the node must not trust it.
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
		if _, err := c.conn.Write(unsent[:size]); err != nil {
			return err
		}
		unsent = unsent[size:]
	}
	return nil
}

// readLoop reads all answers. Bytes without a pending request are recorded as a breach.
func (c *clientConn) readLoop(client *Client) {
	for {
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		attempt, answers, closed := c.attempt, c.answers, c.closed
		c.attempt, c.answers = nil, nil
		c.mu.Unlock()
		if err != nil {
			c.mu.Lock()
			c.closed = true
			c.mu.Unlock()
			if answers != nil {
				answers <- checker.Answer{Reason: err.Error(), RequestRead: c.requestRead()}
			}
			_ = c.conn.Close()
			return
		}
		if answers == nil {
			if !closed {
				unexpected, _ := c.reader.Peek(c.reader.Buffered())
				client.Recorder.UnexpectedBytes(client.Machine, string(unexpected))
			}
			c.close()
			return
		}
		answer, keepOpen := c.readAnswer(client, attempt)
		if !keepOpen {
			c.close()
		}
		answers <- answer
		if !keepOpen {
			return
		}
	}
}

// readAnswer reads one answer.
func (c *clientConn) readAnswer(client *Client, attempt *checker.Attempt) (answer checker.Answer, keepOpen bool) {
	request := &http.Request{Method: attempt.Method}
	response, err := http.ReadResponse(c.reader, request)
	for err == nil && response.StatusCode >= 100 && response.StatusCode < 200 {
		response, err = http.ReadResponse(c.reader, request)
	}
	if err != nil {
		// If the connection ended, there is no answer, but no malformed one either.
		var netError net.Error
		connEnded := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &netError) || c.lastByte.truncatedInHeader(c.reader, err)
		return checker.Answer{Malformed: !connEnded, RequestRead: true, Reason: err.Error()}, false
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	answer = checker.Answer{Status: response.StatusCode, ID: response.Header.Get(client.Dialect.AttemptID), Digest: response.Header.Get(client.Dialect.ResponseDigest), Body: checker.BodyOf(body), Complete: err == nil, RequestRead: true}
	if response.Header.Get("Content-Encoding") != "" {
		answer.Body.Sum++
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		answer.RetryAfter, answer.HasRetryAfter = time.Duration(seconds*float64(time.Second)), true
	}
	if answer.Digest == "" && len(body) < 400 {
		answer.Reason = strings.TrimSpace(string(body))
	}
	c.mu.Lock()
	c.usableUntil = time.Time{}
	for _, field := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if seconds, err := strconv.Atoi(text); err == nil {
				c.usableUntil = time.Now().Add(time.Duration(seconds) * time.Second)
			}
		}
	}
	c.mu.Unlock()
	return answer, err == nil && !response.Close
}

// reusable reports whether the connection may carry another request.
func (c *clientConn) reusable(answer checker.Answer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && answer.Complete && answer.Status != 0
}
