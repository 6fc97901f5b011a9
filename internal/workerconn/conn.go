package workerconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/fault"
)

// Conn is one connection to a worker. It carries one request at a time.
type Conn struct {
	netConn       net.Conn
	worker, addr  string
	limitedReader io.LimitedReader
	reader        *bufio.Reader
	writer        *bufio.Writer
	releasedAt    time.Time     // when it was last returned to the pool
	idleDuration  time.Duration // how long it idled before its latest request; 0 for a new connection
	maxIdle       time.Duration // how long it may idle and still be reused
	watchResult   chan bool     // from watchIdle when it ends: whether nothing arrived
}

func (p *Pool) newConn(netConn net.Conn, worker, addr string) *Conn {
	conn := &Conn{netConn: netConn, worker: worker, addr: addr, maxIdle: p.maxIdle, writer: bufio.NewWriter(netConn), watchResult: make(chan bool, 1)}
	conn.limitedReader.R = netConn
	conn.reader = bufio.NewReader(&conn.limitedReader)
	p.mu.Lock()
	p.conns[conn] = true
	p.mu.Unlock()
	return conn
}

// Close closes the connection, which also aborts the request in flight on it.
func (c *Conn) Close() error { return c.netConn.Close() }

// usable reports whether an idle connection can carry another request: the worker
// has neither closed it nor sent unsolicited bytes.
func (c *Conn) usable() bool {
	if quiet, known := env.IsQuiet(c.netConn); known {
		return quiet
	}
	// A read deadline in the past ends watchIdle, which then sends its result.
	_ = c.netConn.SetReadDeadline(time.Unix(1, 0))
	return <-c.watchResult
}

// waitWhileQuiet blocks until the worker sends a byte or closes the connection, or until
// the read deadline expires. It reports whether nothing arrived before the deadline.
func (c *Conn) waitWhileQuiet() bool {
	_, err := c.reader.Peek(1)
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// RoundTrip writes a request once and reads the whole response before the deadline. The
// response is nil on any error. One response for which isSurplus returns true is skipped.
// Afterwards the connection goes back to the pool or is closed. It is in use until
// RoundTrip calls release, which returns false if the connection was closed meanwhile.
func (p *Pool) RoundTrip(conn *Conn, req *http.Request, deadline time.Time, isSurplus func(*http.Response) bool, release func() bool) (*http.Response, []byte, error) {
	reusable := false
	defer func() {
		if release() && reusable {
			p.Release(conn)
		} else {
			p.Discard(conn)
		}
	}()
	_ = conn.netConn.SetDeadline(deadline)
	conn.limitedReader.N = p.maxResponseBytes
	start := time.Now()
	if err := conn.writeRequest(req); err != nil {
		return nil, nil, p.classifyError(conn, err, start)
	}
	resp, body, err := conn.readResponse(req)
	if err == nil && isSurplus != nil && isSurplus(resp) {
		// The next response answers this request, or reading it fails.
		resp, body, err = conn.readResponse(req)
	}
	if err != nil {
		return nil, nil, p.classifyError(conn, err, start)
	}
	reusable = !resp.Close && resp.ProtoAtLeast(1, 1) && conn.reader.Buffered() == 0
	conn.maxIdle = p.keepAliveTimeout(resp.Header.Get("Keep-Alive"))
	return resp, body, nil
}

func (c *Conn) writeRequest(req *http.Request) error {
	if err := req.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// keepAliveTimeout returns how long a connection may idle and still be reused: three
// quarters of the timeout in the worker's Keep-Alive header, since the two sides start
// counting at different times. Without such a header it is the pool's maximum.
func (p *Pool) keepAliveTimeout(keepAlive string) time.Duration {
	for _, field := range strings.Split(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" && seconds > 0 {
			return time.Duration(seconds) * time.Second * 3 / 4
		}
	}
	return p.maxIdle
}

// errNoStatus means that a response has no valid status and can't be forwarded.
var errNoStatus = fault.New(fault.Unknown, "an answer without a status")

// readResponse reads one response with its whole body, skipping 1xx responses.
func (c *Conn) readResponse(req *http.Request) (*http.Response, []byte, error) {
	resp, err := http.ReadResponse(c.reader, req)
	for err == nil && resp.StatusCode >= 100 && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(c.reader, req)
	}
	if err == nil && resp.StatusCode < 200 {
		err = errNoStatus
	}
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return nil, nil, err
	}
	return resp, body, nil
}
