package hollow

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/hlc"
	"puffincrank/internal/member"
	"puffincrank/internal/ormap"
	"puffincrank/internal/props"
	"puffincrank/internal/replica"
	"puffincrank/internal/session"
	"puffincrank/internal/task"
	"puffincrank/internal/touch"
	"puffincrank/internal/wire"
)

// node is a hollow one: the proxy's session, replica, tree and configuration
// without its traffic port and its worker.
type node struct {
	m       *Mesh
	name    string
	area    string
	service string
	starts  int
	born    time.Time
	p       props.Props
	g       *task.Group
	n       *wire.Node
	rep     *replica.Replica
	touch   *touch.Touch
	self    member.Fellow
	rules   rulesAt
	known   int // members as last heard
	book    *member.Book
	filled  atomic.Bool // the session stood once
	dot     ormap.Dot
}

func (h *node) start() error {
	h.starts++
	h.born = time.Now()
	h.known, h.rules = 0, rulesAt{}
	h.filled.Store(false)
	// As long and as unlike each other as a process draws them.
	boot := fmt.Sprintf("%012x", h.m.draw())
	h.g = task.New(context.Background())
	log := event.New(h.name, nil)
	e := env.Env{Net: h.m.lane(h.name), Wall: time.Now, Pause: task.Pause, Log: log}
	h.self = member.Fellow{Node: h.name, Start: boot, Role: "proxy", Area: h.area, Inner: h.p.Inner, Outer: h.p.Outer, Traffic: h.p.Traffic}
	h.n = wire.NewNode(wire.Hello{Mesh: h.p.Mesh, Node: h.name, Area: h.area, Role: "proxy"}, e, h.g, h.p.Frame, h.p.Jobs, h.p.Patience())
	h.rep = replica.New(h.self, h.n, h.g, log, hlc.New(time.Now, 2*h.p.Return), h.p.Beat(), h.p.Repair(), h.p.Bury())
	h.rep.Map().Share(h.m.pool)
	h.rep.Subscribe(h.news)
	h.touch = touch.New(touch.Parts{P: h.p, Log: log, G: h.g, N: h.n, Rep: h.rep, Self: h.self, Woke: func() time.Time { return time.Time{} }, Same: h.m.same}, h)
	h.touch.Listen()
	if err := h.n.Listen(h.p.Inner); err != nil {
		return err
	}
	h.g.Go("session", h.touch.Run)
	return nil
}

// kill ends the node at once; what it sent stays in the count.
func (h *node) kill() {
	h.g.Cancel()
	h.n.Close()
	h.g.Stop()
	h.m.keep(h.n)
	h.n = nil
}

func (h *node) up() bool { return h.n != nil }

// news notes how long a registration took to get here.
func (h *node) news(n replica.News) {
	if n.Kind == "registered" {
		h.m.saw(n.Entry.Dot, h.born)
	}
}

// Version, Take, Report, Members, Fronts, Filled and Stands are what the
// session asks of its host.
func (h *node) Version() uint64 { return h.rules.version.Load() }

func (h *node) Take(version uint64, doc []byte) ([]byte, bool) {
	if h.rules.version.Load() >= version {
		return doc, true
	}
	r := h.m.compile(version, doc)
	if r == nil {
		return nil, false
	}
	h.rules.now.Store(r)
	h.rules.version.Store(version)
	h.m.took(version)
	return r.Doc, true
}

func (h *node) Report(*session.Beat) {}

func (h *node) Members(all *member.Book) {
	h.m.mu.Lock()
	h.known, h.book = all.Len(), all
	h.m.mu.Unlock()
}

func (h *node) Fronts(int) {}

func (h *node) Filled() {
	h.rep.Retire(h.name, func(e ormap.Entry) bool { return e.Dot.Node != h.rep.Dot() })
}

func (h *node) Stands() {
	// As a proxy does: own entries that others retired meanwhile come afresh.
	if h.filled.Load() && !h.rep.OwnDead(h.dot) {
		return
	}
	h.filled.Store(true)
	h.dot = h.m.enters(h)
}
