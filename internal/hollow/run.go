package hollow

import (
	"testing"
	"testing/synctest"
	"time"
)

// Plan is what a run measures.
type Plan struct {
	Sizes  []int
	Areas  int
	Each   int // sessions that a control node has at the most
	Change time.Duration
	Frame  int // bound on a frame in bytes, 0 for the one by default
	Seed   uint64
	Acts   []string // those that are run; none: all
	Say    func(string)
	Sheet  *Sheet // takes what is measured; nil: nobody does
}

// Of gives the mesh of a size: as many control nodes as its sessions need.
func (p Plan) Of(n int) Size {
	return Size{Nodes: n, Areas: p.Areas, Cores: max(3, (n+p.Each-1)/p.Each), Stores: 3, Workers: 5, Change: p.Change, Frame: p.Frame}
}

// Result is the figures of one size.
type Result struct {
	Size Size
	Rows []Row
	Err  error
	Took time.Duration // processor time
}

// One measures one size inside of virtual time.
func (p Plan) One(t *testing.T, n int) Result {
	r := Result{Size: p.Of(n)}
	from := process()
	synctest.Test(t, func(*testing.T) {
		m, err := New(r.Size)
		if err != nil {
			r.Err = err
			return
		}
		defer m.Stop()
		g := NewGauge(m, p.Seed)
		g.acts = p.Acts
		p.Sheet.begin(r.Size)
		g.Note = p.Sheet.note
		if p.Say != nil {
			g.Say = p.Say
		}
		r.Rows, r.Err = g.Run()
	})
	r.Took = process() - from
	return r
}
