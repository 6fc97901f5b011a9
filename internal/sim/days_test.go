package sim

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/standin/checker"
)

var (
	days        = flag.Int("days", 0, "number of seeded days to simulate; 0 takes the fixed seeds")
	daySeed     = flag.Uint64("seed", 1, "seed of the first day")
	dayLength   = flag.Duration("long", 40*time.Second, "how long the faults and the load of each day last")
	faultFilter = flag.String("only", "", "faults to inject, as comma-separated parts of their names; empty for all")
	eventFilter = flag.String("dayslog", "", "print the events of nodes whose name contains this")
	dayRate     = flag.Float64("rate", 0.12, "share of the deployment's full request rate")
)

// fixedSeeds are the seeds of the default run. Together they exercise every rule of
// the checker.
var fixedSeeds = []uint64{12, 14, 18, 23}

// TestDays simulates seeded days that mix all kinds of faults and checks each against
// the rules of the checker. To run more days, as docs/contributing.md explains:
// go test ./internal/sim -run 'TestDays$' -days 50 -seed 1
func TestDays(t *testing.T) { playDays(t, fixedSeeds, checker.Rules, baseDeployment) }

// oddSeeds are the seeds of the default run at sites whose time bounds conflict.
// Together they exercise every rule that depends on a bound.
var oddSeeds = []uint64{1, 2, 6, 8}

// TestOddDays simulates days at sites that choose each time bound independently, so
// that, for example, a change may take longer than the time in which machines
// reconnect.
func TestOddDays(t *testing.T) {
	boundedRules := []string{checker.Drain, checker.Lost, checker.Config, checker.Budget, checker.Recover, checker.One, checker.Acks}
	playDays(t, oddSeeds, boundedRules, func(seed uint64) deployment { return baseDeployment(seed &^ 2).odd(seed) })
}

// playDays simulates the days of the given seeds, or those that the flags select.
func playDays(t *testing.T, seedList []uint64, rulesAtRisk []string, deploymentOf func(seed uint64) deployment) {
	heavy(t)
	if *days > 0 {
		seedList = nil
		for i := range uint64(*days) {
			seedList = append(seedList, *daySeed+i)
		}
	}
	var mu sync.Mutex
	riskCounts := map[string]int{}
	t.Run("all", func(t *testing.T) {
		for _, seed := range seedList {
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					for rule, n := range playDay(t, deploymentOf(seed), seed) {
						mu.Lock()
						riskCounts[rule] += n
						mu.Unlock()
					}
				})
			})
		}
	})
	t.Logf("how often each rule was exercised: %v", riskCounts)
	// The fixed seeds must exercise these rules.
	for _, rule := range rulesAtRisk {
		if *days == 0 && riskCounts[rule] == 0 {
			t.Errorf("rule %s was never exercised", rule)
		}
	}
}

// baseDeployment returns the deployment of a seed, in one of two shapes.
func baseDeployment(seed uint64) deployment {
	layout := reader(seed, *dayRate)
	if seed%2 == 1 {
		layout = desks(seed, *dayRate)
	}
	// Every second pair of seeds gets a site with random settings.
	if seed/2%2 == 1 {
		layout = layout.drawn(seed)
	}
	return layout
}

func playDay(t *testing.T, layout deployment, seed uint64) map[string]int {
	testSite := newSite(t, layout, seed)
	if *eventFilter != "" {
		testSite.Log = func(entry event.Entry) {
			if strings.Contains(entry.Node, *eventFilter) {
				testSite.say("%s: %s %s", entry.Node, entry.Name, entry.Text)
			}
		}
	}
	violations := testSite.day(*dayLength, testSite.injectFaults)
	if len(violations) > 0 {
		t.Errorf("violated rules: %v", violations)
	}
	served, owed := testSite.wit.Served("", time.Time{}, time.Now())
	share, service := testSite.wit.Most()
	t.Logf("seed %d: %d of %d requests served, retries used at most %.2f of their budget (%s)", seed, served, owed, share, service)
	if owed == 0 || served < owed/2 {
		t.Errorf("only %d of %d requests were served", served, owed)
	}
	if t.Failed() || testing.Verbose() {
		t.Log("\n" + strings.Join(testSite.said, "\n"))
	}
	riskCounts := testSite.wit.Risk()
	t.Logf("seed %d exercised: %v", seed, riskCounts)
	return riskCounts
}

// injectFaults runs the random faults of a day, which may overlap. Faults of the
// control plane wait until no more machines are disturbed than the deployment
// tolerates losing.
func (s *site) injectFaults() {
	begin := time.Now()
	quietEnd := 10 * time.Second
	var eligible []trouble
	for _, kinds := range [][]trouble{troubles, coreTroubles, docTroubles, s.d.more} {
		for _, chosen := range kinds {
			for _, part := range strings.Split(*faultFilter, ",") {
				if strings.Contains(chosen.name, part) {
					eligible = append(eligible, chosen)
					break
				}
			}
		}
	}
	var pending sync.WaitGroup
	spareCores, turn := make(chan struct{}, s.d.bear), make(chan struct{}, 1)
	for range s.d.bear {
		spareCores <- struct{}{}
	}
	end := begin.Add(*dayLength - quietEnd - 8*time.Second)
	for range 8 + s.rnd.IntN(14) {
		chosen := eligible[s.rnd.IntN(len(eligible))]
		when := begin.Add(time.Duration(s.rnd.Int64N(int64(end.Sub(begin)))))
		run := act{s, rand.New(rand.NewPCG(s.rnd.Uint64(), 41)), &[]*Core{}}
		pending.Add(1)
		s.g.Go("trouble", func(context.Context) {
			defer pending.Done()
			Wait(time.Until(when))
			// How many control-plane machines the fault may disturb.
			disturbed := []int{0, 1, s.d.bear}[chosen.core]
			if disturbed > 0 {
				turn <- struct{}{}
				for range disturbed {
					<-spareCores
				}
				<-turn
			}
			defer func() {
				s.smu.Lock()
				for _, c := range *run.core {
					delete(s.held, c)
				}
				s.smu.Unlock()
				for range disturbed {
					spareCores <- struct{}{}
				}
			}()
			// A fault that waited too long is skipped.
			if time.Now().Before(end.Add(4 * time.Second)) {
				chosen.do(run)
			}
		})
	}
	pending.Wait()
	if s.rnd.IntN(3) == 0 {
		s.injectFinalFault()
	}
}

// injectFinalFault ends the day with a fault right after a configuration was
// acknowledged; then all machines return and traffic continues.
func (s *site) injectFinalFault() {
	run := act{s, rand.New(rand.NewPCG(s.rnd.Uint64(), 42)), &[]*Core{}}
	Wait(5 * time.Second)
	draft := run.next()
	run.alter(draft)
	run.op.Send(run.g.Context(), draft, "", "")
	// 0: all processes are killed; 1: all machines lose power; 2: as 1, and one
	// control-plane machine loses its disk; 3: only one such machine loses power and its disk.
	kind := run.IntN(4)
	s.say("closing fault %d after configuration %d", kind, draft.Number)
	s.wit.Closing()
	endRecords := []func(){}
	lost := run.IntN(len(s.cores()))
	if kind == 3 {
		s.killCore(s.cores()[lost], true)
		s.cores()[lost].Disk.Wipe()
		s.startCore(s.cores()[lost], false)
		s.wit.Back()
		Wait(22 * time.Second)
		return
	}
	for i, c := range s.cores() {
		s.killCore(c, kind > 0)
		if kind == 2 && i == lost {
			c.Disk.Wipe()
		}
	}
	for _, m := range s.all() {
		endRecords = append(endRecords, s.wit.Touch.Begin(m.name, "closing fault"))
		s.KillNode(m.Node)
	}
	Wait(run.ms(300, 1000))
	for _, c := range s.cores() {
		s.startCore(c, false)
	}
	for i, m := range s.all() {
		s.boot(m)
		endRecords[i]()
	}
	s.wit.Back()
	Wait(22 * time.Second)
}
