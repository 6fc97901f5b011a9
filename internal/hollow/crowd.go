package hollow

import (
	"time"

	"puffincrank/internal/wire"
)

// crowd is every fourth node that ends and starts again at the same time as the
// others, while the rest of the mesh stands: each needs the whole map.
func (g *Gauge) crowd() error {
	m := g.m
	var back []*node
	for i := 0; i < len(m.nodes); i += 4 {
		back = append(back, m.nodes[i])
	}
	var known, full time.Duration
	was := m.out()
	d, long, err := g.act(func() error {
		for _, h := range back {
			h.kill()
		}
		wait(m.S.Change / 20)
		for _, h := range back {
			if err := h.start(); err != nil {
				return err
			}
		}
		var err error
		if full, err = until(8*m.regs[0].p.Return, "all that came back are filled", func() bool {
			for _, h := range back {
				if !h.filled.Load() {
					return false
				}
			}
			return true
		}); err != nil {
			return err
		}
		known, err = until(8*m.regs[0].p.Return, "all know all again", m.whole)
		known += full
		return err
	})
	if err != nil {
		return err
	}
	n := float64(len(back))
	fill := d.refills().Bytes
	g.row("crowd", "all filled after", "s", full.Seconds())
	g.row("crowd", "known everywhere again after", "s", known.Seconds())
	g.row("crowd", "bytes of all refills, for each that came back", "B", float64(fill)/n)
	g.row("crowd", "part of them from control nodes", "", float64(d.Sum("registry", "replica.fill", "replica.all").Bytes)/float64(max(fill, 1)))
	g.row("crowd", "bytes in and out, each node", "B", g.over(d, long, "proxy", m.S.Nodes))
	g.row("crowd", "bytes out, each control node", "B", float64(d.Sum("registry").Bytes)/float64(m.S.Cores))
	now := m.out()
	for _, role := range []string{"registry", "proxy"} {
		most := int64(0)
		for x, v := range now {
			if x.Self.Role == role {
				most = max(most, v-was[x])
			}
		}
		g.row("crowd", "most bytes of refills out of one "+role, "B", float64(most))
	}
	g.clock("crowd", "processor time, all roles, for each that came back", "ms", (d.CPU.Seconds()-g.calmCPU*long.Seconds())*1e3/n)
	return nil
}

// out gives the bytes of refills that each process sent.
func (m *Mesh) out() map[*wire.Node]int64 {
	all := map[*wire.Node]int64{}
	for _, n := range m.road.Nodes() {
		for k, s := range n.Sizes() {
			if k.Kind == "replica.fill" || k.Kind == "replica.all" {
				all[n] += s.Bytes
			}
		}
	}
	return all
}
