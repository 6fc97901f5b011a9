package hollow

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"puffincrank/internal/ledger"
	"puffincrank/internal/ormap"
	"puffincrank/internal/registry"
	"puffincrank/internal/store"
	"puffincrank/internal/task"
	"puffincrank/internal/wire"
)

var errLate = errors.New("not in time")

// until waits for a state of the mesh, in virtual time, and tells how long.
func until(bound time.Duration, what string, ok func() bool) (time.Duration, error) {
	from := time.Now()
	for !ok() {
		if time.Since(from) > bound {
			return bound, fmt.Errorf("%w: %s within %v", errLate, what, bound)
		}
		wait(25 * time.Millisecond)
	}
	return time.Since(from), nil
}

func wait(d time.Duration) { task.Pause(context.Background(), d) }

// Start brings the control machines up, puts a first document in force and
// starts all nodes at once, as after a loss of power.
func (m *Mesh) Start() error {
	for _, h := range m.store {
		e := m.env("store-" + h.host)
		e.FS = h.disk
		s, err := store.New(h.p, e)
		if err == nil {
			err = s.Start()
		}
		if err != nil {
			return err
		}
		h.s = s
	}
	for _, c := range m.regs {
		if err := m.startControl(c); err != nil {
			return err
		}
	}
	if _, err := until(4*m.regs[0].p.Return, "the control nodes are ready", func() bool {
		for _, c := range m.regs {
			if !c.r.Ready() {
				return false
			}
		}
		return true
	}); err != nil {
		return err
	}
	if err := m.Configure(0); err != nil {
		return err
	}
	for _, h := range m.nodes {
		if err := h.start(); err != nil {
			return err
		}
	}
	_, err := until(8*m.regs[0].p.Return, "all nodes know all", m.whole)
	return err
}

func (m *Mesh) startControl(c *control) error {
	c.r = registry.New(c.p, m.env(c.host))
	return c.r.Start()
}

// Stop ends all.
func (m *Mesh) Stop() {
	for _, h := range m.nodes {
		if h.up() {
			h.kill()
		}
	}
	for _, c := range m.regs {
		if c.r != nil {
			c.r.Kill()
		}
	}
	for _, h := range m.store {
		if h.s != nil {
			h.s.Kill()
		}
	}
}

func (m *Mesh) count() int {
	n := 0
	for _, h := range m.nodes {
		if h.up() {
			n++
		}
	}
	return n
}

// whole tells that every node knows every other, by list and by registry.
func (m *Mesh) whole() bool {
	all := m.count()
	members := all
	for _, c := range m.regs {
		if c.r != nil {
			members++
		}
	}
	for _, h := range m.nodes {
		if !h.up() {
			continue
		}
		m.mu.Lock()
		known := h.known
		m.mu.Unlock()
		live, _ := h.rep.Map().Size()
		if live != all || known != members {
			return false
		}
	}
	return true
}

// enters registers a node's worker, as its first beat would.
func (m *Mesh) enters(h *node) ormap.Dot {
	e := h.rep.Register(h.service, h.name+"-w", map[string]string{"slots": "8", "state": "up", "addr": h.p.Traffic})
	m.mu.Lock()
	m.made[e.Dot] = time.Now()
	m.mu.Unlock()
	return e.Dot
}

// saw notes that one more node heard of a registration; what was made before
// that node was there came with its refill.
func (m *Mesh) saw(d ormap.Dot, born time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at, ok := m.made[d]; ok && at.After(born) {
		m.seen[d]++
		m.last = max(m.last, time.Since(at))
	}
}

// took notes that one more node has a configuration.
func (m *Mesh) took(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.taken[version]++
	if at, ok := m.offer[version]; ok {
		m.slow = max(m.slow, time.Since(at))
	}
}

// Document is a configuration of as many services as the mesh has; the turn
// changes one of its paths.
func (m *Mesh) Document(turn int) []byte {
	var services, paths []string
	n := (m.S.Nodes + m.S.Workers - 1) / m.S.Workers
	for i := range n {
		services = append(services, fmt.Sprintf(`{"name":%q}`, service(i)))
		left := 1000
		if turn > 0 && i == turn*7919%n {
			left += turn
		}
		paths = append(paths, fmt.Sprintf(`{"name":"path-%04d","prefix":"/api/%s","service":%q,"class":"c","left_ms":%d}`, i, service(i), service(i), left))
	}
	return []byte(`{"services":[` + strings.Join(services, ",\n") + `],"classes":[{"name":"c","share":100}],"paths":[` + strings.Join(paths, ",\n") + `]}`)
}

// Configure commits the next document and waits until every node holds it.
func (m *Mesh) Configure(base uint64) error {
	p, err := ledger.Pack("config.set", &ledger.SetConfig{Base: base, Doc: m.Document(int(base)), Who: "hollow"})
	if err != nil {
		return err
	}
	ask := wire.NewNode(wire.Hello{Mesh: m.regs[0].p.Mesh, Node: "operator", Area: m.areaOf(0), Role: "registry"}, m.env("operator"), task.New(context.Background()), 256<<20, 16, time.Second)
	done := false
	_, err = until(m.regs[0].p.Return, "a document is committed", func() bool {
		for _, h := range m.store {
			ctx, end := context.WithTimeout(context.Background(), m.S.Change)
			got, err := wire.Ask[store.Given](ctx, ask, h.p.Inner, "store.offer", store.Offer{Cmd: p})
			end()
			if err == nil && got.Done && got.Receipt.Version == base+1 {
				done = true
				break
			}
		}
		return done
	})
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.offer[base+1] = time.Now()
	m.mu.Unlock()
	_, err = until(8*m.S.Change, "every node has the document", func() bool {
		for _, h := range m.nodes {
			if h.up() && h.Version() < base+1 {
				return false
			}
		}
		return true
	})
	return err
}
