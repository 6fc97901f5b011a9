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
	mu      sync.Mutex
	armed   bool
	reading bool // the worker reads a request; otherwise it writes an answer
	after   int  // bytes that still pass
	silent  bool // nothing more is said; otherwise the connection is reset
	struck  int
}

// arm sets the next break.
func (p *breakPlan) arm(reading, silent bool, after int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed, p.reading, p.silent, p.after = true, reading, silent, after
}

// strikes tells how many of some bytes still pass, and whether the connection
// breaks after them.
func (p *breakPlan) strikes(reading bool, size int) (pass int, silent, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.armed || p.reading != reading {
		return size, false, false
	}
	if p.after >= size {
		p.after -= size
		return size, false, false
	}
	p.armed = false
	p.struck++
	return p.after, p.silent, true
}

// count tells how many connections were broken.
func (p *breakPlan) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.struck
}

// breakingNet is a worker's network whose accepted connections break by a plan.
type breakingNet struct {
	env.Net
	plan *breakPlan
}

// Listen opens a port of such connections.
func (n *breakingNet) Listen(addr string) (net.Listener, error) {
	l, err := n.Net.Listen(addr)
	return &breakingListener{l, n.plan}, err
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
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &breakingConn{Conn: c, plan: l.plan, over: make(chan struct{})}, nil
}

// errBroken is what the worker sees of a connection that broke.
var errBroken = errors.New("connection reset by peer")

type breakingConn struct {
	net.Conn
	plan *breakPlan
	once sync.Once
	over chan struct{} // closed with the connection
	mu   sync.Mutex
	mute bool // it says nothing more, and hears nothing
}

// Close ends the connection.
func (c *breakingConn) Close() error {
	c.once.Do(func() { close(c.over) })
	return c.Conn.Close()
}

// silent waits for the end of a connection that says nothing more.
func (c *breakingConn) silent() error {
	<-c.over
	return errBroken
}

func (c *breakingConn) isMute() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mute
}

// broke ends the connection, or makes it say nothing more.
func (c *breakingConn) broke(silent bool) error {
	if !silent {
		_ = c.Close()
		return errBroken
	}
	c.mu.Lock()
	c.mute = true
	c.mu.Unlock()
	return c.silent()
}

// Read reads as far as the plan lets it.
func (c *breakingConn) Read(b []byte) (int, error) {
	if c.isMute() {
		return 0, c.silent()
	}
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	pass, silent, broken := c.plan.strikes(true, n)
	if !broken {
		return n, err
	}
	if pass == 0 {
		return 0, c.broke(silent)
	}
	// What came before the break is there; the next look finds the break.
	if silent {
		c.mu.Lock()
		c.mute = true
		c.mu.Unlock()
	} else {
		_ = c.Conn.Close()
	}
	return pass, nil
}

// Write writes as far as the plan lets it.
func (c *breakingConn) Write(b []byte) (int, error) {
	if c.isMute() {
		return 0, c.silent()
	}
	pass, silent, broken := c.plan.strikes(false, len(b))
	n, err := c.Conn.Write(b[:pass])
	if err != nil || !broken {
		return n, err
	}
	return n, c.broke(silent)
}
