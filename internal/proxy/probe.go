package proxy

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/seal"
)

// errStranger says that somebody else than the worker stands at its address.
var errStranger = fault.New(fault.Refused, "another stands at the address")

// asks finds out who is at the other end of a connection. The connection
// stays open only if the worker keeps it.
func (k *line) asks(end time.Time) (named string, kept bool, err error) {
	_ = k.c.SetDeadline(end)
	k.lim.N = 64 << 10
	r, err := http.NewRequest(http.MethodGet, "http://"+k.addr+"/puffin/fitness", nil)
	if err != nil {
		return "", false, err
	}
	r.Header.Set(seal.Worker, k.worker)
	if err := r.Write(k.w); err != nil {
		return "", false, err
	}
	if err := k.w.Flush(); err != nil {
		return "", false, err
	}
	w, err := http.ReadResponse(k.r, r)
	if err != nil {
		return "", false, err
	}
	_, err = io.Copy(io.Discard, w.Body)
	_ = w.Body.Close()
	if err != nil || w.StatusCode >= 500 {
		return "", false, fault.New(fault.Refused, "the worker says that it isn't well")
	}
	return w.Header.Get(seal.Worker), !w.Close && w.ProtoAtLeast(1, 1) && k.r.Buffered() == 0, nil
}

// open makes a new connection to a worker. A connection belongs to one
// process: whoever took it is asked for its name before any job goes over it.
func (y *way) open(ctx context.Context, worker, addr string) (*line, error) {
	for kept := true; ; {
		// A machine that is dark says nothing: that no connection came about
		// within a part of the bound is word enough, and nothing was sent.
		short, stop := context.WithTimeout(ctx, y.rest/4)
		c, err := y.net.Dial(short, addr)
		stop()
		if err != nil {
			return nil, err
		}
		k := &line{c: c, worker: worker, addr: addr, rest: y.rest, w: bufio.NewWriter(c), woke: make(chan bool, 1)}
		k.lim.R = c
		k.r = bufio.NewReader(&k.lim)
		y.mu.Lock()
		y.all[k] = true
		y.mu.Unlock()
		// The one exception: a worker that keeps no connection was asked just
		// now on one of its own; its job goes out on the next.
		// Nor is anybody asked where each job names whom it is meant for and a
		// stranger leaves it unrun.
		if !kept || !y.asks {
			return k, nil
		}
		end, ok := ctx.Deadline()
		if !ok {
			end = time.Now().Add(y.rest)
		}
		var named string
		named, kept, err = k.asks(end)
		if err == nil && named != worker {
			err = errStranger
		}
		if err != nil {
			y.drop(k)
			return nil, err
		}
		if kept {
			return k, nil
		}
		y.drop(k)
	}
}

// probe asks the worker's port whether it lives, on a connection of its own:
// it must find out whether one stands.
func (x *Proxy) probe(ctx context.Context, g *gate) {
	ctx, end := context.WithTimeout(ctx, x.P.Missed()/2)
	defer end()
	k, err := x.way.open(ctx, g.worker, g.addr)
	if err == nil {
		x.way.drop(k)
	}
	g.mu.Lock()
	if err == nil {
		g.bad = 0
	} else {
		g.bad++
	}
	dead := g.bad >= 2
	g.mu.Unlock()
	if dead {
		x.evictStranger(g)
	}
}

// stranger is called when another identity was met at a worker's address: as
// good as dead for ours, until its own beat says otherwise.
func (x *Proxy) stranger(g *gate) {
	x.e.Log.Emit(event.Stranger, "worker", g.worker, "addr", g.addr)
	x.evictStranger(g)
}

// evictStranger is called when another identity answers at a worker's address.
func (x *Proxy) evictStranger(g *gate) {
	if x.moves(g, "miss", "another answers at its address, or nobody") {
		g.room.Close()
		x.remove(g, "down")
	}
}
