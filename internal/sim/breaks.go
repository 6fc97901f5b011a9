package sim

import (
	"context"
	"errors"
	"net"
	"sync"

	"puffincrank/internal/env"
)

// breakPlan breaks one connection of a worker at a byte: the next one on which
// that many bytes go in a direction.
type breakPlan struct {
	mu        sync.Mutex
	scheduled bool
	reading   bool // the worker reads a request; otherwise it writes an answer
	remaining int  // bytes that still pass
	silent    bool // nothing more is said; otherwise the connection is reset
	broken    int
}

// schedule sets the next break.
func (p *breakPlan) schedule(reading, silent bool, remaining int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduled, p.reading, p.silent, p.remaining = true, reading, silent, remaining
}

// allow tells how many of some bytes still pass, and whether the connection
// breaks after them.
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

// count tells how many connections were broken.
func (p *breakPlan) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.broken
}

// breakingNet is a worker's network whose accepted connections break by a plan.
type breakingNet struct {
	env.Net
	plan *breakPlan
}

// Listen opens a port of such connections.
func (n *breakingNet) Listen(addr string) (net.Listener, error) {
	listener, err := n.Net.Listen(addr)
	return &breakingListener{listener, n.plan}, err
}

// Dial is the network's own.
func (n *breakingNet) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return n.Net.Dial(ctx, addr)
}

type breakingListener struct {
	net.Listener
	plan *breakPlan
}

// Accept gives a connection that breaks by the plan.
func (l *breakingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &breakingConn{Conn: conn, plan: l.plan, closed: make(chan struct{})}, nil
}

// errBroken is what the worker sees of a connection that broke.
var errBroken = errors.New("connection reset by peer")

type breakingConn struct {
	net.Conn
	plan     *breakPlan
	once     sync.Once
	closed   chan struct{} // closed with the connection
	mu       sync.Mutex
	silenced bool // it says nothing more, and hears nothing
}

// Close ends the connection.
func (c *breakingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// waitClosed waits for the end of a connection that says nothing more.
func (c *breakingConn) waitClosed() error {
	<-c.closed
	return errBroken
}

func (c *breakingConn) isSilenced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silenced
}

// breakNow ends the connection, or makes it say nothing more.
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

// Read reads as far as the plan lets it.
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
	// What came before the break is there; the next look finds the break.
	if silent {
		c.mu.Lock()
		c.silenced = true
		c.mu.Unlock()
	} else {
		_ = c.Conn.Close()
	}
	return pass, nil
}

// Write writes as far as the plan lets it.
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
