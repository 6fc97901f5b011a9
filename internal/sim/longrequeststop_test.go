package sim

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin/checker"
)

var longStopSeeds = flag.Int("long-stops", 2, "how many seeds TestStopsUnderLongWork plays")

// longRequestSite is a deployment whose workers run each request for seconds, so that a
// stop signal meets requests at any moment of their runs and of the grace period.
func longRequestSite(seed uint64) deployment {
	d := deploy(seed, 12, 8, 900*time.Microsecond, time.Millisecond, []string{"search", "plans", "notes"}, []int{5, 4, 3}, []routeRow{
		{kind: "find", repeat: "safe", service: "search", rate: 6, work: 1800, aim: 6000, left: 12000, back: 1500, further: 2, rank: 1, method: "GET", calls: map[string]float64{"note": 0.3}},
		{kind: "plan", repeat: "never", service: "plans", rate: 3, work: 4200, aim: 12000, left: 25000, size: 300, back: 300, further: 1, method: "POST", calls: map[string]float64{"note": 0.5}},
		{kind: "seats", repeat: "safe", service: "plans", rate: 2, work: 4500, aim: 12000, left: 25000, back: 3000, further: 2, rank: 2, method: "GET"},
		{kind: "scan", repeat: "upload", service: "notes", rate: 2, work: 2500, aim: 8000, left: 14000, size: 20000, back: 100, further: 1, rank: 2, method: "PUT"},
		{kind: "note", repeat: "safe", service: "notes", work: 200, aim: 600, left: 1500, back: 100, rank: 1, method: "GET"},
	}, 1)
	d.bounds.RetryAllowance = 60
	return d
}

// TestStopsUnderLongWork: while workers run each request for seconds, nodes get the
// stop signal one after the other and several at once, and settings are reloaded and
// the configuration changes meanwhile.
//
// Three faults showed here, in 11 of 24 seeds. A node whose own worker was running a
// request of its caller ended without answering it ("cut off ... 6.2 s after the order,
// sent on: true"), since only attempts at other nodes were ended by the stop. A request
// that reached a node more than 3 s after the stop signal was begun by an estimate of
// its run time and broken off where it took longer: one that came after 4.94 s got 504
// after 5.10 s. And a node that was stopping began runs for its peers that outlasted
// it.
func TestStopsUnderLongWork(t *testing.T) {
	t.Parallel()
	for n := range *longStopSeeds {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playLongStops(t, seed) })
		})
	}
}

func playLongStops(t *testing.T, seed uint64) {
	s := newSite(t, longRequestSite(seed), seed)
	logLines := collectEvents(s.Fleet)
	violations := s.runDay(40*time.Second, func() {
		Wait(3 * time.Second)
		end := time.Now().Add(30 * time.Second)
		for lane := range uint64(3) {
			a := faultRun{s, rand.New(rand.NewPCG(seed, 300+lane)), &[]*ControlMachine{}}
			s.g.Go("stops", func(context.Context) { a.stopNodesUntil(end) })
		}
		a := faultRun{s, rand.New(rand.NewPCG(seed, 310)), &[]*ControlMachine{}}
		for time.Now().Before(end) {
			draft := a.nextDraft()
			a.changeDraft(draft)
			a.op.Send(s.g.Context(), draft, "", "")
			Wait(a.ms(100, 600))
		}
		Wait(8 * time.Second)
	})
	if len(violations) > 0 {
		t.Errorf("rules broken: %v; requests without their worker's answer: %s", violations, strings.Join(logLines("unanswered"), "\n"))
	}
	if risk := s.recorder.Exposure()[checker.Lost]; risk < 50 {
		t.Errorf("only %d requests ended while their ingress was stopping: the test shows nothing", risk)
	}
	if served, expected := s.recorder.Served("", time.Time{}, time.Now()); served < expected*8/10 {
		t.Errorf("%d of %d served", served, expected)
	}
}

// stopNodesUntil stops and restarts one node after the other until end. A third of the
// nodes reload their settings shortly before the stop.
func (a faultRun) stopNodesUntil(end time.Time) {
	for time.Now().Before(end) {
		m := a.takeMachine(a.spareable)
		if m == nil {
			Wait(a.ms(50, 300))
			continue
		}
		endTouch := a.recorder.Faults.Begin(m.name, checker.Planned+"stop")
		if a.IntN(3) == 0 {
			a.recorder.ReloadSignaled(m.name)
			proxy, _ := a.processesOf(m.Node)
			proxy.Reload(proxy.Settings)
			Wait(a.ms(1, 800))
		}
		a.stopNode(m)
		Wait(a.ms(50, 400))
		a.startNode(m)
		endTouch()
		a.releaseMachine(m)
		Wait(a.ms(50, 1500))
	}
}
