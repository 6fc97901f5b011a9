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

// ConnLimits is how long callers' connections may take over a header and may idle.
// It can be changed while connections stand; one that idles keeps the time that
// it had when it began to, since its caller may have been told of that.
type ConnLimits struct {
	headerTimeout, idleTimeout atomic.Int64
	maxConns, openConns        atomic.Int64 // connections: the bound, 0 for none, and how many there are
	activeConns                atomic.Int64 // of them, those whose request has begun to come and isn't answered
}

// SetMaxConns sets how many connections there may be at once; 0 sets no bound.
func (s *ConnLimits) SetMaxConns(maxConns int) { s.maxConns.Store(int64(maxConns)) }

// OpenConns tells how many there are.
func (s *ConnLimits) OpenConns() int64 { return s.openConns.Load() }

// ActiveConns tells on how many connections a request has begun to come whose answer is
// not written to its end.
func (s *ConnLimits) ActiveConns() int64 { return s.activeConns.Load() }

// NearLimit tells that three quarters of the bound are reached: answers should
// end their connections then, before new ones have to be turned away.
func (s *ConnLimits) NearLimit() bool {
	maxConns := s.maxConns.Load()
	return maxConns > 0 && 4*s.openConns.Load() > 3*maxConns
}

// Set changes both.
func (s *ConnLimits) Set(headerTimeout, idleTimeout time.Duration) {
	s.headerTimeout.Store(int64(headerTimeout))
	s.idleTimeout.Store(int64(idleTimeout))
}

// IdleTimeout is how long a connection may idle from now on.
func (s *ConnLimits) IdleTimeout() time.Duration { return time.Duration(s.idleTimeout.Load()) }

// ServeCallers opens a port whose connections go by limits that may change. The
// server reads its own limits without a lock, so they stay as they are, and the
// deadlines that it sets on a connection are moved on their way. most bounds a
// header in bytes, whatever is told later.
func ServeCallers(group *task.Group, environment env.Env, addr string, handler http.Handler, headerTimeout time.Duration, maxHeaderBytes int, limits *ConnLimits) (*http.Server, error) {
	return startServer(group, environment, addr, handler, headerTimeout, func(server *http.Server, listener net.Listener) net.Listener {
		server.MaxHeaderBytes = maxHeaderBytes
		server.ConnState = func(conn net.Conn, state http.ConnState) {
			if caller, ok := conn.(*callerConn); ok {
				caller.stateChanged(state)
			}
		}
		server.ConnContext = withConn
		return &callerListener{Listener: listener, limits: limits, serverHeaderTimeout: headerTimeout}
	})
}

// callerListener gives out callers' connections.
type callerListener struct {
	net.Listener
	limits              *ConnLimits
	serverHeaderTimeout time.Duration // the server's own
}

func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		// One too many ends unread, so that descriptors are left for fellows and
		// the worker; its caller knows that nothing was taken.
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

// What the next deadline of a connection is for. The server sets them in this
// order: for the header, for the whole request, and for the rest after it.
const (
	headerDeadline = iota
	requestDeadline
	noDeadline
	idleDeadline
)

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	listener        *callerListener
	mu              sync.Mutex
	nextDeadline    int
	headerExtension time.Duration // by how much the header's time was moved
	closeOnce       sync.Once
	scanner         headScanner
	active          atomic.Bool // a request on it is not answered to its end
}

// stateChanged notes what the server says of the connection.
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

// Close ends the connection, which then no longer counts.
func (c *callerConn) Close() error {
	c.closeOnce.Do(func() { c.listener.limits.openConns.Add(-1) })
	return c.Conn.Close()
}

// startIdle notes that a request has ended and the connection idles.
func (c *callerConn) startIdle() {
	c.mu.Lock()
	c.nextDeadline = idleDeadline
	c.scanner = headScanner{}
	c.mu.Unlock()
}

// Read ends the connection when a header takes too long. The server itself
// would take the part of a line that came for a whole one, and answer that it
// is malformed.
func (c *callerConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	// Read while it idles: nothing of the next head has been buffered, but for
	// the few bytes that the server looked at to see that there is one.
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

// SetReadDeadline moves a deadline that the server sets to what holds now.
// Those in the past and none at all are its way to end a read or let it go on.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	if now := time.Now(); deadline.After(now) {
		c.mu.Lock()
		switch c.nextDeadline {
		case headerDeadline:
			headerTimeout := time.Duration(c.listener.limits.headerTimeout.Load())
			c.headerExtension, deadline, c.nextDeadline = headerTimeout-c.listener.serverHeaderTimeout, now.Add(headerTimeout), requestDeadline
		case requestDeadline:
			// A longer time for the header doesn't shorten that of the body.
			deadline, c.nextDeadline = deadline.Add(max(c.headerExtension, 0)), noDeadline
		case idleDeadline:
			deadline, c.nextDeadline = now.Add(c.listener.limits.IdleTimeout()), headerDeadline
		}
		c.mu.Unlock()
	}
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite lets the server end its side first where a request was not read
// whole, so that the answer isn't lost.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
