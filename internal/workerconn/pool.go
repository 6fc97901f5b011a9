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
	network          env.Net
	group            *task.Group
	maxIdle          time.Duration // how long a connection may idle and be used again
	maxResponseBytes int64         // bound on one answer, head and body
	verifyIdentity   bool          // asks who is there, on each new connection

	mu         sync.Mutex
	idle       map[string][]*Conn // by worker
	conns      map[*Conn]bool
	idleLimits map[string]idleLimit // by worker
}

// NewPool makes a pool. A connection may idle for idleMost, and an answer have
// answerBytes, head and body. With identifies each new connection is asked for the
// worker's name first.
func NewPool(network env.Net, group *task.Group, maxIdle time.Duration, maxResponseBytes int64, verifyIdentity bool) *Pool {
	return &Pool{network: network, group: group, maxIdle: maxIdle, maxResponseBytes: maxResponseBytes, verifyIdentity: verifyIdentity,
		idle: map[string][]*Conn{}, conns: map[*Conn]bool{}, idleLimits: map[string]idleLimit{}}
}

// Acquire gives a connection to a worker: a kept one that was good a moment ago, or a
// new one. An error means that no request can have been sent.
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

// popIdle takes the idle connection that was used last, nil if there is none, and tells
// for how long one of its worker may have idled.
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

// Release puts a connection by. Where it can't be looked at before its next request, a
// watch reads on it meanwhile.
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

// watchIdle reads on an idle connection until it is told to end, and drops it if anything
// came, or its end.
func (p *Pool) watchIdle(conn *Conn) {
	quiet := conn.waitWhileQuiet()
	conn.watchResult <- quiet
	if !quiet {
		p.dropIdle(conn)
	}
}

// dropIdle drops a connection that died while it idled.
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

// Discard ends a connection for good.
func (p *Pool) Discard(conn *Conn) {
	_ = conn.netConn.Close()
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
}

// CloseIdle ends connections that idled for too long.
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
			// Its watch, if any, sees the end and drops it.
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

// Close ends all connections, those in use as well.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.netConn.Close()
	}
}
