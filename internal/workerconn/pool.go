// Package workerconn keeps the connections of a node to the workers beside it. A
// request is written once, on one connection: net/http's Transport isn't used, since it
// sends a request again in silence when a kept connection turns out dead.
//
// Lock order: Pool.mu is held over no call of another package.
package workerconn

import (
	"context"
	"sync"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/task"
)

// Pool keeps idle connections by worker.
type Pool struct {
	net         env.Net
	group       *task.Group
	idleMost    time.Duration // how long a connection may idle and be used again
	answerBytes int64         // bound on one answer, head and body
	identifies  bool          // asks who is there, on each new connection

	mu     sync.Mutex
	idle   map[string][]*Conn // by worker
	all    map[*Conn]bool
	limits map[string]idleLimit // by worker
}

// NewPool makes a pool. A connection may idle for idleMost, and an answer have
// answerBytes, head and body. With identifies each new connection is asked for the
// worker's name first.
func NewPool(net env.Net, group *task.Group, idleMost time.Duration, answerBytes int64, identifies bool) *Pool {
	return &Pool{net: net, group: group, idleMost: idleMost, answerBytes: answerBytes, identifies: identifies,
		idle: map[string][]*Conn{}, all: map[*Conn]bool{}, limits: map[string]idleLimit{}}
}

// Acquire gives a connection to a worker: a kept one that was good a moment ago, or a
// new one. An error means that no request can have been sent.
func (p *Pool) Acquire(ctx context.Context, worker, addr string) (*Conn, error) {
	for {
		c, idleMost := p.pop(worker)
		if c == nil {
			return p.Open(ctx, worker, addr)
		}
		c.idled = time.Since(c.since)
		if c.usable() && c.idled < min(c.idleMost, idleMost) {
			return c, nil
		}
		p.Discard(c)
	}
}

// pop takes the idle connection that was used last, nil if there is none, and tells
// for how long one of its worker may have idled.
func (p *Pool) pop(worker string) (c *Conn, idleMost time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idleMost = p.idleLimit(worker)
	idle := p.idle[worker]
	if n := len(idle); n > 0 {
		c = idle[n-1]
		p.idle[worker] = idle[:n-1]
	}
	return c, idleMost
}

// Release puts a connection by. Where it can't be looked at before its next request, a
// watch reads on it meanwhile.
func (p *Pool) Release(c *Conn) {
	c.since = time.Now()
	c.limited.N = 1
	_ = c.conn.SetDeadline(time.Time{})
	if _, known := env.IsQuiet(c.conn); !known && !p.group.Go("idle-watch", func(context.Context) { p.watch(c) }) {
		p.Discard(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.worker] = append(p.idle[c.worker], c)
}

// watch reads on an idle connection until it is told to end, and drops it if anything
// came, or its end.
func (p *Pool) watch(c *Conn) {
	good := c.stillIdle()
	c.woke <- good
	if !good {
		p.forget(c)
	}
}

// forget drops a connection that died while it idled.
func (p *Pool) forget(c *Conn) {
	p.mu.Lock()
	for i, o := range p.idle[c.worker] {
		if o == c {
			p.idle[c.worker] = append(p.idle[c.worker][:i:i], p.idle[c.worker][i+1:]...)
			break
		}
	}
	p.mu.Unlock()
	p.Discard(c)
}

// Discard ends a connection for good.
func (p *Pool) Discard(c *Conn) {
	_ = c.conn.Close()
	p.mu.Lock()
	delete(p.all, c)
	p.mu.Unlock()
}

// CloseIdle ends connections that idled for too long.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for worker, idle := range p.idle {
		var kept []*Conn
		for _, c := range idle {
			if time.Since(c.since) < c.idleMost {
				kept = append(kept, c)
				continue
			}
			// Its watch, if any, sees the end and drops it.
			_ = c.conn.Close()
			delete(p.all, c)
		}
		if len(kept) == 0 {
			delete(p.idle, worker)
		} else {
			p.idle[worker] = kept
		}
	}
}

// Close ends all connections, those in use as well.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.all {
		_ = c.conn.Close()
	}
}
