package proxy

import (
	"context"

	"puffincrank/internal/event"
)

// probe checks whether the worker's port accepts connections. It opens a new connection, since
// the check is whether one can be established.
func (x *Proxy) probe(ctx context.Context, local *localWorker) {
	ctx, cancel := context.WithTimeout(ctx, x.Settings.WorkerTimeout()/2)
	defer cancel()
	conn, err := x.workerConns.Open(ctx, local.id, local.addr)
	if err == nil {
		x.workerConns.Discard(conn)
	}
	local.mu.Lock()
	if err == nil {
		local.failedProbes = 0
	} else {
		local.failedProbes++
	}
	failing := local.failedProbes >= 2
	local.mu.Unlock()
	if failing {
		x.markDown(local)
	}
}

// onWrongWorker handles another worker ID at a worker's address: the worker counts as dead
// until its own next heartbeat.
func (x *Proxy) onWrongWorker(local *localWorker) {
	x.env.Log.Emit(event.WrongWorker, "worker", local.id, "addr", local.addr)
	x.markDown(local)
}

// markDown takes a worker out of service whose address is not answered, or is answered by
// another worker.
func (x *Proxy) markDown(worker *localWorker) {
	if x.transition(worker, "miss", "another answers at its address, or nobody") {
		worker.admission.Close()
		x.unregister(worker, "down")
	}
}
