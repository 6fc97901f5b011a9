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
	days        = flag.Int("days", 0, "how many seeded days to play; 0: the fixed few")
	daySeed     = flag.Uint64("seed", 1, "seed of the first day")
	dayLength   = flag.Duration("long", 40*time.Second, "how long each day's troubles and load last")
	faultFilter = flag.String("only", "", "troubles to play, by parts of their names with commas between; all if empty")
	eventFilter = flag.String("dayslog", "", "print the events of nodes whose name has this in it")
	dayRate     = flag.Float64("rate", 0.12, "part of the deployment's full rate")
)

// fixedSeeds are the seeds of the ordinary run; between them they put every rule
// at risk.
var fixedSeeds = []uint64{12, 14, 18, 23}

// TestDays plays seeded days that mix all troubles and judges each by the
// witness's counts. By command, as docs/contributing.md tells:
// go test ./internal/sim -run 'TestDays$' -days 50 -seed 1
func TestDays(t *testing.T) { playDays(t, fixedSeeds, checker.Rules, baseDeployment) }

// oddSeeds are the seeds of the ordinary run at sites whose bounds are at odds.
// Between them they put every rule at risk that is counted by a bound.
var oddSeeds = []uint64{1, 2, 6, 8}

// TestOddDays plays days at sites that set each bound without a thought to the
// others: a change may take longer than the time after which all are in touch.
func TestOddDays(t *testing.T) {
	boundedRules := []string{checker.Drain, checker.Lost, checker.Config, checker.Budget, checker.Recover, checker.One, checker.Acks}
	playDays(t, oddSeeds, boundedRules, func(seed uint64) deployment { return baseDeployment(seed &^ 2).odd(seed) })
}

// playDays plays the fixed days, or as many as the flags say.
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
	t.Logf("how often each rule had something to lose: %v", riskCounts)
	// The fixed days put these rules at risk.
	for _, rule := range rulesAtRisk {
		if *days == 0 && riskCounts[rule] == 0 {
			t.Errorf("%s was never at risk", rule)
		}
	}
}

// baseDeployment is the deployment of a seed in the two shapes first known.
func baseDeployment(seed uint64) deployment {
	chosen := reader(seed, *dayRate)
	if seed%2 == 1 {
		chosen = desks(seed, *dayRate)
	}
	// Every second pair of days is at a site that chose otherwise in all.
	if seed/2%2 == 1 {
		chosen = chosen.drawn(seed)
	}
	return chosen
}

func playDay(t *testing.T, chosen deployment, seed uint64) map[string]int {
	simulated := newSite(t, chosen, seed)
	if *eventFilter != "" {
		simulated.Log = func(entry event.Entry) {
			if strings.Contains(entry.Node, *eventFilter) {
				simulated.say("%s: %s %s", entry.Node, entry.Name, entry.Text)
			}
		}
	}
	violations := simulated.day(*dayLength, simulated.injectFaults)
	if len(violations) > 0 {
		t.Errorf("broken: %v", violations)
	}
	served, owed := simulated.wit.Served("", time.Time{}, time.Now())
	share, service := simulated.wit.Most()
	t.Logf("seed %d: %d of %d served, repeats at most %.2f of what is allowed (%s)", seed, served, owed, share, service)
	if owed == 0 || served < owed/2 {
		t.Errorf("%d of %d served", served, owed)
	}
	if t.Failed() || testing.Verbose() {
		t.Log("\n" + strings.Join(simulated.said, "\n"))
	}
	riskCounts := simulated.wit.Risk()
	t.Logf("seed %d had to lose: %v", seed, riskCounts)
	return riskCounts
}

// injectFaults plays a day's troubles: those of the core one after the other, the
// others whenever they come.
func (s *site) injectFaults() {
	begin := time.Now()
	quietEnd := 10 * time.Second
	var eligible []trouble
	for _, list := range [][]trouble{troubles, coreTroubles, docTroubles, s.d.more} {
		for _, chosen := range list {
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
		at := begin.Add(time.Duration(s.rnd.Int64N(int64(end.Sub(begin)))))
		run := act{s, rand.New(rand.NewPCG(s.rnd.Uint64(), 41)), &[]*Core{}}
		pending.Add(1)
		s.g.Go("trouble", func(context.Context) {
			defer pending.Done()
			Wait(time.Until(at))
			// The deployment bears the loss of so many core machines at once.
			n := []int{0, 1, s.d.bear}[chosen.core]
			if n > 0 {
				turn <- struct{}{}
				for range n {
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
				for range n {
					spareCores <- struct{}{}
				}
			}()
			// One that comes too late is left out.
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

// injectFinalFault ends the day with a fault of the whole right after a document was
// acknowledged; then all come back and traffic goes on.
func (s *site) injectFinalFault() {
	run := act{s, rand.New(rand.NewPCG(s.rnd.Uint64(), 42)), &[]*Core{}}
	Wait(5 * time.Second)
	draft := run.next()
	run.alter(draft)
	run.op.Send(run.g.Context(), draft, "", "")
	// All processes are killed, or all machines lose power, or one loses its
	// disk, alone or while all the others lose power.
	kind := run.IntN(4)
	s.say("closing fault %d after document %d", kind, draft.Number)
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
