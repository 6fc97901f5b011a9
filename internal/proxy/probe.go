package proxy

import (
	"context"

	"puffincrank/internal/event"
)

// probe asks the worker's port whether it lives, on a connection of its own:
// it must find out whether one stands.
func (x *Proxy) probe(ctx context.Context, g *gate) {
	ctx, end := context.WithTimeout(ctx, x.Settings.WorkerTimeout()/2)
	defer end()
	c, err := x.conns.Open(ctx, g.worker, g.addr)
	if err == nil {
		x.conns.Discard(c)
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
	x.e.Log.Emit(event.WrongWorker, "worker", g.worker, "addr", g.addr)
	x.evictStranger(g)
}

// evictStranger is called when another identity answers at a worker's address.
func (x *Proxy) evictStranger(g *gate) {
	if x.moves(g, "miss", "another answers at its address, or nobody") {
		g.room.Close()
		x.remove(g, "down")
	}
}
