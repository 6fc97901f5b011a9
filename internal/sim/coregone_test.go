package sim

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// coreOff ends the whole core at one moment: its machines are dark, or their
// processes are killed. If wiped is set, as many disks are lost as the core is
// to bear, that of the one that wrote first.
func (f *Fleet) coreOff(dark, wiped bool) {
	w := f.mark(f.Writer())
	lost := []*Core{w}
	for _, c := range f.Cores {
		if c != w && len(lost) < len(f.Cores)/2 {
			lost = append(lost, c)
		}
	}
	for _, c := range f.Cores {
		if dark {
			f.Net.Isolate(c.Host, true)
		}
		f.KillCore(c, dark)
	}
	for _, c := range lost {
		if wiped {
			c.Disk.Wipe()
		}
	}
}

// coreOn starts it again, and gives the time until a store writes.
func (f *Fleet) coreOn() time.Duration {
	for _, c := range f.Cores {
		f.Net.Isolate(c.Host, false)
		f.BackCore(c)
	}
	from := time.Now()
	for f.Writer() == nil && time.Since(from) < 15*time.Second {
		Wait(5 * time.Millisecond)
	}
	return time.Since(from)
}

// slowest gives the longest call of each service that began in a time, and how
// many of all were not answered with 200.
func (f *Fleet) slowest(from, to time.Time) (most map[string]time.Duration, all, bad int) {
	most = map[string]time.Duration{}
	for _, c := range f.Obs.Calls() {
		if c.From.Before(from) || c.From.After(to) {
			continue
		}
		all++
		if c.Status != 200 {
			bad++
		}
		most[c.Service] = max(most[c.Service], c.To.Sub(c.From))
	}
	return most, all, bad
}

// TestCoreGone: the whole core is gone at once, right after it acknowledged a
// change, and comes back, with the writer's disk lost or not, while all
// proxies live on. Jobs don't feel it; a writer stands a moment after the core
// is back; what was acknowledged is read back everywhere, and no proxy was
// started anew.
func TestCoreGone(t *testing.T) {
	t.Parallel()
	for i, c := range []struct {
		name        string
		dark, wiped bool
		away        time.Duration
		cores       int
	}{
		{"killed for a moment", false, false, 400 * time.Millisecond, 3},
		{"killed, the writer's disk lost", false, true, 800 * time.Millisecond, 3},
		{"without power, the writer's disk lost", true, true, 1300 * time.Millisecond, 3},
		{"without power for long", true, false, 6 * time.Second, 3},
		{"five without power, two disks lost", true, true, 1300 * time.Millisecond, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(3) {
				synctest.Test(t, func(t *testing.T) {
					s := Fumettoteca(0.2)
					s.Nodes = 6
					f := NewFleet(t, s, 740+seed*10+uint64(i))
					f.Told = tight
					for i := len(f.Cores); i < c.cores; i++ {
						f.Cores = append(f.Cores, &Core{Host: fmt.Sprint("10.0.0.", 50+i), Area: Areas[i%3], Disk: NewDisk()})
						f.Stores = map[string]any{"bear": json.Number(fmt.Sprint(c.cores / 2))}
					}
					defer f.Stop()
					f.Start()
					k := f.keep()
					wait := f.Load(s.Lines, 6*time.Second+c.away)
					Wait(3 * time.Second)
					code, v := f.Apply(f.Cores[1].Host+":7003", 1, s.Doc)
					if code != 200 {
						t.Fatalf("apply answered %d", code)
					}
					k.version = float64(v)
					calm, _, _ := f.slowest(time.Now().Add(-2*time.Second), time.Now())
					if f.Stores == nil {
						f.Stores = map[string]any{}
					}
					f.Stores["founding"] = false
					off := time.Now()
					f.coreOff(c.dark, c.wiped)
					Wait(c.away)
					took := f.coreOn()
					on := time.Now()
					f.Until(5*time.Second, "all nodes know the version again", f.Whole)
					t.Logf("seed %d: a writer %v after the start, all nodes %v later", seed, took.Round(time.Millisecond), time.Since(on).Round(time.Millisecond))
					if took > 400*time.Millisecond {
						t.Errorf("no writer for %v after the start", took)
					}
					f.still(k)
					wait()
					gone, all, bad := f.slowest(off, on)
					t.Logf("%d jobs meanwhile, %d without 200; slowest %v, calm %v", all, bad, gone, calm)
					for service, d := range gone {
						if d > calm[service]+60*time.Millisecond {
							t.Errorf("a job of %s took %v while the core was gone, %v before", service, d, calm[service])
						}
					}
					if bad > 0 {
						t.Errorf("%d jobs failed", bad)
					}
					for _, n := range f.Nodes {
						if n.starts > 1 {
							t.Errorf("%s was started again", n.Host)
						}
						_, got := f.Get(n.Host+":7003", "/puffin/ready")
						if got["config_version"] != k.version {
							t.Errorf("%s has %v, %v was acknowledged", n.Host, got, k.version)
						}
					}
					f.Judge()
				})
			}
		})
	}
}
