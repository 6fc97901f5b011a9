// Package workerconn is the pool of a node's connections to its local workers. Each
// request is written once, on one connection. net/http's Transport isn't used, since it
// silently resends a request when a reused connection turns out to be closed.
//
// Lock order: Pool.mu is not held during calls into other packages.
package workerconn

import (
	"context"
	"sync"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/task"
)

// Pool holds the idle connections to each worker.
type Pool struct {
	network          env.Net
	group            *task.Group
	maxIdle          time.Duration // how long a connection may idle and still be reused
	maxResponseBytes int64         // bound on one response, head and body
	verifyIdentity   bool          // verify the worker's identity on each new connection

	mu         sync.Mutex
	idle       map[string][]*Conn   // by worker, the last used at the end
	conns      map[*Conn]bool       // all open ones
	idleLimits map[string]idleLimit // by worker
}

// NewPool makes a pool. A connection may idle for maxIdle, and a response may have
// maxResponseBytes, head and body together. With verifyIdentity, the pool checks which
// worker is at the other end of each new connection before it is used.
func NewPool(network env.Net, group *task.Group, maxIdle time.Duration, maxResponseBytes int64, verifyIdentity bool) *Pool {
	return &Pool{network: network, group: group, maxIdle: maxIdle, maxResponseBytes: maxResponseBytes, verifyIdentity: verifyIdentity,
		idle: map[string][]*Conn{}, conns: map[*Conn]bool{}, idleLimits: map[string]idleLimit{}}
}

// Acquire returns a connection to a worker: an idle one that was still usable just now, or
// a new one. An error means that nothing of a request has been sent.
func (p *Pool) Acquire(ctx context.Context, worker, addr string) (*Conn, error) {
	for {
		conn, maxIdle := p.popIdle(worker)
		if conn == nil {
			return p.Open(ctx, worker, addr)
		}
		conn.idleDuration = time.Since(conn.releasedAt)
		if conn.usable() && conn.idleDuration < min(conn.maxIdle, maxIdle) {
			return conn, nil
		}
		p.Discard(conn)
	}
}

// popIdle takes the most recently used idle connection, nil if there is none, and returns
// how long a connection to the worker may have idled.
func (p *Pool) popIdle(worker string) (conn *Conn, maxIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maxIdle = p.currentIdleLimit(worker)
	idle := p.idle[worker]
	if n := len(idle); n > 0 {
		conn = idle[n-1]
		p.idle[worker] = idle[:n-1]
	}
	return conn, maxIdle
}

// Release returns a connection to the pool. If its state can't be checked without reading
// from it, a goroutine reads from it while it idles, to notice bytes or a close.
func (p *Pool) Release(conn *Conn) {
	conn.releasedAt = time.Now()
	conn.limitedReader.N = 1
	_ = conn.netConn.SetDeadline(time.Time{})
	if _, known := env.IsQuiet(conn.netConn); !known && !p.group.Go("idle-watch", func(context.Context) { p.watchIdle(conn) }) {
		p.Discard(conn)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[conn.worker] = append(p.idle[conn.worker], conn)
}

// watchIdle reads from an idle connection until usable stops it, and drops the connection
// if the worker sends anything or closes it.
func (p *Pool) watchIdle(conn *Conn) {
	quiet := conn.waitWhileQuiet()
	conn.watchResult <- quiet
	if !quiet {
		p.dropIdle(conn)
	}
}

// dropIdle removes a connection that became unusable while it idled.
func (p *Pool) dropIdle(conn *Conn) {
	p.mu.Lock()
	for i, other := range p.idle[conn.worker] {
		if other == conn {
			p.idle[conn.worker] = append(p.idle[conn.worker][:i:i], p.idle[conn.worker][i+1:]...)
			break
		}
	}
	p.mu.Unlock()
	p.Discard(conn)
}

// Discard closes a connection and removes it from the pool.
func (p *Pool) Discard(conn *Conn) {
	_ = conn.netConn.Close()
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
}

// CloseIdle closes connections that have idled for too long.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for worker, idle := range p.idle {
		var kept []*Conn
		for _, conn := range idle {
			if time.Since(conn.releasedAt) < conn.maxIdle {
				kept = append(kept, conn)
				continue
			}
			// watchIdle, if it runs on this connection, notices the close and ends.
			_ = conn.netConn.Close()
			delete(p.conns, conn)
		}
		if len(kept) == 0 {
			delete(p.idle, worker)
		} else {
			p.idle[worker] = kept
		}
	}
}

// Close closes all connections, including those in use.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.netConn.Close()
	}
}
