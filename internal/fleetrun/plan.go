package fleetrun

import (
	"syscall"
	"time"

	"puffincrank/internal/standin"
)

// step is one fault or change of a plan.
type step struct {
	at   float64 // part of the run's time
	what string
	do   func(*Run)
}

// Plans by name.
var Plans = map[string][]step{
	"calm":   nil,
	"seeded": nil, // draws its own, see seeded.go
	"short":  short,
	// One core process and then one worker are killed and come back; a node
	// is killed, another frozen; a change is applied; one of each is rolled.
	"kills": {
		{0.08, "kill the writing store", func(r *Run) { r.killWriter() }},
		{0.20, "kill a worker, back under a new identity", func(r *Run) { r.replaceWorker(1, false) }},
		{0.32, "kill a registry, back after 3 s", func(r *Run) { r.bounce(r.Cores[1].Registry, syscall.SIGKILL, 3*time.Second) }},
		{0.42, "drain a worker and replace it", func(r *Run) { r.replaceWorker(2, true) }},
		{0.52, "change the configuration", func(r *Run) { r.change() }},
		{0.60, "kill a proxy, back after 2 s", func(r *Run) { r.bounceNode(3, syscall.SIGKILL, 2*time.Second) }},
		{0.70, "freeze a proxy for 3 s", func(r *Run) { r.freeze(4, 3*time.Second) }},
		{0.80, "roll a proxy politely", func(r *Run) { r.bounceNode(5, syscall.SIGTERM, 0) }},
		{0.88, "roll a core machine politely", func(r *Run) {
			r.bounce(r.Cores[2].Registry, syscall.SIGTERM, 0)
			r.bounce(r.Cores[2].Store, syscall.SIGTERM, 0)
		}},
	},
	// A good, a failing and a slow change, while a core process is killed and
	// a proxy is rolled.
	"trials": {
		{0.08, "propose a good change; kill the writing store meanwhile", func(r *Run) { r.try("promoted", standin.Way{}, func() { r.killWriter() }) }},
		{0.38, "propose a failing change; roll a proxy meanwhile", func(r *Run) {
			r.try("held-back", standin.Way{Fail: 0.15}, func() { r.bounceNode(5, syscall.SIGTERM, 0) })
		}},
		{0.68, "propose a slow change", func(r *Run) { r.try("held-back", standin.Way{Took: 4}, func() {}) }},
	},
	// Every process is rolled from an earlier version to this one, then half
	// of them back; run with --old.
	"versions": {
		{0.05, "roll the first core machine and half of the nodes to this version", func(r *Run) { r.move(true, 0, 1, 0, len(r.Nodes)/2) }},
		{0.35, "a change while versions are mixed", func(r *Run) { r.change() }},
		{0.40, "roll the rest to this version", func(r *Run) { r.move(true, 1, 3, len(r.Nodes)/2, len(r.Nodes)) }},
		{0.75, "roll one core machine and some nodes back", func(r *Run) { r.move(false, 2, 3, 0, 3) }},
		{0.92, "a change while versions are mixed again", func(r *Run) { r.change() }},
	},
	// A day with one fault after another, and one more at its end.
	"day": {
		{0.04, "garbling and losing workers", func(r *Run) { r.sick(standin.Way{Garble: 0.3, Lose: 0.3}) }},
		{0.12, "they are well again", func(r *Run) { r.sick(standin.Way{}) }},
		{0.16, "kill the writing store", func(r *Run) { r.killWriter() }},
		{0.24, "freeze the writing store for 4 s", func(r *Run) { r.freezeWriter(4 * time.Second) }},
		{0.32, "kill four nodes and their workers at once, back after 3 s", func(r *Run) { r.many(4, 3*time.Second) }},
		{0.42, "wipe the disk of a store", func(r *Run) { r.wipe(1) }},
		{0.52, "two changes at once, and a broken one", func(r *Run) { r.race() }},
		{0.56, "replace a worker", func(r *Run) { r.replaceWorker(2, false) }},
		{0.62, "kill all three core machines, back at once", func(r *Run) { r.allCore() }},
		{0.74, "roll every core machine", func(r *Run) {
			for _, c := range r.Cores {
				r.bounce(c.Registry, syscall.SIGTERM, 0)
				r.bounce(c.Store, syscall.SIGTERM, 0)
				pause(2 * time.Second)
			}
		}},
		{0.84, "roll three proxies", func(r *Run) {
			for i := 6; i < 9; i++ {
				r.bounceNode(i, syscall.SIGTERM, 0)
			}
		}},
		{0.96, "one more fault at the end: a registry is killed", func(r *Run) { r.bounce(r.Cores[0].Registry, syscall.SIGKILL, time.Second) }},
	},
}

// Play runs a plan's steps at their times; it returns when the time is over.
func (r *Run) Play(plan string, long time.Duration) {
	from := time.Now()
	if plan == "seeded" {
		r.seeded(from, long)
	}
	for _, s := range Plans[plan] {
		if wait := time.Duration(s.at*float64(long)) - time.Since(from); wait > 0 {
			pause(wait)
		}
		r.Mark("%s", s.what)
		s.do(r)
	}
	if wait := long - time.Since(from); wait > 0 {
		pause(wait)
	}
}

func (r *Run) killWriter() {
	for _, c := range r.Cores {
		if code, got := r.Get("GET", c.Host+":7004", "/puffin/ready", ""); code == 200 && got["role"] == "write" {
			c.Store.End(syscall.SIGKILL, time.Second)
			pause(3 * time.Second)
			_ = c.Store.Start()
			took, ok := r.Until(15*time.Second, func() bool {
				code, _ := r.Get("GET", c.Host+":7004", "/puffin/ready", "")
				return code == 200
			})
			r.Mark("  %s is ready again %.2f s after its start: %v", c.Store.Name, took.Seconds(), ok)
			return
		}
	}
}

func (r *Run) bounce(p *Proc, s syscall.Signal, away time.Duration) {
	code, took := p.End(s, 25*time.Second)
	if s == syscall.SIGTERM {
		r.Mark("  %s ended with %d after %.2f s", p.Name, code, took.Seconds())
	}
	pause(away)
	_ = p.Start()
}

func (r *Run) bounceNode(i int, s syscall.Signal, away time.Duration) {
	n := r.Nodes[i%len(r.Nodes)]
	from := time.Now()
	r.bounce(n.Proxy, s, away)
	took, ok := r.Until(15*time.Second, func() bool {
		code, _ := r.Get("GET", n.Host+":7003", "/puffin/ready", "")
		return code == 200
	})
	if s != syscall.SIGTERM {
		r.Obs.Lost(n.Host+":8000", from, time.Now())
	}
	r.Mark("  %s is ready %.2f s after its start: %v", n.Proxy.Name, took.Seconds(), ok)
}

// freeze stops a process's clock ticks without ending it.
func (r *Run) freeze(i int, long time.Duration) {
	n := r.Nodes[i%len(r.Nodes)]
	n.Proxy.Signal(syscall.SIGSTOP)
	pause(long)
	n.Proxy.Signal(syscall.SIGCONT)
}

// replaceWorker ends a worker and starts a fresh one at its address.
func (r *Run) replaceWorker(i int, polite bool) {
	n := r.Nodes[i%len(r.Nodes)]
	n.mu.Lock()
	w := n.Worker
	n.mu.Unlock()
	if polite {
		w.Leave("draining")
		pause(2500 * time.Millisecond)
		w.Leave("gone")
	}
	w.Kill()
	if !polite {
		pause(time.Second)
	}
	if err := r.StartWorker(n); err != nil {
		r.Mark("  worker did not start: %v", err)
	}
}

// change applies the same document as a new version through any node.
func (r *Run) change() {
	_, got := r.Get("GET", r.Nodes[0].Host+":7003", "/puffin/config", "")
	v, _ := got["version"].(float64)
	r.Mark("  version %d applied: %v", int(v)+1, r.Apply(r.Nodes[7%len(r.Nodes)].Host+":7003", uint64(v), r.S.Doc))
}

// move rolls some core machines and nodes to this version or back, politely.
func (r *Run) move(newer bool, coreFrom, coreTo, from, to int) {
	for _, c := range r.Cores[coreFrom:coreTo] {
		for _, p := range []*Proc{c.Registry, c.Store} {
			p.newer = newer
			r.bounce(p, syscall.SIGTERM, 0)
		}
		pause(2 * time.Second)
	}
	for i := from; i < to; i++ {
		n := r.Nodes[i]
		n.Proxy.newer = newer
		r.bounce(n.Proxy, syscall.SIGTERM, 0)
		r.Until(10*time.Second, func() bool {
			code, _ := r.Get("GET", n.Host+":7003", "/puffin/ready", "")
			return code == 200
		})
	}
}
