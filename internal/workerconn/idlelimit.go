package workerconn

import (
	"errors"
	"net"
	"time"

	"puffincrank/internal/fault"
)

// ErrConnectionForgotten says that the worker had forgotten the kept connection. Whether it saw
// anything of the request isn't known.
var ErrConnectionForgotten = fault.New(fault.Unknown, "the worker had forgotten the connection")

// How a limit on idle times is learned and given up, as parts and multiples of the
// longest idle time.
const (
	staleDivisor        = 16 // shorter rests, or later breaks, say nothing of forgetting
	initialLimitDivisor = 8  // a learned limit is no longer than this part
	doublingMultiple    = 4  // a learned limit doubles after so many
	maxDoublings        = 16
	unlimitedMultiple   = 64
)

// idleLimit is what was learned of a worker that forgets idle connections early.
type idleLimit struct {
	max       time.Duration // how long one may have idled
	learnedAt time.Time     // when that was learned
}

// currentIdleLimit bounds how long a worker's connection may have idled and be used again.
// What was learned doubles with time, until it no longer bounds anything: the worker
// may have stopped forgetting. p.mu is held.
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

// classifyError gives the error of a round trip that began at a time.
func (p *Pool) classifyError(conn *Conn, err error, start time.Time) error {
	if p.checkStale(conn, err, time.Since(start)) {
		return ErrConnectionForgotten
	}
	return err
}

// checkStale takes in that a round trip on a kept connection failed, and tells whether
// the worker had forgotten it: at once, before a byte of an answer, after a rest.
// Others that rest as long aren't used from then on. What rested for a short time only
// was ended for another reason.
func (p *Pool) checkStale(conn *Conn, err error, elapsed time.Duration) bool {
	if netErr, isNetErr := err.(net.Error); isNetErr && netErr.Timeout() || errors.Is(err, net.ErrClosed) {
		// At its time, or ended from here.
		return false
	}
	if minIdle := p.maxIdle / staleDivisor; conn.idleDuration < minIdle || elapsed > minIdle || conn.limitedReader.N != p.maxResponseBytes {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// Where between none and this the limit is isn't known, and a request is lost at
	// each step that finds out; a new connection costs far less than one.
	maxIdle := min(conn.idleDuration/2, p.maxIdle/initialLimitDivisor)
	if p.currentIdleLimit(conn.worker) > maxIdle {
		p.idleLimits[conn.worker] = idleLimit{maxIdle, time.Now()}
	}
	return true
}
