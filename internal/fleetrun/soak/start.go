package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"puffincrank/internal/fleetrun/process"
	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// settings writes the settings file of a member: the bounds and what is its own.
func (f *fleet) settings(name, area, host string, inner, outer int, own map[string]any) error {
	b := f.wit.B
	in := map[string]any{"node": name, "area": area, "inner": fmt.Sprintf("%s:%d", host, inner), "outer": fmt.Sprintf("%s:%d", host, outer),
		"change_ms": b.Change.Milliseconds(), "leave_ms": b.Leave.Milliseconds(), "window_ms": b.Window.Milliseconds(), "return_ms": b.Return.Milliseconds(),
		"history_ms": b.Hist.Milliseconds(), "grace_ms": b.Grace.Milliseconds(), "touch_ms": b.Touch.Milliseconds(), "ack_ms": b.Ack.Milliseconds(),
		"back_ms": b.Back.Milliseconds(), "free_ms": b.Frees.Milliseconds(), "catch_up_ms": 4000}
	for k, v := range own {
		in[k] = v
	}
	raw, err := json.MarshalIndent(in, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(f.o.Dir, name+".json")
	if err := os.WriteFile(file+".new", raw, 0o644); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

// nodeSettings writes those of a machine's node.
func (f *fleet) nodeSettings(m *machine) error {
	return f.settings(m.name, m.area, m.host, 7002, 7003, map[string]any{"seeds": f.seeds(7002), "traffic": m.host + ":8000", "service": m.service,
		"worker_addr": m.host + ":9000", "beat_ms": 1500, "files": 1024, "repeat_share": f.wit.B.Share, "repeat_allowance": int(f.wit.B.Allow)})
}

// startNode starts a machine's node.
func (f *fleet) startNode(m *machine) {
	f.wit.Lives(m.name)
	f.wit.Touch.Begin(m.name, checker.Planned+"start")()
	err := f.nodeSettings(m)
	if err == nil {
		err = m.node.Start(f.g)
	}
	if err != nil {
		f.blame("%s did not start: %v", m.name, err)
	}
}

// startWorker starts a fresh worker beside a node.
func (f *fleet) startWorker(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.births++
	id := checker.Worker{Name: fmt.Sprintf("w%d-%d", m.number, m.births), Service: m.service, Machine: m.name, Area: m.area}
	w := ways
	w.Speed = 0.8 + float64(m.number%5)*0.15
	var k *actors.Worker
	err := process.Bind(func() (err error) {
		k, err = actors.Start(quiet(id.Name), actors.Plain, id, m.host+":9000", m.host+":8000", []string{m.host + ":7003"}, w, f.wit, f.o.Seed*1000+uint64(m.number)+500)
		return err
	})
	if err != nil {
		f.blame("worker of %s did not start: %v", m.name, err)
		return
	}
	m.worker = k
}

// at is the worker beside a machine's node.
func (m *machine) at() *actors.Worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.worker
}

// startCore starts both programs of a core machine. Only at the first start of all
// may they found a mesh.
func (f *fleet) startCore(c *core, first bool) {
	err := f.settings(c.store.Name, c.area, c.host, 7001, 7004, map[string]any{"seeds": f.seeds(7001), "founding": first, "bear": 1, "data": filepath.Join(f.o.Dir, c.name+".store.data")})
	if err == nil {
		err = f.settings(c.name, c.area, c.host, 7002, 7003, map[string]any{"seeds": f.seeds(7002), "stores": f.seeds(7001), "data": filepath.Join(f.o.Dir, c.name+".data")})
	}
	for _, p := range []*process.Process{c.store, c.registry} {
		if err == nil {
			err = p.Start(f.g)
		}
	}
	if err != nil {
		f.blame("%s did not start: %v", c.name, err)
	}
	f.unsettled(c, false, "started "+c.name)
}

// unsettled notes that something was done to the core, and whether a machine of it
// is away since.
func (f *fleet) unsettled(c *core, away bool, what string) {
	f.wit.Touch.Core(what)
	f.mu.Lock()
	defer f.mu.Unlock()
	c.down = away
	up := 0
	for _, c := range f.cores {
		if !c.down {
			up++
		}
	}
	lost := 2*up <= len(f.cores)
	if lost && f.minority == nil {
		f.minority = f.wit.Touch.Minority()
	}
	if !lost && f.minority != nil {
		f.minority()
		f.minority = nil
	}
}
