// Package hollow runs many nodes of the mesh in one process, without jobs: the
// product's own session, replica, tree, configuration, control nodes and stores
// over a network in memory and in virtual time. It counts what each says and
// holds, so that what grows with the mesh is seen before the mesh has grown.
package hollow

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/member"
	"puffincrank/internal/ormap"
	"puffincrank/internal/props"
	"puffincrank/internal/registry"
	"puffincrank/internal/rules"
	"puffincrank/internal/sim"
	"puffincrank/internal/store"
	"puffincrank/internal/task"
	"puffincrank/internal/wire"
)

// Size is how large a mesh is.
type Size struct {
	Nodes   int
	Areas   int
	Cores   int // control machines, each with a registry
	Stores  int // of them with a store
	Workers int // of each service
	Change  time.Duration
	Frame   int // bound on a frame in bytes, 0 for the one by default
}

type rulesAt struct {
	version atomic.Uint64
	now     atomic.Pointer[rules.Rules]
}

// Mesh is one hollow mesh.
type Mesh struct {
	S     Size
	road  *wire.Road
	net   *sim.Net
	nodes []*node
	regs  []*control
	store []*holder
	turn  atomic.Uint64

	mu     sync.Mutex
	rnd    *rand.Rand
	pool   *ormap.Pool             // entries that nodes hold alike are held once
	books  map[uint64]*member.Book // and so are lists of members, by their hash
	made   map[ormap.Dot]time.Time // when a registration was made
	seen   map[ormap.Dot]int
	last   time.Duration // the longest that a registration took
	offer  map[uint64]time.Time
	taken  map[uint64]int
	slow   time.Duration // the longest that a configuration took
	once   map[uint64]*compiled
	gone   map[string]map[wire.Flow]wire.Sum // sent by those that ended, by role
	goneIn map[string]int64
}

type compiled struct {
	once sync.Once
	r    *rules.Rules
}

type control struct {
	host string
	area string
	p    props.Props
	r    *registry.Registry
}

type holder struct {
	host string
	area string
	p    props.Props
	disk *sim.Disk
	s    *store.Store
}

// region is what an area's name begins with.
func region(area string) string { r, _, _ := strings.Cut(area, "z"); return r }

// delay is the way between two areas: in one, in one region, between two.
func delay(a, b string) time.Duration {
	switch {
	case a == b:
		return 250 * time.Microsecond
	case region(a) == region(b):
		return time.Millisecond
	}
	return 30 * time.Millisecond
}

// areaOf spreads the i-th machine over areas in 8 regions.
func (m *Mesh) areaOf(i int) string {
	a := i % m.S.Areas
	return fmt.Sprintf("r%dz%d", a%8, a/8)
}

func (m *Mesh) lane(process string) env.Net {
	return &wire.Paved{Net: m.net.Process(process, ""), Road: m.road}
}

func (m *Mesh) env(name string) env.Env {
	return env.Env{Net: m.lane(name), Wall: time.Now, Pause: task.Pause, Log: event.New(name, nil)}
}

func (m *Mesh) props(program, name, area, host string, port int, more map[string]any) (props.Props, error) {
	in := map[string]any{"node": name, "area": area, "inner": fmt.Sprintf("%s:%d", host, port), "outer": fmt.Sprintf("%s:%d", host, port+1),
		"change_ms": ms(m.S.Change), "return_ms": ms(max(m.S.Change*5/2, 15*time.Second)), "retire_ms": ms(max(m.S.Change*5, 10*time.Second)), "replace_ms": ms(max(m.S.Change*2, 8*time.Second))}
	if m.S.Frame > 0 {
		in["frame_bytes"] = json.Number(strconv.Itoa(m.S.Frame))
	}
	for k, v := range more {
		in[k] = v
	}
	v, bad := props.Tables[program].Read(in, "")
	if len(bad) > 0 {
		return props.Props{}, fmt.Errorf("props of %s: %v", name, bad)
	}
	p, bad := props.Make(v)
	if len(bad) > 0 {
		return props.Props{}, fmt.Errorf("props of %s: %v", name, bad)
	}
	return p, nil
}

func ms(d time.Duration) json.Number {
	return json.Number(strconv.FormatInt(d.Milliseconds(), 10))
}

func host(kind, i int) string { return fmt.Sprintf("10.%d.%d.%d", kind, i/200, i%200+1) }

// New lays a mesh out; nothing runs yet.
func New(s Size) (*Mesh, error) {
	m := &Mesh{S: s, rnd: rand.New(rand.NewPCG(1, 12)), pool: ormap.NewPool(), books: map[uint64]*member.Book{}, road: wire.NewRoad(delay), net: sim.NewNet(1, delay("a", "a"), delay("a", "b")), made: map[ormap.Dot]time.Time{}, seen: map[ormap.Dot]int{},
		offer: map[uint64]time.Time{}, taken: map[uint64]int{}, once: map[uint64]*compiled{}, gone: map[string]map[wire.Flow]wire.Sum{}, goneIn: map[string]int64{}}
	m.road.Watch(m.watch)
	var seeds, stores []any
	for i := range s.Cores {
		seeds = append(seeds, fmt.Sprintf("%s:%d", host(0, i), 7002))
		if i < s.Stores {
			stores = append(stores, fmt.Sprintf("%s:%d", host(0, i), 7001))
		}
	}
	for i := range s.Cores {
		c := &control{host: host(0, i), area: m.areaOf(i)}
		var err error
		if c.p, err = m.props("registry", fmt.Sprintf("core-%d", i), c.area, c.host, 7002, map[string]any{"seeds": few(seeds, i, 9), "stores": stores}); err != nil {
			return nil, err
		}
		m.regs = append(m.regs, c)
		if i >= s.Stores {
			continue
		}
		h := &holder{host: c.host, area: c.area, disk: sim.NewDisk()}
		if h.p, err = m.props("store", fmt.Sprintf("store-%d", i), c.area, c.host, 7001, map[string]any{"seeds": stores, "data": "x"}); err != nil {
			return nil, err
		}
		// The outer ports of one machine differ.
		h.p.Outer = c.host + ":7009"
		m.store = append(m.store, h)
	}
	for i := range s.Nodes {
		h := &node{m: m, name: fmt.Sprintf("node-%05d", i), area: m.areaOf(i), service: service(i / s.Workers)}
		// Each node has other control nodes, or all would choose the same.
		own := few(seeds, i, 3)
		var err error
		if h.p, err = m.props("proxy", h.name, h.area, host(1+i/40000, i), 7002, map[string]any{"seeds": own, "traffic": host(1, i) + ":8000"}); err != nil {
			return nil, err
		}
		m.nodes = append(m.nodes, h)
	}
	return m, nil
}

// draw gives a start's name, of 48 bits.
func (m *Mesh) draw() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rnd.Uint64() >> 16
}

// same gives a list as the nodes hold it that have an equal one. The newest
// some lists are kept for those who are about to have them.
func (m *Mesh) same(b *member.Book) *member.Book {
	m.mu.Lock()
	defer m.mu.Unlock()
	if was := m.books[b.Hash()]; was != nil && was.Len() == b.Len() {
		return was
	}
	if len(m.books) >= 64 {
		clear(m.books)
	}
	m.books[b.Hash()] = b
	return b
}

// few gives some addresses of all, from the i-th on around the list: they name
// the rest, since settings hold nine at the most.
func few(all []any, i, most int) []any {
	var out []any
	for k := range min(most, len(all)) {
		out = append(out, all[(i+k)%len(all)])
	}
	return out
}

func service(i int) string { return fmt.Sprintf("service-%04d", i) }

// compile reads a document once for all nodes: the result is the same for all,
// and what it costs is measured apart.
func (m *Mesh) compile(version uint64, doc []byte) *rules.Rules {
	m.mu.Lock()
	c := m.once[version]
	if c == nil {
		c = &compiled{}
		m.once[version] = c
	}
	m.mu.Unlock()
	c.once.Do(func() {
		if r, bad, err := rules.Compile(version, doc); err == nil && len(bad) == 0 {
			c.r = r
		}
	})
	return c.r
}
