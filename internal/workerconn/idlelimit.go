package workerconn

import (
	"errors"
	"net"
	"time"

	"puffincrank/internal/fault"
)

// ErrStaleConnection says that the worker had forgotten the kept connection. Whether it saw
// anything of the request isn't known.
var ErrStaleConnection = fault.New(fault.Unknown, "the worker had forgotten the connection")

// How a limit on idle times is learned and given up, as parts and multiples of the
// longest idle time.
const (
	forgottenPart = 16 // shorter rests, or later breaks, say nothing of forgetting
	limitPart     = 8  // a learned limit is no longer than this part
	doublingTimes = 4  // a learned limit doubles after so many
	doublingsMost = 16
	unlimited     = 64
)

// idleLimit is what was learned of a worker that forgets idle connections early.
type idleLimit struct {
	most time.Duration // how long one may have idled
	at   time.Time     // when that was learned
}

// idleLimit bounds how long a worker's connection may have idled and be used again.
// What was learned doubles with time, until it no longer bounds anything: the worker
// may have stopped forgetting. p.mu is held.
func (p *Pool) idleLimit(worker string) time.Duration {
	limit, ok := p.limits[worker]
	if !ok {
		return p.idleMost * unlimited
	}
	most := limit.most << min(int(time.Since(limit.at)/(doublingTimes*p.idleMost)), doublingsMost)
	if most >= 2*p.idleMost {
		delete(p.limits, worker)
	}
	return most
}

// failed gives the error of a round trip that began at a time.
func (p *Pool) failed(c *Conn, err error, from time.Time) error {
	if p.forgotten(c, err, time.Since(from)) {
		return ErrStaleConnection
	}
	return err
}

// forgotten takes in that a round trip on a kept connection failed, and tells whether
// the worker had forgotten it: at once, before a byte of an answer, after a rest.
// Others that rest as long aren't used from then on. What rested for a short time only
// was ended for another reason.
func (p *Pool) forgotten(c *Conn, err error, took time.Duration) bool {
	if late, is := err.(net.Error); is && late.Timeout() || errors.Is(err, net.ErrClosed) {
		// At its time, or ended from here.
		return false
	}
	if least := p.idleMost / forgottenPart; c.idled < least || took > least || c.limited.N != p.answerBytes {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// Where between none and this the limit is isn't known, and a request is lost at
	// each step that finds out; a new connection costs far less than one.
	most := min(c.idled/2, p.idleMost/limitPart)
	if p.idleLimit(c.worker) > most {
		p.limits[c.worker] = idleLimit{most, time.Now()}
	}
	return true
}
