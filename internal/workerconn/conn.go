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

// Conn is one connection to a worker. It is used by one request at a time.
type Conn struct {
	netConn       net.Conn
	worker, addr  string
	limitedReader io.LimitedReader
	reader        *bufio.Reader
	writer        *bufio.Writer
	releasedAt    time.Time     // when it was released last
	idleDuration  time.Duration // before its newest request; 0: it is new
	maxIdle       time.Duration // how long it may idle
	watchResult   chan bool     // the idle watch's last word: still good
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

// Close ends the connection, and with it the run of the request that is on it.
func (c *Conn) Close() error { return c.netConn.Close() }

// usable tells whether the worker kept still while the connection idled: one that
// closed it, or said something that nobody asked for, gets no request on it.
func (c *Conn) usable() bool {
	if quiet, known := env.IsQuiet(c.netConn); known {
		return quiet
	}
	// The watch is told to end, and says.
	_ = c.netConn.SetReadDeadline(time.Unix(1, 0))
	return <-c.watchResult
}

// waitWhileQuiet waits until the watch on an idle connection is told to end, and tells
// whether nothing came by then.
func (c *Conn) waitWhileQuiet() bool {
	_, err := c.reader.Peek(1)
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// RoundTrip writes a request once and reads the answer whole, within the time. The
// answer is nil when anything at all went wrong. An answer that is a surplus one is
// passed over, once. The connection is kept or ended afterwards; it is in use until
// release is called, and false of that means that it was ended meanwhile.
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
		// What follows it is ours, or nothing whole is.
		resp, body, err = conn.readResponse(req)
	}
	if err != nil {
		return nil, nil, p.classifyError(conn, err, start)
	}
	reusable = !resp.Close && resp.ProtoAtLeast(1, 1) && conn.reader.Buffered() == 0
	conn.maxIdle = p.keepAliveTimeout(resp.Header.Get("Keep-Alive"))
	return resp, body, nil
}

// writeRequest sends a request.
func (c *Conn) writeRequest(req *http.Request) error {
	if err := req.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// keepAliveTimeout is how long a connection may idle and be used again: three quarters of what
// the worker told, since both clocks start at different times; what it didn't tell is
// taken to be short.
func (p *Pool) keepAliveTimeout(keepAlive string) time.Duration {
	for _, field := range strings.Split(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" && seconds > 0 {
			return time.Duration(seconds) * time.Second * 3 / 4
		}
	}
	return p.maxIdle
}

// errNoStatus says that an answer can't be passed on.
var errNoStatus = fault.New(fault.Unknown, "an answer without a status")

// readResponse reads one answer whole.
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
