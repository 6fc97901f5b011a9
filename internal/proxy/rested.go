package proxy

import (
	"errors"
	"net"
	"time"

	"puffincrank/internal/fault"
)

// errForgot says that the worker had forgotten the kept connection. Whether it
// saw anything of the job isn't known.
var errForgot = fault.New(fault.Unknown, "the worker had forgotten the connection")

// wary is what was learned of a worker that forgets idle connections early.
type wary struct {
	most time.Duration // how long one may have idled
	at   time.Time     // when that was learned
}

// idles bounds how long a worker's connection may have idled and be used again.
// What was learned doubles with time, until it no longer bounds anything: the
// worker may have stopped forgetting. y.mu is held.
func (y *way) idles(worker string) time.Duration {
	w, ok := y.wary[worker]
	if !ok {
		return y.rest * 64
	}
	most := w.most << min(int(time.Since(w.at)/(4*y.rest)), 16)
	if most >= 2*y.rest {
		delete(y.wary, worker)
	}
	return most
}

// failed gives the error of a send that began at a time.
func (y *way) failed(k *line, err error, from time.Time) error {
	if y.forgot(k, err, time.Since(from)) {
		return errForgot
	}
	return err
}

// forgot takes in that a send on a kept connection failed, and tells whether the
// worker had forgotten it: at once, before a byte of an answer, after a rest.
// Others that rest as long aren't used from then on. What rested for a short
// time only was ended for another reason.
func (y *way) forgot(k *line, err error, took time.Duration) bool {
	if late, is := err.(net.Error); is && late.Timeout() || errors.Is(err, net.ErrClosed) {
		// At its time, or ended from here.
		return false
	}
	if k.rested < y.rest/16 || took > y.rest/16 || k.lim.N != y.most {
		return false
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	// Where between none and this the bound is isn't known, and a job is lost at
	// each step that finds out; a new connection costs far less than one.
	most := min(k.rested/2, y.rest/8)
	if y.idles(k.worker) > most {
		y.wary[k.worker] = wary{most, time.Now()}
	}
	return true
}
