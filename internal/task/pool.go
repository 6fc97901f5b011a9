package task

import "context"

// Pool is a bounded set of workers of one Group. Idle workers are used again;
// a new one is started only while fewer than the bound are alive.
type Pool struct {
	g    *Group
	name string
	work chan func(context.Context)
	seat chan struct{}
}

// NewPool makes a pool of at most most workers.
func NewPool(g *Group, name string, most int) *Pool {
	return &Pool{g: g, name: name, work: make(chan func(context.Context)), seat: make(chan struct{}, most)}
}

// Do hands f to a worker. It returns false at once when all are busy, so that
// the caller can refuse the work for certain.
func (p *Pool) Do(f func(context.Context)) bool {
	// An idle worker is preferred: it costs no start.
	select {
	case p.work <- f:
		return true
	default:
	}
	select {
	case p.seat <- struct{}{}:
	default:
		return false
	}
	ok := p.g.Go(p.name, func(ctx context.Context) {
		defer func() { <-p.seat }()
		f(ctx)
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
		<-p.seat
	}
	return ok
}

// Busy tells how many workers are alive.
func (p *Pool) Busy() int { return len(p.seat) }
