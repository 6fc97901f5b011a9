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
	days    = flag.Int("days", 0, "how many seeded days to play; 0: the fixed few")
	daySeed = flag.Uint64("seed", 1, "seed of the first day")
	dayLong = flag.Duration("long", 40*time.Second, "how long each day's troubles and load last")
	dayOnly = flag.String("only", "", "troubles to play, by parts of their names with commas between; all if empty")
	dayLog  = flag.String("dayslog", "", "print the events of nodes whose name has this in it")
	dayRate = flag.Float64("rate", 0.12, "part of the deployment's full rate")
)

// fixedDays are the seeds of the ordinary run; between them they put every rule
// at risk.
var fixedDays = []uint64{12, 14, 18, 23}

// TestDays plays seeded days that mix all troubles and judges each by the
// witness's counts. By command, as docs/contributing.md tells:
// go test ./internal/sim -run 'TestDays$' -days 50 -seed 1
func TestDays(t *testing.T) { playDays(t, fixedDays, checker.Rules, usualSite) }

// oddDays are the seeds of the ordinary run at sites whose bounds are at odds.
// Between them they put every rule at risk that is counted by a bound.
var oddDays = []uint64{1, 2, 6, 8}

// TestOddDays plays days at sites that set each bound without a thought to the
// others: a change may take longer than the time after which all are in touch.
func TestOddDays(t *testing.T) {
	bounded := []string{checker.Drain, checker.Lost, checker.Config, checker.Budget, checker.Recover, checker.One, checker.Acks}
	playDays(t, oddDays, bounded, func(seed uint64) deployment { return usualSite(seed &^ 2).odd(seed) })
}

// playDays plays the fixed days, or as many as the flags say.
func playDays(t *testing.T, list []uint64, risky []string, of func(seed uint64) deployment) {
	heavy(t)
	if *days > 0 {
		list = nil
		for i := range uint64(*days) {
			list = append(list, *daySeed+i)
		}
	}
	var mu sync.Mutex
	risk := map[string]int{}
	t.Run("all", func(t *testing.T) {
		for _, seed := range list {
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					for rule, n := range playDay(t, of(seed), seed) {
						mu.Lock()
						risk[rule] += n
						mu.Unlock()
					}
				})
			})
		}
	})
	t.Logf("how often each rule had something to lose: %v", risk)
	// The fixed days put these rules at risk.
	for _, rule := range risky {
		if *days == 0 && risk[rule] == 0 {
			t.Errorf("%s was never at risk", rule)
		}
	}
}

// usualSite is the deployment of a seed in the two shapes first known.
func usualSite(seed uint64) deployment {
	d := reader(seed, *dayRate)
	if seed%2 == 1 {
		d = desks(seed, *dayRate)
	}
	// Every second pair of days is at a site that chose otherwise in all.
	if seed/2%2 == 1 {
		d = d.drawn(seed)
	}
	return d
}

func playDay(t *testing.T, d deployment, seed uint64) map[string]int {
	s := newSite(t, d, seed)
	if *dayLog != "" {
		s.Log = func(e event.Entry) {
			if strings.Contains(e.Node, *dayLog) {
				s.say("%s: %s %s", e.Node, e.Name, e.Text)
			}
		}
	}
	bad := s.day(*dayLong, s.mix)
	if len(bad) > 0 {
		t.Errorf("broken: %v", bad)
	}
	served, owed := s.wit.Served("", time.Time{}, time.Now())
	part, of := s.wit.Most()
	t.Logf("seed %d: %d of %d served, repeats at most %.2f of what is allowed (%s)", seed, served, owed, part, of)
	if owed == 0 || served < owed/2 {
		t.Errorf("%d of %d served", served, owed)
	}
	if t.Failed() || testing.Verbose() {
		t.Log("\n" + strings.Join(s.said, "\n"))
	}
	risk := s.wit.Risk()
	t.Logf("seed %d had to lose: %v", seed, risk)
	return risk
}

// mix plays a day's troubles: those of the core one after the other, the
// others whenever they come.
func (s *site) mix() {
	begin := time.Now()
	calm := 10 * time.Second
	var all []trouble
	for _, list := range [][]trouble{troubles, coreTroubles, docTroubles, s.d.more} {
		for _, x := range list {
			for _, part := range strings.Split(*dayOnly, ",") {
				if strings.Contains(x.name, part) {
					all = append(all, x)
					break
				}
			}
		}
	}
	var over sync.WaitGroup
	wait, turn := make(chan struct{}, s.d.bear), make(chan struct{}, 1)
	for range s.d.bear {
		wait <- struct{}{}
	}
	end := begin.Add(*dayLong - calm - 8*time.Second)
	for range 8 + s.rnd.IntN(14) {
		x := all[s.rnd.IntN(len(all))]
		at := begin.Add(time.Duration(s.rnd.Int64N(int64(end.Sub(begin)))))
		a := act{s, rand.New(rand.NewPCG(s.rnd.Uint64(), 41)), &[]*Core{}}
		over.Add(1)
		s.g.Go("trouble", func(context.Context) {
			defer over.Done()
			Wait(time.Until(at))
			// The deployment bears the loss of so many core machines at once.
			n := []int{0, 1, s.d.bear}[x.core]
			if n > 0 {
				turn <- struct{}{}
				for range n {
					<-wait
				}
				<-turn
			}
			defer func() {
				s.smu.Lock()
				for _, c := range *a.core {
					delete(s.held, c)
				}
				s.smu.Unlock()
				for range n {
					wait <- struct{}{}
				}
			}()
			// One that comes too late is left out.
			if time.Now().Before(end.Add(4 * time.Second)) {
				x.do(a)
			}
		})
	}
	over.Wait()
	if s.rnd.IntN(3) == 0 {
		s.closing()
	}
}

// closing ends the day with a fault of the whole right after a document was
// acknowledged; then all come back and traffic goes on.
func (s *site) closing() {
	a := act{s, rand.New(rand.NewPCG(s.rnd.Uint64(), 42)), &[]*Core{}}
	Wait(5 * time.Second)
	d := a.next()
	a.alter(d)
	a.op.Send(a.g.Context(), d, "", "")
	// All processes are killed, or all machines lose power, or one loses its
	// disk, alone or while all the others lose power.
	how := a.IntN(4)
	s.say("closing fault %d after document %d", how, d.Number)
	s.wit.Closing()
	ends := []func(){}
	lost := a.IntN(len(s.cores()))
	if how == 3 {
		s.killCore(s.cores()[lost], true)
		s.cores()[lost].Disk.Wipe()
		s.startCore(s.cores()[lost], false)
		s.wit.Back()
		Wait(22 * time.Second)
		return
	}
	for i, c := range s.cores() {
		s.killCore(c, how > 0)
		if how == 2 && i == lost {
			c.Disk.Wipe()
		}
	}
	for _, m := range s.all() {
		ends = append(ends, s.wit.Touch.Begin(m.name, "closing fault"))
		s.KillNode(m.Node)
	}
	Wait(a.ms(300, 1000))
	for _, c := range s.cores() {
		s.startCore(c, false)
	}
	for i, m := range s.all() {
		s.boot(m)
		ends[i]()
	}
	s.wit.Back()
	Wait(22 * time.Second)
}
