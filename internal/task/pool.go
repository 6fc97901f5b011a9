package task

import "context"

// Pool is a bounded set of worker goroutines of one Group. Idle workers are reused; a new
// one is started only while fewer than the maximum are alive.
type Pool struct {
	group *Group
	name  string
	work  chan func(context.Context)
	slots chan struct{} // holds one element for each live worker
}

// NewPool makes a pool of at most maxWorkers goroutines, which run under name.
func NewPool(group *Group, name string, maxWorkers int) *Pool {
	return &Pool{group: group, name: name, work: make(chan func(context.Context)), slots: make(chan struct{}, maxWorkers)}
}

// Do has a worker call run. If all workers are busy, it immediately returns false and run
// will not be called, so the caller can reject the work.
func (p *Pool) Do(run func(context.Context)) bool {
	// An idle worker is preferred, since it saves starting a goroutine.
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

// Size returns the number of live workers, including idle ones.
func (p *Pool) Size() int { return len(p.slots) }
