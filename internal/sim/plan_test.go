package sim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/stand"
)

// plan is a seeded row of faults under load, one machine of the core at a
// time and never more than a third of the nodes.
type plan struct {
	f    *Fleet
	rnd  *rand.Rand
	down map[*Node]bool
	said []string
}

func (p *plan) say(form string, args ...any) {
	p.said = append(p.said, time.Now().Format("05.000 ")+fmt.Sprintf(form, args...))
}

func (p *plan) node() *Node { return p.f.Nodes[p.rnd.IntN(len(p.f.Nodes))] }

// steps are the faults that a plan draws from.
var steps = []func(p *plan){
	func(p *plan) { // a core machine loses power
		c := p.f.Cores[p.rnd.IntN(3)]
		p.say("power lost at %s", c.Host)
		p.f.KillCore(c, true)
		Wait(time.Duration(500+p.rnd.IntN(2500)) * time.Millisecond)
		p.f.BackCore(c)
	},
	func(p *plan) { // a core machine's disk is wiped
		c := p.f.Cores[p.rnd.IntN(3)]
		p.say("disk of %s wiped", c.Host)
		p.f.KillCore(c, true)
		c.Disk.Wipe()
		p.f.BackCore(c)
		p.f.Until(15*time.Second, "the wiped store is back", p.f.coreReady)
	},
	func(p *plan) { // a core machine is cut off
		c := p.f.Cores[p.rnd.IntN(3)]
		p.say("%s isolated", c.Host)
		p.f.Net.Isolate(c.Host, true)
		Wait(time.Duration(1000+p.rnd.IntN(3000)) * time.Millisecond)
		p.f.Net.Isolate(c.Host, false)
	},
	func(p *plan) { // a node is killed with or without its worker
		n := p.node()
		from := time.Now()
		worker := p.rnd.IntN(2) == 0
		p.say("%s killed, its worker %v", n.Host, worker)
		p.f.KillNode(n)
		if worker {
			p.f.KillWorker(n)
		}
		Wait(time.Duration(200+p.rnd.IntN(2000)) * time.Millisecond)
		p.f.StartProxy(n)
		if worker {
			p.f.StartWorker(n, p.f.S.Services[p.rnd.IntN(len(p.f.S.Services))])
		}
		p.f.Until(10*time.Second, "the node is ready", n.Proxy.Ready)
		p.f.Obs.Lost(n.Host+":8000", from, time.Now())
	},
	func(p *plan) { // a node is cut off
		n := p.node()
		from := time.Now()
		p.say("%s isolated", n.Host)
		p.f.Net.Isolate(n.Host, true)
		Wait(time.Duration(500+p.rnd.IntN(4000)) * time.Millisecond)
		p.f.Net.Isolate(n.Host, false)
		Wait(1500 * time.Millisecond)
		p.f.Obs.Lost(n.Host+":8000", from, time.Now())
	},
	func(p *plan) { // a worker dies and its address passes to another service
		n := p.node()
		p.say("worker at %s replaced", n.Host)
		p.f.KillWorker(n)
		p.f.StartWorker(n, p.f.S.Services[p.rnd.IntN(len(p.f.S.Services))])
	},
	func(p *plan) { // a worker turns bad and well again
		n := p.node()
		w := stand.Way{Took: 30 * time.Millisecond, Garble: p.rnd.Float64() / 2, Lose: p.rnd.Float64() / 2, Busy: p.rnd.Float64() / 2}
		p.say("worker at %s behaves %+v", n.Host, w)
		n.Worker.Behave(w)
		Wait(2 * time.Second)
		n.Worker.Behave(stand.Way{Took: 30 * time.Millisecond})
	},
	func(p *plan) { // a core machine's disk is slow, or full, for a while
		c := p.f.Cores[p.rnd.IntN(3)]
		if p.rnd.IntN(2) == 0 {
			p.say("disk of %s slow", c.Host)
			c.Disk.Slow(time.Duration(300+p.rnd.IntN(600)) * time.Millisecond)
		} else {
			p.say("disk of %s full", c.Host)
			c.Disk.Room(p.rnd.IntN(2000))
		}
		Wait(time.Duration(1000+p.rnd.IntN(3000)) * time.Millisecond)
		c.Disk.Slow(0)
		c.Disk.Room(-1)
	},
	func(p *plan) { // a whole area is cut off from the others
		area := Areas[p.rnd.IntN(3)]
		from := time.Now()
		p.say("area %s cut off", area)
		p.f.cutArea(area, true)
		Wait(time.Duration(500+p.rnd.IntN(4000)) * time.Millisecond)
		p.f.cutArea(area, false)
		Wait(1500 * time.Millisecond)
		for _, n := range p.f.Nodes {
			if n.Area == area {
				p.f.Obs.Lost(n.Host+":8000", from, time.Now())
			}
		}
	},
	func(p *plan) { // clocks jump
		d := time.Duration(p.rnd.IntN(20)-10) * time.Hour
		p.say("clocks jump by %v", d)
		p.node().Skew(d)
		p.f.Cores[p.rnd.IntN(3)].Skew(-d)
	},
	func(p *plan) { // a change, by the operator's usual steps
		at := p.node().Host + ":7003"
		_, conf := p.f.Get(at, "/puffin/config?left_ms=1500")
		v, ok := conf["version"].(float64)
		if !ok {
			return
		}
		doc := strings.Replace(p.f.S.Doc, `"left_ms":800`, fmt.Sprintf(`"left_ms":%d`, 700+p.rnd.IntN(100)), 1)
		code, got := p.f.Ask("PUT", at, fmt.Sprintf("/puffin/config?based_on=%v&emergency=true&left_ms=2000", v), doc)
		if code == 200 {
			p.f.Obs.Acked(uint64(v) + 1)
		}
		p.say("change on %v answered %d %v", v, code, got["version"])
	},
}

// TestPlans runs seeded plans of faults: nothing that must never happen is
// seen, and at the end all is whole again. The longer search by command:
// PUFFIN_SEEDS=100 go test ./internal/sim -run Plans
func TestPlans(t *testing.T) {
	t.Parallel()
	for seed := range seeds(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := Fumettoteca(0.12)
				s.Nodes = 6
				f := NewFleet(t, s, seed+200)
				defer f.Stop()
				f.Start()
				p := &plan{f: f, rnd: rand.New(rand.NewPCG(seed, 5)), down: map[*Node]bool{}}
				defer func() {
					if t.Failed() {
						t.Logf("seed %d:\n%s", seed, strings.Join(p.said, "\n"))
					}
				}()
				wait := f.Load(s.Lines, 40*time.Second)
				apps := f.apps(40 * time.Second)
				for range 9 {
					Wait(time.Duration(200+p.rnd.IntN(1500)) * time.Millisecond)
					// Now and then a worker leaves while something else fails.
					var leaves *Node
					var was *stand.Worker
					if p.rnd.IntN(3) == 0 {
						leaves = p.node()
						was = leaves.Worker
						p.say("worker at %s leaves", leaves.Host)
						was.Leave("draining")
					}
					steps[p.rnd.IntN(len(steps))](p)
					if leaves != nil {
						Wait(2500 * time.Millisecond)
						if leaves.Worker == was {
							was.Leave("gone")
							f.KillWorker(leaves)
							f.StartWorker(leaves, s.Services[p.rnd.IntN(len(s.Services))])
						}
					}
				}
				f.Until(15*time.Second, "all stores are ready", f.coreReady)
				f.Until(15*time.Second, "all is whole", f.Whole)
				f.Until(15*time.Second, "all replicas are equal", f.equal)
				wait()
				apps()
				f.Judge()
			})
		})
	}
}
