package hollow

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"puffincrank/internal/wire"
)

// Row is one figure of one mesh.
type Row struct {
	Part  string // the act that it is a figure of
	Name  string
	Unit  string
	Clock bool // a time of the machine, not of the mesh: not repeatable
	Value float64
}

// Gauge takes the figures of one mesh, act by act.
type Gauge struct {
	m    *Mesh
	rnd  *rand.Rand
	rows []Row
	acts []string // those that Run runs; none: all
	calm Shot     // of a second without events

	calmCPU float64 // processor seconds of it
	turn    uint64
	Say     func(string)
	Note    func(Row) // hears of each figure as it is taken
}

// NewGauge readies the measurements; the seed draws who fails.
func NewGauge(m *Mesh, seed uint64) *Gauge {
	return &Gauge{m: m, rnd: rand.New(rand.NewPCG(seed, 11)), turn: 1, Say: func(string) {}, Note: func(Row) {}}
}

func (g *Gauge) row(part, name, unit string, v float64) {
	g.add(Row{Part: part, Name: name, Unit: unit, Value: v})
}

func (g *Gauge) clock(part, name, unit string, v float64) {
	g.add(Row{Part: part, Name: name, Unit: unit, Clock: true, Value: v})
}

func (g *Gauge) add(r Row) {
	g.rows = append(g.rows, r)
	g.Note(r)
}

// act measures what an act costs beyond what the calm costs in the same time.
func (g *Gauge) act(f func() error) (Shot, time.Duration, error) {
	from := g.m.Shoot()
	if err := f(); err != nil {
		return Shot{}, 0, err
	}
	d := g.m.Shoot().Less(from)
	return d, d.At.Sub(from.At), nil
}

// over gives a role's bytes, in and out, beyond the calm, for each process.
func (g *Gauge) over(d Shot, long time.Duration, role string, each int) float64 {
	calm := float64(g.calm.Sum(role).Bytes+g.calm.Heard[role]) * long.Seconds()
	return (float64(d.Sum(role).Bytes+d.Heard[role]) - calm) / float64(each)
}

// Run takes all figures; an act that does not end in time is an error.
func (g *Gauge) Run() ([]Row, error) {
	for _, act := range []struct {
		name string
		f    func() error
	}{{"start", g.start}, {"calm", g.still}, {"restart", g.restarts}, {"change", g.changes}, {"zone", g.zone}, {"control", g.ended}, {"dark", g.dark}, {"crowd", g.crowd}, {"region", g.region}} {
		if len(g.acts) > 0 && !slices.Contains(g.acts, act.name) {
			continue
		}
		from := process()
		at := time.Now()
		if err := act.f(); err != nil {
			return g.rows, fmt.Errorf("%s: %w", act.name, err)
		}
		g.Say(fmt.Sprintf("%d nodes: %s took %.1f s of processor for %.1f s of the mesh", g.m.S.Nodes, act.name, (process() - from).Seconds(), time.Since(at).Seconds()))
	}
	return g.rows, nil
}

func (g *Gauge) start() error {
	from := time.Now()
	d, _, err := g.act(g.m.Start)
	n := g.m.S.Nodes
	g.row("start", "all start at once: until all know all", "s", time.Since(from).Seconds())
	g.row("start", "bytes in and out, each node", "B", float64(d.Sum("proxy").Bytes+d.Heard["proxy"])/float64(n))
	g.row("start", "bytes out, each control node", "B", float64(d.Sum("registry").Bytes)/float64(g.m.S.Cores))
	return err
}

// still is the mesh without events.
func (g *Gauge) still() error {
	wait(2 * g.m.regs[0].p.Repair())
	// As many rounds of repair in each, wherever it begins.
	long := 4 * g.m.regs[0].p.Repair()
	var per runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&per)
	d, _, _ := g.act(func() error { wait(long); return nil })
	s := long.Seconds()
	n, c := float64(g.m.S.Nodes), float64(g.m.S.Cores)
	g.calm, g.calmCPU = scaled(d, s), d.CPU.Seconds()/s
	g.row("calm", "messages out, each node", "1/s", float64(d.Sum("proxy").Frames)/s/n)
	g.row("calm", "bytes in and out, each node", "B/s", float64(d.Sum("proxy").Bytes+d.Heard["proxy"])/s/n)
	g.row("calm", "messages out, each control node", "1/s", float64(d.Sum("registry").Frames)/s/c)
	g.row("calm", "bytes in and out, each control node", "B/s", float64(d.Sum("registry").Bytes+d.Heard["registry"])/s/c)
	g.row("calm", "bytes in and out, each store", "B/s", float64(d.Sum("store").Bytes+d.Heard["store"])/s/float64(g.m.S.Stores))
	links, most := 0, 0
	for _, nd := range g.m.road.Nodes() {
		if nd.Self.Role == "proxy" {
			links += nd.Met()
			most = max(most, nd.Met())
		}
	}
	g.row("calm", "fellows spoken with so far, mean of nodes", "", float64(links)/n)
	g.row("calm", "fellows spoken with so far, most of a node", "", float64(most))
	g.clock("calm", "processor time, all roles, for each node", "% of a core", float64(d.CPU)/float64(long)/n*100)
	beat := d.Work["registry session.beat"]
	g.clock("calm", "processor time of one beat at a control node", "us", micro(beat))
	g.clock("calm", "memory of one node's map, index and list alone", "kB", float64(g.alone())/1e3)
	g.clock("calm", "memory held in this process, what is alike held once, for each node", "MB", float64(per.HeapAlloc)/n/1e6)
	return nil
}

func micro(w Work) float64 { return float64(w.CPU) / float64(max(w.Runs, 1)) / 1e3 }

// scaled gives the counts of one second.
func scaled(d Shot, s float64) Shot {
	out := Shot{Sent: map[string]map[wire.Flow]wire.Sum{}, Heard: map[string]int64{}}
	for role, by := range d.Sent {
		out.Sent[role] = map[wire.Flow]wire.Sum{}
		for k, v := range by {
			out.Sent[role][k] = wire.Sum{Frames: int64(float64(v.Frames) / s), Bytes: int64(float64(v.Bytes) / s)}
		}
	}
	for role, n := range d.Heard {
		out.Heard[role] = int64(float64(n) / s)
	}
	return out
}
