package registry

import (
	"context"

	"puffincrank/internal/fault"
	"puffincrank/internal/ormap"
	"puffincrank/internal/transport"
)

// onWorkerLeaving notes what a node says of a worker that leaves, on the disk as
// well: the node acknowledges the leave by this, and it has to hold when all
// processes are gone. An error of the kind fault.Disk means that it is not on the
// disk; it is in force all the same.
func (r *Registry) onWorkerLeaving(_ context.Context, _ transport.Hello, delta ormap.Delta) (struct{}, error) {
	r.replica.Accept(delta)
	if !r.saveWorkers() {
		return struct{}{}, fault.New(fault.Disk, "the leave is not on this disk")
	}
	return struct{}{}, nil
}
