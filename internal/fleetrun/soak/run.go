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

// Run executes one soak run and returns whether no violation was seen. The report goes to
// the writer of the options.
func Run(options Options) (ok bool, err error) {
	if err := os.MkdirAll(options.Dir, 0o755); err != nil {
		return false, err
	}
	f := newFleet(options)
	defer f.killAll()
	f.logf("seed %d, %d machines, %v of troubles", options.Seed, options.Machines, options.Duration)
	if err := f.start(); err != nil {
		return false, err
	}
	before := f.peakUsage()
	f.runLoad()
	f.settle()
	after := f.peakUsage()
	f.compareUsage(before, after)
	f.shutDown()
	return f.report(before, after), nil
}

// start starts all processes and waits until all proxies are ready with the first
// configuration.
func (f *fleet) start() error {
	for _, c := range f.controlMachines {
		f.startControlMachine(c, true)
	}
	for _, m := range f.machines {
		f.startProxy(m)
		f.startWorker(m)
	}
	f.tasks.Go("first-document", func(ctx context.Context) { f.operator.Send(ctx, f.draft, "", "") })
	if !waitFor(60*time.Second, f.allReady) {
		return errNotReady
	}
	f.logf("all nodes are ready")
	f.tasks.Every("readiness", time.Second, f.pollReadiness)
	f.tasks.Every("stall-watch", stallCheckInterval, f.watchStalls())
	sleep(2 * time.Second)
	return nil
}

// allReady returns whether every proxy is ready.
func (f *fleet) allReady() bool {
	for _, m := range f.machines {
		if !isReady(m.host) {
			return false
		}
	}
	return true
}

func isReady(host string) bool {
	code, _ := actors.CallNode(context.Background(), silentEnv("ready").Net, http.MethodGet, host+":7003", "/puffin/ready", nil, time.Second)
	return code == http.StatusOK
}

// pollReadiness acts like the platform: the callers of a machine get no new requests after
// two failed readiness checks, as long as fewer than half of the machines are excluded.
func (f *fleet) pollReadiness(context.Context) {
	excluded := 0
	for _, m := range f.machines {
		if m.client.Paused.Load() {
			excluded++
		}
	}
	for _, m := range f.machines {
		f.tasks.Go("poll-ready", func(context.Context) {
			ready := isReady(m.host)
			f.recorder.ReadinessProbed(m.name, ready)
			m.mu.Lock()
			m.failedChecks++
			if ready {
				m.failedChecks = 0
			}
			failedChecks := m.failedChecks
			m.mu.Unlock()
			m.client.Paused.Store(failedChecks >= 2 && 2*excluded < len(f.machines))
		})
	}
}

const (
	stallCheckInterval = 20 * time.Millisecond
	// stallBound is a delay of this process's own ticks beyond which the recorder's times are
	// meaningless, since its callers and workers were delayed as well.
	stallBound = 150 * time.Millisecond
)

// watchStalls records when this process itself was delayed.
func (f *fleet) watchStalls() func(context.Context) {
	last := time.Now()
	return func(context.Context) {
		now := time.Now()
		if gap := now.Sub(last); gap > stallCheckInterval+stallBound {
			f.stalls.Add(1)
			f.recorder.Faults.Unsettle(fmt.Sprintf("the soak itself stood still for %v", gap))
		}
		last = now
	}
}

// runLoad runs the load, the applications and the disruptions.
func (f *fleet) runLoad() {
	for _, m := range f.machines {
		edges := actors.EdgeRequests(f.lines, edgeRatePerMachine*float64(len(f.machines)))
		for _, l := range append([]*actors.RequestKind{edges}, f.lines...) {
			if l.Rate <= 0 {
				continue
			}
			f.tasks.Go("load", func(ctx context.Context) {
				m.client.Load(ctx, l, func() float64 {
					if !f.loadRunning.Load() {
						return 0
					}
					return l.Rate * float64(f.loadPercent.Load()) / 100 / float64(len(f.machines))
				})
			})
		}
	}
	f.loadRunning.Store(true)
	ctx, stop := context.WithCancel(context.Background())
	appsDone := make(chan struct{})
	f.tasks.Go("apps", func(context.Context) { f.apps.Run(ctx); close(appsDone) })
	f.runDisruptions()
	stop()
	<-appsDone
}

// settle waits until every proxy is ready, continues the load for a while, ends it and reads
// back the configuration and the data of the applications.
func (f *fleet) settle() {
	if !waitFor(20*time.Second, f.allReady) {
		f.reportViolation("not every node is ready after the last trouble")
	}
	sleep(f.recorder.Bounds.Connect + 3*time.Second)
	f.loadRunning.Store(false)
	f.operator.ReadBack(context.Background(), 5*time.Second, true)
	f.apps.Finish(context.Background())
	// Requests in flight end, and idle connections are closed.
	waitFor(f.longestTimeout()+time.Second, func() bool { return f.requestsInFlight() == 0 })
	for _, m := range f.machines {
		m.client.Close()
	}
	sleep(workerBehavior.IdleTimeout + time.Second)
}

// longestTimeout returns the longest time that a caller waits.
func (f *fleet) longestTimeout() (out time.Duration) {
	for _, l := range f.lines {
		out = max(out, l.Timeout)
	}
	return out
}

// requestsInFlight counts the requests without a response.
func (f *fleet) requestsInFlight() (n int) {
	for _, m := range f.machines {
		n += m.client.Pending()
	}
	return n
}

// report prints the results and returns whether there was no violation.
func (f *fleet) report(before, after usageByProgram) bool {
	print := func(format string, args ...any) { fmt.Fprintf(f.options.Out, format+"\n", args...) }
	violations, notes := f.recorder.Breaches()
	atRisk := f.recorder.Exposure()
	print("\n## soak, seed %d, %d machines, %v", f.options.Seed, f.options.Machines, f.options.Duration)
	print("\n| rule | broken | had to lose |\n| --- | --- | --- |")
	for _, rule := range checker.Rules {
		print("| %s | %d | %d |", rule, violations[rule], atRisk[rule])
	}
	for _, n := range notes {
		print("    %s", n)
	}
	for _, w := range f.violations {
		print("WRONG: %s", w)
	}
	served, expected := f.recorder.Served("", time.Time{}, time.Now())
	print("\nserved %d of %d; this program itself was held up %d times", served, expected, f.stalls.Load())
	tally := f.recorder.Outcomes()
	var names []string
	for n := range tally {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		print("  %s: %d", n, tally[n])
	}
	print("\n| program | descriptors at rest | after | links at rest | after | goroutines at rest | after | MB at rest | after |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, program := range programs {
		a, b := before[program], after[program]
		print("| %s | %d | %d | %d | %d | %d | %d | %d | %d |", program, a.files, b.files, a.links, b.links, a.goroutines, b.goroutines, a.memory>>20, b.memory>>20)
	}
	ok := len(violations) == 0 && len(f.violations) == 0
	print("\nseed %d: %s", f.options.Seed, map[bool]string{true: "nothing wrong", false: "FAILED"}[ok])
	return ok
}
