package registry

import (
	"context"

	"puffincrank/internal/fault"
	"puffincrank/internal/ormap"
	"puffincrank/internal/transport"
)

// onWorkerLeaving records a node's message that a worker leaves, in the replica and on
// disk. The node acknowledges the leave to its worker on the strength of this answer, so it
// has to survive the loss of all processes. An error of kind fault.Disk means that the
// leave is in force but not on disk.
func (r *Registry) onWorkerLeaving(_ context.Context, _ transport.Hello, delta ormap.Delta) (struct{}, error) {
	r.replica.Accept(delta)
	if !r.saveWorkers() {
		return struct{}{}, fault.New(fault.Disk, "the leave is not on this disk")
	}
	return struct{}{}, nil
}
