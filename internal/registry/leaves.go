package registry

import (
	"context"

	"puffincrank/internal/ormap"
	"puffincrank/internal/wire"
)

// onWorkerLeaves notes what a node says of a worker that leaves, on the disk as
// well: the node acknowledges the leave by this, and it has to hold when all
// processes are gone.
func (r *Registry) onWorkerLeaves(ctx context.Context, _ wire.Hello, word ormap.Delta) (struct{}, error) {
	r.rep.Accept(word)
	r.saveWorkers(ctx)
	return struct{}{}, nil
}
