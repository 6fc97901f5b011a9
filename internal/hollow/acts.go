package hollow

import (
	"time"
)

// restarts is some nodes that end and start again, one after the other.
func (g *Gauge) restarts() error {
	const times = 4
	m := g.m
	m.mu.Lock()
	m.last = 0
	m.mu.Unlock()
	m.deep()
	d, long, err := g.act(func() error {
		for range times {
			h := m.nodes[g.rnd.IntN(len(m.nodes))]
			h.kill()
			wait(300 * time.Millisecond)
			if err := h.start(); err != nil {
				return err
			}
			if _, err := until(m.regs[0].p.Return, "a restarted node is known", m.whole); err != nil {
				return err
			}
			wait(m.S.Change)
		}
		return nil
	})
	if err != nil {
		return err
	}
	// The restarted node's own refill is not what the others pay.
	fill, side := float64(d.refills().Bytes)/times, float64(d.Sum("proxy", "replica.fill").Bytes)/times
	all := g.over(d, long, "proxy", 1) / times
	g.row("restart", "bytes of the refill", "B", fill)
	g.row("restart", "bytes in and out, each node", "B", (all-fill-side)/float64(m.S.Nodes))
	g.row("restart", "bytes in and out, each control node", "B", (g.over(d, long, "registry", 1)/times-fill+side)/float64(m.S.Cores))
	beats := float64(d.Sum("proxy", "session.beat", "session.members").Bytes+d.Sum("registry", "session.beat", "session.members").Bytes) -
		float64(g.calm.Sum("proxy", "session.beat").Bytes+g.calm.Sum("registry", "session.beat").Bytes)*long.Seconds()
	g.row("restart", "bytes of beats and lists, each node", "B", beats/times/float64(m.S.Nodes))
	g.row("restart", "gossip messages, each node", "", float64(d.Sum("proxy", "gossip").Frames-int64(float64(g.calm.Sum("proxy", "gossip").Frames)*long.Seconds()))/times/float64(m.S.Nodes))
	g.row("restart", "known at the last node after", "s", m.last.Seconds())
	g.row("restart", "hops to the furthest node", "", float64(m.deep()))
	g.clock("restart", "processor time, all roles, for each node", "ms", (d.CPU.Seconds()-g.calmCPU*long.Seconds())*1e3/times/float64(m.S.Nodes))
	return nil
}

// deep gives the most hops of news since it was last asked.
func (m *Mesh) deep() int {
	most := 0
	for _, h := range m.nodes {
		most = max(most, h.rep.Tree().Deep())
	}
	return most
}

// changes is documents that differ in one path.
func (g *Gauge) changes() error {
	const times = 3
	m := g.m
	m.mu.Lock()
	m.slow = 0
	m.mu.Unlock()
	d, long, err := g.act(func() error {
		for range times {
			if err := m.Configure(g.turn); err != nil {
				return err
			}
			g.turn++
			wait(m.S.Change / 2)
		}
		return nil
	})
	if err != nil {
		return err
	}
	g.row("change", "bytes of the document", "B", float64(len(m.Document(1))))
	g.row("change", "bytes in and out, each node", "B", g.over(d, long, "proxy", m.S.Nodes)/times)
	g.row("change", "bytes in and out, each control node", "B", g.over(d, long, "registry", m.S.Cores)/times)
	g.row("change", "bytes in and out, each store", "B", g.over(d, long, "store", m.S.Stores)/times)
	g.row("change", "in force at the last node after", "s", m.slow.Seconds())
	return nil
}

// zone is all nodes of one area gone at once, and back after the retirement.
func (g *Gauge) zone() error {
	m := g.m
	area := m.areaOf(m.S.Areas - 1)
	var lost []*node
	for _, h := range m.nodes {
		if h.area == area {
			lost = append(lost, h)
		}
	}
	var gone, back time.Duration
	d, long, err := g.act(func() error {
		for _, h := range lost {
			h.kill()
		}
		var err error
		if gone, err = until(4*m.regs[0].p.Retire, "the lost area is retired everywhere", m.whole); err != nil {
			return err
		}
		for _, h := range lost {
			if err := h.start(); err != nil {
				return err
			}
		}
		back, err = until(4*m.regs[0].p.Return, "the area is back", m.whole)
		return err
	})
	if err != nil {
		return err
	}
	g.row("zone", "retired everywhere after", "s", gone.Seconds())
	g.row("zone", "known everywhere again after", "s", back.Seconds())
	fill, side := float64(d.refills().Bytes), float64(d.Sum("proxy", "replica.fill").Bytes)
	g.row("zone", "bytes in and out, each node", "B", (g.over(d, long, "proxy", 1)-fill-side)/float64(m.S.Nodes))
	g.row("zone", "the same, for each node lost and back", "B", (g.over(d, long, "proxy", 1)-fill-side)/float64(m.S.Nodes)/float64(len(lost)))
	g.row("zone", "bytes in and out, each control node, for each node lost and back", "B", (g.over(d, long, "registry", 1)-fill+side)/float64(m.S.Cores)/float64(len(lost)))
	return nil
}

// region is one region cut off from all others for a while.
func (g *Gauge) region() error {
	m := g.m
	const long = 40 * time.Second
	var back time.Duration
	// The last region has no store in meshes of more than three areas.
	off := region(m.areaOf(min(m.S.Areas, 8) - 1))
	m.road.Cut(func(a, b string) bool { return (region(a) == off) != (region(b) == off) })
	wait(long)
	// Counted from the end of the cut, during which less is said than in calm.
	d, took, err := g.act(func() error {
		m.road.Cut(nil)
		var err error
		back, err = until(6*m.regs[0].p.Return, "the region is back", m.whole)
		wait(m.S.Change)
		return err
	})
	if err != nil {
		return err
	}
	g.row("region", "known everywhere again after", "s", back.Seconds())
	g.row("region", "bytes in and out after it, each node", "B", g.over(d, took, "proxy", m.S.Nodes))
	g.row("region", "bytes in and out after it, each control node", "B", g.over(d, took, "registry", m.S.Cores))
	return nil
}
