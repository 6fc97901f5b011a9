package fleetrun

import (
	"math/rand/v2"
	"syscall"
	"time"

	"puffincrank/internal/standin"
)

// short is the plan of CI: one of each kind, in well under a minute.
var short = []step{
	{0.10, "kill a proxy, back after 1 s", func(r *Run) { r.bounceNode(3, syscall.SIGKILL, time.Second) }},
	{0.24, "freeze a proxy for 3 s while its worker leaves", func(r *Run) { r.freezeLeaving(4, 3*time.Second) }},
	{0.42, "roll a proxy", func(r *Run) { r.bounceNode(5, syscall.SIGTERM, 0) }},
	{0.52, "wipe the disk of a store", func(r *Run) { r.wipe(1) }},
	{0.66, "roll a core machine", func(r *Run) { r.rollCore(2) }},
	{0.82, "two changes at once, and a broken one", func(r *Run) { r.race() }},
}

// faults is what the plan "seeded" draws from.
var faults = []struct {
	what string
	do   func(r *Run, rnd *rand.Rand)
}{
	{"kill the writing store", func(r *Run, _ *rand.Rand) { r.killWriter() }},
	{"freeze the writing store", func(r *Run, rnd *rand.Rand) { r.freezeWriter(ms2(rnd, 500, 4000)) }},
	{"freeze a registry", func(r *Run, rnd *rand.Rand) {
		c := r.Cores[rnd.IntN(3)]
		c.Registry.Signal(syscall.SIGSTOP)
		pause(ms2(rnd, 500, 4000))
		c.Registry.Signal(syscall.SIGCONT)
	}},
	{"kill a registry", func(r *Run, rnd *rand.Rand) {
		r.bounce(r.Cores[rnd.IntN(3)].Registry, syscall.SIGKILL, ms2(rnd, 100, 3000))
	}},
	{"wipe the disk of a store", func(r *Run, rnd *rand.Rand) { r.wipe(rnd.IntN(3)) }},
	{"kill all three core machines, back at once", func(r *Run, _ *rand.Rand) { r.allCore() }},
	{"roll a core machine", func(r *Run, rnd *rand.Rand) { r.rollCore(rnd.IntN(3)) }},
	{"kill a proxy", func(r *Run, rnd *rand.Rand) { r.bounceNode(rnd.IntN(12), syscall.SIGKILL, ms2(rnd, 100, 3000)) }},
	{"kill some nodes with their workers", func(r *Run, rnd *rand.Rand) { r.many(2+rnd.IntN(3), ms2(rnd, 100, 3000)) }},
	{"freeze a proxy", func(r *Run, rnd *rand.Rand) { r.freeze(rnd.IntN(12), ms2(rnd, 500, 4000)) }},
	{"freeze a proxy while its worker leaves", func(r *Run, rnd *rand.Rand) { r.freezeLeaving(rnd.IntN(12), ms2(rnd, 500, 4000)) }},
	{"roll a proxy", func(r *Run, rnd *rand.Rand) { r.bounceNode(rnd.IntN(12), syscall.SIGTERM, 0) }},
	{"replace a worker at once", func(r *Run, rnd *rand.Rand) { r.replaceWorker(rnd.IntN(12), false) }},
	{"replace a worker politely", func(r *Run, rnd *rand.Rand) { r.replaceWorker(rnd.IntN(12), true) }},
	{"garbling and losing workers", func(r *Run, rnd *rand.Rand) {
		r.sick(standin.Way{Garble: rnd.Float64() / 2, Lose: rnd.Float64() / 2})
		pause(2 * time.Second)
		r.sick(standin.Way{})
	}},
	{"two changes at once, and a broken one", func(r *Run, _ *rand.Rand) { r.race() }},
}

func ms2(rnd *rand.Rand, least, more int) time.Duration {
	return time.Duration(least+rnd.IntN(more)) * time.Millisecond
}

// seeded draws faults until little time is left, which is for all to settle.
func (r *Run) seeded(from time.Time, long time.Duration) {
	rnd := rand.New(rand.NewPCG(r.Seed, 8))
	for time.Since(from) < long-12*time.Second {
		pause(ms2(rnd, 300, 1500))
		f := faults[rnd.IntN(len(faults))]
		r.Mark("%s", f.what)
		f.do(r, rnd)
	}
}

// rollCore ends both programs of a core machine politely and starts them.
func (r *Run) rollCore(i int) {
	c := r.Cores[i]
	r.bounce(c.Registry, syscall.SIGTERM, 0)
	r.bounce(c.Store, syscall.SIGTERM, 0)
	r.Until(15*time.Second, func() bool {
		one, _ := r.Get("GET", c.Host+":7003", "/puffin/ready", "")
		two, _ := r.Get("GET", c.Host+":7004", "/puffin/ready", "")
		return one == 200 && two == 200
	})
}

// freezeLeaving freezes a proxy and lets its worker say that it is leaving:
// the word waits unread, beside hand-overs.
func (r *Run) freezeLeaving(i int, long time.Duration) {
	n := r.Nodes[i%len(r.Nodes)]
	from := time.Now()
	n.Proxy.Signal(syscall.SIGSTOP)
	pause(100 * time.Millisecond)
	n.Worker.Leave("draining")
	pause(long)
	n.Proxy.Signal(syscall.SIGCONT)
	pause(2500 * time.Millisecond)
	r.Obs.Lost(n.Host+":8000", from, time.Now())
	n.Worker.Leave("gone")
	n.Worker.Kill()
	if err := r.StartWorker(n); err != nil {
		r.missed = append(r.missed, "a worker did not start: "+err.Error())
	}
}
