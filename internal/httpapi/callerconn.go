package httpapi

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/task"
)

// ConnLimits holds the header timeout, the idle timeout and the maximum number of
// callers' connections. It can be changed while connections are open. A connection that
// is already idle keeps its idle timeout, which its caller may know from a response.
type ConnLimits struct {
	headerTimeout, idleTimeout atomic.Int64
	maxConns, openConns        atomic.Int64 // maxConns 0: no limit
	activeConns                atomic.Int64 // connections with a request that isn't fully answered yet
}

// SetMaxConns sets the maximum number of open connections; 0 means no limit.
func (s *ConnLimits) SetMaxConns(maxConns int) { s.maxConns.Store(int64(maxConns)) }

// OpenConns returns the number of open connections.
func (s *ConnLimits) OpenConns() int64 { return s.openConns.Load() }

// ActiveConns returns the number of connections on which a request has begun to arrive and
// its response isn't completely written.
func (s *ConnLimits) ActiveConns() int64 { return s.activeConns.Load() }

// NearLimit reports whether more than three quarters of the maximum are open. Responses
// should then close their connections, before new ones have to be rejected.
func (s *ConnLimits) NearLimit() bool {
	maxConns := s.maxConns.Load()
	return maxConns > 0 && 4*s.openConns.Load() > 3*maxConns
}

// Set changes both timeouts.
func (s *ConnLimits) Set(headerTimeout, idleTimeout time.Duration) {
	s.headerTimeout.Store(int64(headerTimeout))
	s.idleTimeout.Store(int64(idleTimeout))
}

// IdleTimeout is the timeout of connections that become idle from now on.
func (s *ConnLimits) IdleTimeout() time.Duration { return time.Duration(s.idleTimeout.Load()) }

// ServeCallers serves a port whose connections follow limits that may change. The
// http.Server reads its own timeouts without a lock, so they can't be changed while it
// runs; callerConn adjusts the deadlines that the server sets on each connection instead.
// headerBytesLimit bounds a header and can't be changed later.
func ServeCallers(group *task.Group, environment env.Env, addr string, handler http.Handler, headerTimeout time.Duration, headerBytesLimit int, limits *ConnLimits) (*http.Server, error) {
	return startServer(group, environment, addr, handler, headerTimeout, func(server *http.Server, listener net.Listener) net.Listener {
		server.MaxHeaderBytes = headerBytesLimit
		server.ConnState = func(conn net.Conn, state http.ConnState) {
			if caller, ok := conn.(*callerConn); ok {
				caller.stateChanged(state)
			}
		}
		server.ConnContext = withConn
		return &callerListener{Listener: listener, limits: limits, serverHeaderTimeout: headerTimeout}
	})
}

// callerListener wraps each accepted connection in a callerConn and enforces maxConns.
type callerListener struct {
	net.Listener
	limits              *ConnLimits
	serverHeaderTimeout time.Duration // as set in the http.Server
}

func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		// Connections over the limit are closed unread, to keep descriptors for peers
		// and the worker. Their callers know that no request was accepted.
		if n, maxConns := l.limits.openConns.Add(1), l.limits.maxConns.Load(); maxConns > 0 && n > maxConns {
			l.limits.openConns.Add(-1)
			_ = conn.Close()
			continue
		}
		caller := &callerConn{Conn: conn, listener: l}
		caller.scanner.start()
		return caller, nil
	}
}

// What the server's next read deadline on a connection is for. The server sets them in
// this order: for the header, for the whole request, and for the idle time after it.
const (
	headerDeadline = iota
	requestDeadline
	noDeadline // deadlines set until the request ends pass unchanged
	idleDeadline
)

// callerConn is one connection of a caller. mu guards nextDeadline, headerExtension and
// scanner.
type callerConn struct {
	net.Conn
	listener        *callerListener
	mu              sync.Mutex
	nextDeadline    int
	headerExtension time.Duration // by how much the current header timeout exceeds the server's
	closeOnce       sync.Once
	scanner         headScanner
	active          atomic.Bool // a request on it isn't fully answered yet
}

// stateChanged is the server's ConnState hook: it counts active connections.
func (c *callerConn) stateChanged(state http.ConnState) {
	active := state == http.StateActive
	if c.active.Swap(active) != active {
		if active {
			c.listener.limits.activeConns.Add(1)
		} else {
			c.listener.limits.activeConns.Add(-1)
		}
	}
	if state == http.StateIdle {
		c.startIdle()
	}
}

// Close closes the connection and removes it from the count of open ones.
func (c *callerConn) Close() error {
	c.closeOnce.Do(func() { c.listener.limits.openConns.Add(-1) })
	return c.Conn.Close()
}

// startIdle prepares for the idle deadline and the next head after a request has ended.
func (c *callerConn) startIdle() {
	c.mu.Lock()
	c.nextDeadline = idleDeadline
	c.scanner = headScanner{}
	c.mu.Unlock()
}

// Read closes the connection when a header takes too long. Otherwise the server would
// parse the incomplete line received so far and answer that the request is malformed.
func (c *callerConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	// The connection was idle, so the server has buffered nothing of the next head
	// except the few bytes that it peeked at to detect a request.
	if c.nextDeadline == headerDeadline && !c.scanner.started {
		c.scanner.start()
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.scanner.scan(b[:n])
		c.mu.Unlock()
	}
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		c.mu.Lock()
		inHeader := c.nextDeadline == requestDeadline
		c.mu.Unlock()
		if inHeader {
			_ = c.Conn.Close()
		}
	}
	return n, err
}

// SetReadDeadline adjusts a deadline set by the server to the current limits.
// Deadlines in the past and the zero time pass unchanged: the server uses them to
// interrupt a read or to clear a deadline.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	if now := time.Now(); deadline.After(now) {
		c.mu.Lock()
		switch c.nextDeadline {
		case headerDeadline:
			headerTimeout := time.Duration(c.listener.limits.headerTimeout.Load())
			c.headerExtension, deadline, c.nextDeadline = headerTimeout-c.listener.serverHeaderTimeout, now.Add(headerTimeout), requestDeadline
		case requestDeadline:
			// A longer header timeout must not shorten the time for the body.
			deadline, c.nextDeadline = deadline.Add(max(c.headerExtension, 0)), noDeadline
		case idleDeadline:
			deadline, c.nextDeadline = now.Add(c.listener.limits.IdleTimeout()), headerDeadline
		}
		c.mu.Unlock()
	}
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite lets the server close its sending side first when a request wasn't read
// completely, so that a reset doesn't discard the response.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
