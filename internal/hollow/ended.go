package hollow

import "time"

// ended is one control machine's registry that ends: its sessions move.
func (g *Gauge) ended() error { return g.control("control", len(g.m.regs)-1, func(string, bool) {}) }

// dark is the same where the machine says nothing more, as after a loss of power.
func (g *Gauge) dark() error { return g.control("dark", len(g.m.regs)-2, g.m.road.Dark) }

func (g *Gauge) control(part string, i int, dark func(addr string, on bool)) error {
	m := g.m
	c := m.regs[i]
	var moved, known time.Duration
	most := 0
	m.mu.Lock()
	m.slow = 0
	m.mu.Unlock()
	d, long, err := g.act(func() error {
		from := time.Now()
		n := m.road.At(c.p.Inner)
		dark(c.p.Inner, true)
		c.r.Kill()
		c.r = nil
		m.keep(n)
		// A change right then must be in force in time everywhere.
		if err := m.Configure(g.turn); err != nil {
			return err
		}
		g.turn++
		var err error
		if _, err = until(4*m.regs[0].p.Return, "all sessions moved", func() bool { return m.moved(c.p.Inner) }); err != nil {
			return err
		}
		moved, most = time.Since(from), m.seats()
		if _, err = until(4*m.regs[0].p.Return, "the end is known everywhere", m.whole); err != nil {
			return err
		}
		known = time.Since(from)
		dark(c.p.Inner, false)
		if err = m.startControl(c); err == nil {
			_, err = until(4*m.regs[0].p.Return, "the control node is back", func() bool { return c.r.Ready() && m.whole() })
		}
		return err
	})
	if err != nil {
		return err
	}
	m.mu.Lock()
	slow := m.slow
	m.mu.Unlock()
	g.row(part, "all sessions elsewhere after", "s", moved.Seconds())
	g.row(part, "a change of that moment in force at the last node after", "s", slow.Seconds())
	g.row(part, "its end known everywhere after", "s", known.Seconds())
	g.row(part, "most sessions of one control node then, of the mean", "", float64(most)*float64(m.S.Cores-1)/float64(m.S.Nodes))
	g.row(part, "bytes in and out, each node", "B", g.over(d, long, "proxy", m.S.Nodes))
	g.row(part, "bytes in and out, each control node", "B", g.over(d, long, "registry", m.S.Cores))
	return nil
}

// moved tells that every node has a session that stands, with another control
// node than the one at an address.
func (m *Mesh) moved(off string) bool {
	for _, h := range m.nodes {
		at, sure := h.touch.At()
		if at == off || at == "" || time.Since(sure) > h.p.Fresh() {
			return false
		}
	}
	return true
}

// seats gives the most sessions that one control node has.
func (m *Mesh) seats() int {
	by := map[string]int{}
	most := 0
	for _, h := range m.nodes {
		at, _ := h.touch.At()
		by[at]++
		most = max(most, by[at])
	}
	return most
}
