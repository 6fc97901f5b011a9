package workerconn

import (
	"errors"
	"net"
	"time"

	"puffincrank/internal/fault"
)

// ErrStaleConnection means that a reused connection was stale: the worker had already
// dropped it while it idled. Whether the worker received any of the request is unknown.
var ErrStaleConnection = fault.New(fault.Unknown, "the worker had forgotten the connection")

// How a per-worker limit on idle times is learned and relaxed, as divisors and multiples
// of Pool.maxIdle.
const (
	staleDivisor        = 16 // a failure after a shorter idle time, or one that took longer, doesn't mean a stale connection
	initialLimitDivisor = 8  // a learned limit starts at maxIdle divided by this at most
	doublingMultiple    = 4  // a learned limit doubles each time this multiple of maxIdle has passed
	maxDoublings        = 16 // keeps the shift in range
	unlimitedMultiple   = 64 // limit of a worker for which none was learned
)

// idleLimit is the limit learned for a worker that drops idle connections early.
type idleLimit struct {
	max       time.Duration // how long a connection may have idled
	learnedAt time.Time     // when the limit was learned
}

// currentIdleLimit returns how long a connection to the worker may have idled and still be
// reused. A learned limit doubles over time until it no longer restricts anything, since
// the worker may have stopped dropping idle connections. The caller holds p.mu.
func (p *Pool) currentIdleLimit(worker string) time.Duration {
	limit, ok := p.idleLimits[worker]
	if !ok {
		return p.maxIdle * unlimitedMultiple
	}
	maxIdle := limit.max << min(int(time.Since(limit.learnedAt)/(doublingMultiple*p.maxIdle)), maxDoublings)
	if maxIdle >= 2*p.maxIdle {
		delete(p.idleLimits, worker)
	}
	return maxIdle
}

// classifyError returns ErrConnectionForgotten in place of err if the connection was stale.
func (p *Pool) classifyError(conn *Conn, err error, start time.Time) error {
	if p.checkStale(conn, err, time.Since(start)) {
		return ErrStaleConnection
	}
	return err
}

// checkStale reports whether a round trip failed because the worker had dropped the idle
// connection: it failed quickly, after some idle time and before any byte of a response.
// It then lowers the worker's idle limit, so that other connections that have idled as
// long aren't reused. A failure after a short idle time has another cause.
func (p *Pool) checkStale(conn *Conn, err error, elapsed time.Duration) bool {
	if netErr, isNetErr := err.(net.Error); isNetErr && netErr.Timeout() || errors.Is(err, net.ErrClosed) {
		// The deadline passed, or this side closed the connection.
		return false
	}
	if minIdle := p.maxIdle / staleDivisor; conn.idleDuration < minIdle || elapsed > minIdle || conn.limitedReader.N != p.maxResponseBytes {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// The worker's real limit is unknown but below this idle time. Each attempt to find
	// it would lose a request, which costs far more than a new connection, so the
	// learned limit is half of the idle time or less.
	maxIdle := min(conn.idleDuration/2, p.maxIdle/initialLimitDivisor)
	if p.currentIdleLimit(conn.worker) > maxIdle {
		p.idleLimits[conn.worker] = idleLimit{maxIdle, time.Now()}
	}
	return true
}
