package task

import "context"

// Pool is a bounded set of workers of one Group. Idle workers are used again;
// a new one is started only while fewer than the bound are alive.
type Pool struct {
	group *Group
	name  string
	work  chan func(context.Context)
	slots chan struct{}
}

// NewPool makes a pool of at most most workers.
func NewPool(group *Group, name string, maxWorkers int) *Pool {
	return &Pool{group: group, name: name, work: make(chan func(context.Context)), slots: make(chan struct{}, maxWorkers)}
}

// Do hands f to a worker. It returns false at once when all are busy, so that
// the caller can refuse the work for certain.
func (p *Pool) Do(run func(context.Context)) bool {
	// An idle worker is preferred: it costs no start.
	select {
	case p.work <- run:
		return true
	default:
	}
	select {
	case p.slots <- struct{}{}:
	default:
		return false
	}
	ok := p.group.Go(p.name, func(ctx context.Context) {
		defer func() { <-p.slots }()
		run(ctx)
		for {
			select {
			case next := <-p.work:
				next(ctx)
			case <-ctx.Done():
				return
			}
		}
	})
	if !ok {
		<-p.slots
	}
	return ok
}

// Busy tells how many workers are alive.
func (p *Pool) Busy() int { return len(p.slots) }
