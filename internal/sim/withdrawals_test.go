package sim

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin/checker"
)

var seedsPerTrouble = flag.Int("withdrawals", 1, "how many seeds each trouble is played with in TestWithdrawals")

// TestWithdrawals plays each trouble while workers leave before, during and after it,
// in various manners, and callers disconnect all the time. A second trouble overlaps
// the first. No guarantee may be violated: in particular no request reaches a worker
// that left, and no retryable run goes on for a caller that left.
// By command: go test ./internal/sim -run 'TestWithdrawals$' -withdrawals 10 -seed 1
func TestWithdrawals(t *testing.T) {
	skipUnderRace(t)
	all := append(append(append([]dayFault(nil), generalFaults...), controlPlaneTroubles...), configFaults...)
	for i, disturbance := range all {
		for n := range *seedsPerTrouble {
			seed := *firstSeed + uint64(100*i+n)
			t.Run(fmt.Sprintf("%s, seed %d", disturbance.name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runWithdrawals(t, disturbance, all, seed) })
			})
		}
	}
}

// leaveOffsets are the times at which workers leave. The first trouble begins at 1 s.
var leaveOffsets = []time.Duration{0, 1200 * time.Millisecond, 3500 * time.Millisecond}

func runWithdrawals(t *testing.T, first dayFault, all []dayFault, seed uint64) {
	d := readerDeployment(seed, 0.12)
	if seed%2 == 1 {
		d = bookingDeployment(seed, 0.12)
	}
	s := newSite(t, d, seed)
	random := rand.New(rand.NewPCG(seed, 71))
	second := all[random.IntN(len(all))]
	for second.core != noCore && first.core != noCore {
		second = all[random.IntN(len(all))]
	}
	violations := s.runDay(20*time.Second, func() {
		for _, m := range s.all() {
			m.client.SetEarlyLeaveShare(0.3)
		}
		begin := time.Now()
		for _, lead := range leaveOffsets {
			s.g.Go("leave", func(context.Context) { s.workerLeavesAt(begin.Add(lead)) })
		}
		s.g.Go("first", func(context.Context) { s.runTroubleAt(begin.Add(time.Second), first, seed) })
		s.g.Go("second", func(context.Context) { s.runTroubleAt(begin.Add(2*time.Second), second, seed+1) })
	})
	if len(violations) > 0 {
		t.Errorf("guarantees violated by %s with %s: %v\n%s", first.name, second.name, violations, s.actionLog)
	}
	risk := s.recorder.Exposure()
	t.Logf("%s with %s: %d checks at leaving workers, %d for callers that left", first.name, second.name, risk[checker.Drain], risk[checker.Gone])
	if risk[checker.Gone] == 0 {
		t.Error("no caller left during its run, which the test needs")
	}
}

// workerLeavesAt makes a random worker leave at a given time, in a manner that the
// worker chooses, and starts another one in its place.
func (s *site) workerLeavesAt(at time.Time) {
	a := faultRun{s, rand.New(rand.NewPCG(uint64(at.UnixNano()), 72)), &[]*ControlMachine{}}
	Wait(time.Until(at))
	m := a.takeMachine(a.spareable)
	if m == nil {
		return
	}
	defer a.releaseMachine(m)
	a.say("worker of %s leaves", m.name)
	m.worker.Leave(context.Background())
	a.startWorker(m)
}

// runTroubleAt runs a trouble at a given time, with a random source of its own.
func (s *site) runTroubleAt(at time.Time, disturbance dayFault, seed uint64) {
	a := faultRun{s, rand.New(rand.NewPCG(seed, 73)), &[]*ControlMachine{}}
	Wait(time.Until(at))
	disturbance.do(a)
	s.siteMu.Lock()
	defer s.siteMu.Unlock()
	for _, c := range *a.heldCores {
		delete(s.inTrouble, c)
	}
}
