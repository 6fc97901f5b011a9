package sim

import (
	"context"
	"errors"
	"net"
	"sync"

	"puffincrank/internal/env"
)

// breakPlan schedules the failure of one worker connection at a given byte: it strikes the
// next connection on which that many bytes flow in the chosen direction.
type breakPlan struct {
	mu        sync.Mutex
	scheduled bool
	reading   bool // direction that fails: true while the worker reads a request, false while it writes a response
	remaining int  // bytes that still pass before the failure
	silent    bool // the connection stalls without an error; otherwise it is reset
	broken    int
}

// schedule sets the next failure.
func (p *breakPlan) schedule(reading, silent bool, remaining int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduled, p.reading, p.silent, p.remaining = true, reading, silent, remaining
}

// allow returns how many of size bytes still pass, and whether the connection fails after
// them.
func (p *breakPlan) allow(reading bool, size int) (pass int, silent, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.scheduled || p.reading != reading {
		return size, false, false
	}
	if p.remaining >= size {
		p.remaining -= size
		return size, false, false
	}
	p.scheduled = false
	p.broken++
	return p.remaining, p.silent, true
}

// count returns the number of connections that have failed.
func (p *breakPlan) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.broken
}

// breakingNet is a worker's network whose accepted connections fail according to a plan.
type breakingNet struct {
	env.Net
	plan *breakPlan
}

// Listen opens a port whose accepted connections fail according to the plan.
func (n *breakingNet) Listen(addr string) (net.Listener, error) {
	listener, err := n.Net.Listen(addr)
	return &breakingListener{listener, n.plan}, err
}

// Dial connects through the underlying network, without failures.
func (n *breakingNet) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return n.Net.Dial(ctx, addr)
}

type breakingListener struct {
	net.Listener
	plan *breakPlan
}

// Accept returns a connection that fails according to the plan.
func (l *breakingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &breakingConn{Conn: conn, plan: l.plan, closed: make(chan struct{})}, nil
}

// errBroken is the error that the worker gets from a connection that failed.
var errBroken = errors.New("connection reset by peer")

type breakingConn struct {
	net.Conn
	plan     *breakPlan
	once     sync.Once
	closed   chan struct{} // closed together with the connection
	mu       sync.Mutex
	silenced bool // the connection neither sends nor receives any more
}

// Close closes the connection and releases callers that are blocked in a stalled one.
func (c *breakingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// waitClosed blocks until a stalled connection is closed.
func (c *breakingConn) waitClosed() error {
	<-c.closed
	return errBroken
}

func (c *breakingConn) isSilenced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silenced
}

// breakNow closes the connection, or stalls it until it is closed.
func (c *breakingConn) breakNow(silent bool) error {
	if !silent {
		_ = c.Close()
		return errBroken
	}
	c.mu.Lock()
	c.silenced = true
	c.mu.Unlock()
	return c.waitClosed()
}

// Read reads as many bytes as the plan allows.
func (c *breakingConn) Read(buffer []byte) (int, error) {
	if c.isSilenced() {
		return 0, c.waitClosed()
	}
	n, err := c.Conn.Read(buffer)
	if n == 0 {
		return n, err
	}
	pass, silent, broken := c.plan.allow(true, n)
	if !broken {
		return n, err
	}
	if pass == 0 {
		return 0, c.breakNow(silent)
	}
	// The bytes before the failure are delivered; the next read meets the failure.
	if silent {
		c.mu.Lock()
		c.silenced = true
		c.mu.Unlock()
	} else {
		_ = c.Conn.Close()
	}
	return pass, nil
}

// Write writes as many bytes as the plan allows.
func (c *breakingConn) Write(data []byte) (int, error) {
	if c.isSilenced() {
		return 0, c.waitClosed()
	}
	pass, silent, broken := c.plan.allow(false, len(data))
	n, err := c.Conn.Write(data[:pass])
	if err != nil || !broken {
		return n, err
	}
	return n, c.breakNow(silent)
}
