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
	dayCount    = flag.Int("days", 0, "number of seeded days to simulate; 0 takes the fixed seeds")
	firstSeed   = flag.Uint64("seed", 1, "seed of the first day")
	dayLength   = flag.Duration("long", 40*time.Second, "how long the faults and the load of each day last")
	faultFilter = flag.String("only", "", "faults to inject, as comma-separated parts of their names; empty for all")
	eventFilter = flag.String("dayslog", "", "print the events of nodes whose name contains this")
	rateShare   = flag.Float64("rate", 0.12, "share of the deployment's full request rate")
)

// fixedSeeds are the seeds of the default run. Together they exercise every rule of
// the checker.
var fixedSeeds = []uint64{12, 14, 18, 23}

// TestDays simulates seeded days that mix all kinds of faults and checks each against
// the rules of the checker. To run more days, as docs/contributing.md explains:
// go test ./internal/sim -run 'TestDays$' -days 50 -seed 1
func TestDays(t *testing.T) { runDays(t, fixedSeeds, checker.Rules, baseDeployment) }

// oddSeeds are the seeds of the default run at sites whose time bounds conflict.
// Together they exercise every rule that depends on a bound.
var oddSeeds = []uint64{1, 2, 6, 8}

// TestOddDays simulates days at sites that choose each time bound independently, so
// that, for example, a change may take longer than the time in which machines
// reconnect.
func TestOddDays(t *testing.T) {
	boundedRules := []string{checker.Drain, checker.Lost, checker.Config, checker.Budget, checker.Recover, checker.One, checker.Acks}
	runDays(t, oddSeeds, boundedRules, func(seed uint64) deployment { return baseDeployment(seed &^ 2).randomizedBounds(seed) })
}

// runDays simulates the days of the given seeds, or those that the flags select.
func runDays(t *testing.T, seedList []uint64, rulesAtRisk []string, deploymentOf func(seed uint64) deployment) {
	skipUnderRace(t)
	if *dayCount > 0 {
		seedList = nil
		for i := range uint64(*dayCount) {
			seedList = append(seedList, *firstSeed+i)
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
		if *dayCount == 0 && riskCounts[rule] == 0 {
			t.Errorf("rule %s was never exercised", rule)
		}
	}
}

// baseDeployment returns the deployment of a seed, in one of two shapes.
func baseDeployment(seed uint64) deployment {
	layout := readerDeployment(seed, *rateShare)
	if seed%2 == 1 {
		layout = bookingDeployment(seed, *rateShare)
	}
	// Every second pair of seeds gets a site with random settings.
	if seed/2%2 == 1 {
		layout = layout.randomized(seed)
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
	violations := testSite.runDay(*dayLength, testSite.injectFaults)
	if len(violations) > 0 {
		t.Errorf("violated rules: %v", violations)
	}
	served, owed := testSite.recorder.Served("", time.Time{}, time.Now())
	share, service := testSite.recorder.FullestRetryWindow()
	t.Logf("seed %d: %d of %d requests served, retries used at most %.2f of their budget (%s)", seed, served, owed, share, service)
	if owed == 0 || served < owed/2 {
		t.Errorf("only %d of %d requests were served", served, owed)
	}
	if t.Failed() || testing.Verbose() {
		t.Log("\n" + strings.Join(testSite.actionLog, "\n"))
	}
	riskCounts := testSite.recorder.Exposure()
	t.Logf("seed %d exercised: %v", seed, riskCounts)
	return riskCounts
}

// injectFaults runs the random faults of a day, which may overlap. Faults of the
// control plane wait until no more machines are disturbed than the deployment
// tolerates losing.
func (s *site) injectFaults() {
	begin := time.Now()
	quietEnd := 10 * time.Second
	var eligible []dayFault
	for _, kinds := range [][]dayFault{generalFaults, controlPlaneTroubles, configFaults, s.deployment.extraTroubles} {
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
	spareCores, turn := make(chan struct{}, s.deployment.tolerated), make(chan struct{}, 1)
	for range s.deployment.tolerated {
		spareCores <- struct{}{}
	}
	end := begin.Add(*dayLength - quietEnd - 8*time.Second)
	for range 8 + s.random.IntN(14) {
		chosen := eligible[s.random.IntN(len(eligible))]
		when := begin.Add(time.Duration(s.random.Int64N(int64(end.Sub(begin)))))
		run := faultRun{s, rand.New(rand.NewPCG(s.random.Uint64(), 41)), &[]*ControlMachine{}}
		pending.Add(1)
		s.g.Go("trouble", func(context.Context) {
			defer pending.Done()
			Wait(time.Until(when))
			// How many control-plane machines the fault may disturb.
			disturbed := []int{0, 1, s.deployment.tolerated}[chosen.core]
			if disturbed > 0 {
				turn <- struct{}{}
				for range disturbed {
					<-spareCores
				}
				<-turn
			}
			defer func() {
				s.siteMu.Lock()
				for _, c := range *run.heldCores {
					delete(s.inTrouble, c)
				}
				s.siteMu.Unlock()
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
	if s.random.IntN(3) == 0 {
		s.injectFinalFault()
	}
}

// injectFinalFault ends the day with a fault right after a configuration was
// acknowledged; then all machines return and traffic continues.
func (s *site) injectFinalFault() {
	run := faultRun{s, rand.New(rand.NewPCG(s.random.Uint64(), 42)), &[]*ControlMachine{}}
	Wait(5 * time.Second)
	draft := run.nextDraft()
	run.changeDraft(draft)
	run.op.Send(run.g.Context(), draft, "", "")
	// 0: all processes are killed; 1: all machines lose power; 2: as 1, and one
	// control-plane machine loses its disk; 3: only one such machine loses power and its disk.
	kind := run.IntN(4)
	s.say("closing fault %d after configuration %d", kind, draft.Number)
	s.recorder.FinalFaultStarted()
	endRecords := []func(){}
	lost := run.IntN(len(s.controlMachines()))
	if kind == 3 {
		s.killCore(s.controlMachines()[lost], true)
		s.controlMachines()[lost].Disk.Wipe()
		s.startCore(s.controlMachines()[lost], false)
		s.recorder.FinalFaultEnded()
		Wait(22 * time.Second)
		return
	}
	for i, c := range s.controlMachines() {
		s.killCore(c, kind > 0)
		if kind == 2 && i == lost {
			c.Disk.Wipe()
		}
	}
	for _, m := range s.all() {
		endRecords = append(endRecords, s.recorder.Faults.Begin(m.name, "closing fault"))
		s.KillNode(m.Node)
	}
	Wait(run.ms(300, 1000))
	for _, c := range s.controlMachines() {
		s.startCore(c, false)
	}
	for i, m := range s.all() {
		s.startNode(m)
		endRecords[i]()
	}
	s.recorder.FinalFaultEnded()
	Wait(22 * time.Second)
}
