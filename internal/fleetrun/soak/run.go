package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sort"
	"time"

	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// Run plays one soak and tells whether nothing was seen that must not be. The
// report goes to the options' writer.
func Run(o Options) (ok bool, err error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return false, err
	}
	f := newFleet(o)
	defer f.end()
	f.say("seed %d, %d machines, %v of troubles", o.Seed, o.Size, o.Long)
	if err := f.up(); err != nil {
		return false, err
	}
	before := f.holdings()
	f.play()
	f.settle()
	after := f.holdings()
	f.compare(before, after)
	f.down()
	return f.report(before, after), nil
}

// up starts everything and waits until the first document is in force at all nodes.
func (f *fleet) up() error {
	for _, c := range f.cores {
		f.startCore(c, true)
	}
	for _, m := range f.machines {
		f.startNode(m)
		f.startWorker(m)
	}
	f.g.Go("first-document", func(ctx context.Context) { f.op.Send(ctx, f.draft, "", "") })
	if !until(60*time.Second, f.ready) {
		return errNotUp
	}
	f.say("all nodes are ready")
	f.g.Every("readiness", time.Second, f.poll)
	f.g.Every("stall-watch", stallBeat, f.watchStalls())
	pause(2 * time.Second)
	return nil
}

// ready tells whether every node is.
func (f *fleet) ready() bool {
	for _, m := range f.machines {
		if !isReady(m.host) {
			return false
		}
	}
	return true
}

func isReady(host string) bool {
	code, _ := actors.Ask(context.Background(), quiet("ready").Net, http.MethodGet, host+":7003", "/puffin/ready", nil, time.Second)
	return code == http.StatusOK
}

// poll does as the platform does: the callers of a machine that was not ready twice
// get no new work, as long as half of the machines are in.
func (f *fleet) poll(context.Context) {
	out := 0
	for _, m := range f.machines {
		if m.client.Out.Load() {
			out++
		}
	}
	for _, m := range f.machines {
		f.g.Go("poll-ready", func(context.Context) {
			ready := isReady(m.host)
			f.wit.Looked(m.name, ready)
			m.mu.Lock()
			m.misses++
			if ready {
				m.misses = 0
			}
			misses := m.misses
			m.mu.Unlock()
			m.client.Out.Store(misses >= 2 && 2*out < len(f.machines))
		})
	}
}

const (
	stallBeat = 20 * time.Millisecond
	// stallBound is a gap in this process's own ticks beyond which the witness's
	// times say nothing: the callers and workers stood still as well.
	stallBound = 150 * time.Millisecond
)

// watchStalls notes when this process itself was held up.
func (f *fleet) watchStalls() func(context.Context) {
	last := time.Now()
	return func(context.Context) {
		now := time.Now()
		if gap := now.Sub(last); gap > stallBeat+stallBound {
			f.stalls.Add(1)
			f.wit.Touch.Core(fmt.Sprintf("the soak itself stood still for %v", gap))
		}
		last = now
	}
}

// play runs the load, the applications and the troubles.
func (f *fleet) play() {
	for _, m := range f.machines {
		for _, l := range f.lines {
			if l.Rate <= 0 {
				continue
			}
			f.g.Go("load", func(ctx context.Context) {
				m.client.Load(ctx, l, func() float64 {
					if !f.traffic.Load() {
						return 0
					}
					return l.Rate * float64(f.press.Load()) / 100 / float64(len(f.machines))
				})
			})
		}
	}
	f.traffic.Store(true)
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan struct{})
	f.g.Go("apps", func(context.Context) { f.apps.Run(ctx); close(over) })
	f.troubles()
	stop()
	<-over
}

// settle lets all come to rest: every process runs, the load goes on for a while,
// then it ends and all is read back.
func (f *fleet) settle() {
	if !until(20*time.Second, f.ready) {
		f.blame("not every node is ready after the last trouble")
	}
	pause(f.wit.B.Touch + 3*time.Second)
	f.traffic.Store(false)
	f.op.Read(context.Background(), 5*time.Second, true)
	f.apps.Finish(context.Background())
	// What is under way ends, and connections that idle are closed.
	until(f.longest()+time.Second, func() bool { return f.underWay() == 0 })
	for _, m := range f.machines {
		m.client.Close()
	}
	pause(ways.Idle + time.Second)
}

// longest is the most time that a caller waits.
func (f *fleet) longest() (out time.Duration) {
	for _, l := range f.lines {
		out = max(out, l.Left)
	}
	return out
}

// underWay counts the requests that have no answer yet.
func (f *fleet) underWay() (n int) {
	for _, m := range f.machines {
		n += m.client.Under()
	}
	return n
}

// report prints what was seen.
func (f *fleet) report(before, after holdings) bool {
	p := func(form string, args ...any) { fmt.Fprintf(f.o.Out, form+"\n", args...) }
	bad, notes := f.wit.Verdict()
	risk := f.wit.Risk()
	p("\n## soak, seed %d, %d machines, %v", f.o.Seed, f.o.Size, f.o.Long)
	p("\n| rule | broken | had to lose |\n| --- | --- | --- |")
	for _, rule := range checker.Rules {
		p("| %s | %d | %d |", rule, bad[rule], risk[rule])
	}
	for _, n := range notes {
		p("    %s", n)
	}
	for _, w := range f.wrong {
		p("WRONG: %s", w)
	}
	served, owed := f.wit.Served("", time.Time{}, time.Now())
	p("\nserved %d of %d; this program itself was held up %d times", served, owed, f.stalls.Load())
	tally := f.wit.Tally()
	var names []string
	for n := range tally {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		p("  %s: %d", n, tally[n])
	}
	p("\n| program | descriptors at rest | after | links at rest | after | goroutines at rest | after | MB at rest | after |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, program := range programs {
		a, b := before[program], after[program]
		p("| %s | %d | %d | %d | %d | %d | %d | %d | %d |", program, a.files, b.files, a.links, b.links, a.routines, b.routines, a.memory>>20, b.memory>>20)
	}
	ok := len(bad) == 0 && len(f.wrong) == 0
	p("\nseed %d: %s", f.o.Seed, map[bool]string{true: "nothing wrong", false: "FAILED"}[ok])
	return ok
}
