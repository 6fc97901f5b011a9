package hollow

import (
	"context"
	"runtime"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/hlc"
	"puffincrank/internal/member"
	"puffincrank/internal/replica"
	"puffincrank/internal/sim"
	"puffincrank/internal/task"
	"puffincrank/internal/wire"
)

// alone gives the bytes that one node holds of the mesh when it shares nothing
// with others of its process: a replica filled as a refill does it, and the
// list of members with its overlay.
func (g *Gauge) alone() uint64 {
	h := g.m.nodes[0]
	e := env.Env{Net: sim.NewNet(1, 0, 0).Host("alone"), Wall: time.Now, Pause: task.Pause, Log: event.New("alone", nil)}
	group := task.New(context.Background())
	defer group.Stop()
	n := wire.NewNode(wire.Hello{Mesh: h.p.Mesh, Node: "alone"}, e, group, h.p.Frame, h.p.Jobs, h.p.Patience())
	short, pack := h.rep.Map().All().Pack(), member.Diff{Come: h.book.List()}.Pack()
	from := held()
	rep := replica.New(h.self, n, group, e.Log, hlc.New(time.Now, h.p.Return), h.p.Beat(), h.p.Repair(), h.p.Bury())
	d, err := short.Open()
	list, err2 := member.OpenDiff(pack)
	if err != nil || err2 != nil {
		return 0
	}
	rep.Fill(d)
	book := member.NewBook(list.Come)
	book.Links(h.name)
	d, list = short, member.Diff{}
	to := held()
	runtime.KeepAlive(rep)
	runtime.KeepAlive(book)
	return max(to, from) - from
}

// held gives the bytes in use after a collection.
func held() uint64 {
	var s runtime.MemStats
	// What waits in pools goes with the second.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
