package proxy

import (
	"context"

	"puffincrank/internal/event"
)

// probe asks the worker's port whether it lives, on a connection of its own:
// it must find out whether one stands.
func (x *Proxy) probe(ctx context.Context, local *localWorker) {
	ctx, end := context.WithTimeout(ctx, x.Settings.WorkerTimeout()/2)
	defer end()
	c, err := x.workerConns.Open(ctx, local.id, local.addr)
	if err == nil {
		x.workerConns.Discard(c)
	}
	local.mu.Lock()
	if err == nil {
		local.failedProbes = 0
	} else {
		local.failedProbes++
	}
	dead := local.failedProbes >= 2
	local.mu.Unlock()
	if dead {
		x.markDown(local)
	}
}

// onWrongWorker is called when another identity was met at a worker's address: as
// good as dead for ours, until its own beat says otherwise.
func (x *Proxy) onWrongWorker(local *localWorker) {
	x.env.Log.Emit(event.WrongWorker, "worker", local.id, "addr", local.addr)
	x.markDown(local)
}

// markDown is called when another identity answers at a worker's address.
func (x *Proxy) markDown(worker *localWorker) {
	if x.transition(worker, "miss", "another answers at its address, or nobody") {
		worker.admission.Close()
		x.unregister(worker, "down")
	}
}
