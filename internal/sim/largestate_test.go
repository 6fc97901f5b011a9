package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
)

// fillState writes keys of 60 KiB each until the state holds about the given number of
// bytes, and returns the acknowledged revisions by key.
func (l *coreFleet) fillState(bytes int) map[string]uint64 {
	const size = 60 << 10
	value := strings.Repeat("x", size)
	revisions := map[string]uint64{}
	for i := range bytes / size {
		key := fmt.Sprint("large", i)
		core := l.ControlMachines[i%3]
		for range 10 {
			if rev := l.putKey(core, key, key+value[len(key):]); rev > 0 {
				revisions[key] = rev
				break
			}
			Wait(50 * time.Millisecond)
		}
	}
	if len(revisions) < bytes/size {
		l.T.Fatalf("%d of %d large keys were acknowledged", len(revisions), bytes/size)
	}
	return revisions
}

// keepWriting writes a small key at every interval until stop is called, which returns
// the number of acknowledged writes and the longest time one took.
func (l *coreFleet) keepWriting(interval time.Duration) (stop func() (acknowledged int, slowest time.Duration)) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var mu sync.Mutex
	count, slowest := 0, time.Duration(0)
	running.Add(1)
	go func() {
		defer running.Done()
		for i := 0; ctx.Err() == nil; i++ {
			Wait(interval)
			cores := l.controlMachines()
			core := cores[i%len(cores)]
			if _, registry := l.controlProcessesOf(core); registry == nil {
				continue
			}
			running.Add(1)
			go func() {
				defer running.Done()
				start := time.Now()
				if l.putKey(core, fmt.Sprint("small", i%100), "v") > 0 {
					mu.Lock()
					count++
					slowest = max(slowest, time.Since(start))
					mu.Unlock()
				}
			}()
		}
	}()
	return func() (int, time.Duration) {
		cancel()
		running.Wait()
		return count, slowest
	}
}

// checkLargeKeys fails the test if a large key lacks its acknowledged revision.
func (l *coreFleet) checkLargeKeys(core *ControlMachine, revisions map[string]uint64) {
	l.T.Helper()
	for key, rev := range revisions {
		code, got := l.Get(core.Host+":7003", "/puffin/keys/"+key+"?left_ms=3000")
		value, _ := got["value"].(string)
		if code != 200 || got["rev"] != float64(rev) || !strings.HasPrefix(value, key) {
			l.T.Fatalf("%s: %d, revision %v, was acknowledged with %d", key, code, got["rev"], rev)
		}
	}
}

// isMember reports whether a machine's store is a voting member whose applied log index
// is at most lag entries behind the leader's.
func (l *coreFleet) isMember(c, leader *ControlMachine, lag float64) bool {
	_, ready := l.Get(c.Host+":7004", "/puffin/ready")
	_, leaderReady := l.Get(leader.Host+":7004", "/puffin/ready")
	applied, _ := ready["version_slot"].(float64)
	leaderApplied, _ := leaderReady["version_slot"].(float64)
	return ready["role"] == "follow" && l.members()[c.Host] && applied > 0 && applied+lag >= leaderApplied
}

// TestLargeStateRefilled: a member that lost its disk fetches a state larger than any
// message in chunks, while 200 writes a second continue; also over slow links, with
// five members, and with the sender killed midway. Afterwards, with three members,
// another one may lose its disk too.
func TestLargeStateRefilled(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name       string
		cores, mib int
		rate       int // bytes a second on every link, 0 for any
		kill       bool
		within     time.Duration
	}{
		{"three, 1 MiB", 3, 1, 0, false, 4 * time.Second},
		{"three, 20 MiB", 3, 20, 0, false, 20 * time.Second},
		{"five, 10 MiB", 5, 10, 0, false, 20 * time.Second},
		{"three, 10 MiB, thin links", 3, 10, 1 << 20, false, 60 * time.Second},
		{"five, 10 MiB, the sender is killed", 5, 10, 0, true, 30 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				l := newCoreFleet(t, 870, c.cores, (c.cores-1)/2)
				l.StoreSettings["state_bytes"] = json.Number(fmt.Sprint(64 << 20))
				defer l.Stop()
				l.startAll()
				l.Until(4*time.Second, "all voters have joined", func() bool { return len(l.members()) == c.cores })
				l.StoreSettings["founding"] = false
				written := l.fillState(c.mib << 20)
				for _, core := range l.ControlMachines {
					if c.rate > 0 {
						l.Net.LimitHost(core.Host, c.rate)
					}
				}
				leader := l.Leader()
				lost := l.ControlMachines[slices.IndexFunc(l.ControlMachines, func(c *ControlMachine) bool { return c != leader })]
				stop := l.keepWriting(5 * time.Millisecond)
				Wait(time.Second)
				l.KillControlMachine(lost, true)
				lost.Disk.Wipe()
				Wait(300 * time.Millisecond)
				start := time.Now()
				l.RestartControlMachine(lost)
				if c.kill {
					Wait(60 * time.Millisecond)
					l.KillControlMachine(leader, true)
					Wait(500 * time.Millisecond)
					l.RestartControlMachine(leader)
				}
				l.Until(c.within, "the wiped store is a member again and up to date", func() bool {
					current := l.Leader()
					return current != nil && l.isMember(lost, current, 64)
				})
				took := time.Since(start)
				n, slowest := stop()
				t.Logf("up to date after %v; %d writes meanwhile, the slowest took %v", took.Round(time.Millisecond), n, slowest.Round(time.Millisecond))
				if n < 50 {
					t.Errorf("only %d writes went through meanwhile", n)
				}
				for _, core := range l.ControlMachines {
					if core != lost && core.Store != nil && faultTolerance(c.cores) == 1 {
						l.KillControlMachine(core, true)
						core.Disk.Wipe()
						break
					}
				}
				l.timeToWrite(8 * time.Second)
				l.checkLargeKeys(lost, written)
			})
		})
	}
}

// TestStateBounded: once the state has reached its size bound, a change that would
// enlarge it is refused without effect, and the refusal says why. Deletes, which free
// space, the commands that keep the control plane running, lease renewals and reads are
// still served, and a warning event precedes the first refusal.
func TestStateBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := newCoreFleet(t, 880, 3, 1)
		l.StoreSettings["state_bytes"] = json.Number(fmt.Sprint(1 << 20))
		defer l.Stop()
		l.startAll()
		value := strings.Repeat("y", 60<<10)
		accepted, refused := 0, 0
		for i := range 30 {
			code, got := l.Request("PUT", l.ControlMachines[i%3].Host+":7003", fmt.Sprintf("/puffin/keys/k%d?left_ms=1000", i), fmt.Sprintf(`{"value":%q}`, value))
			switch {
			case code == 200 && refused == 0:
				accepted++
			case code == 503:
				refused++
				if warned := l.countEvents(event.StateLarge); warned == 0 {
					t.Error("refused without a warning before")
				}
			default:
				t.Errorf("key %d: %d %v", i, code, got)
			}
		}
		if accepted < 5 || refused < 5 {
			t.Fatalf("%d were accepted and %d refused", accepted, refused)
		}
		addr := l.ControlMachines[0].Host + ":7003"
		if code, _ := l.Request("DELETE", addr, "/puffin/keys/k0", ""); code != 200 {
			t.Errorf("a delete: %d", code)
		}
		if code, _ := l.Get(addr, "/puffin/keys/k1"); code != 200 {
			t.Errorf("a read: %d", code)
		}
		for i := range 3 {
			l.Request("DELETE", addr, fmt.Sprintf("/puffin/keys/k%d", i+1), "")
		}
		// History expires after its retention time, which frees space.
		l.Until(60*time.Second, "writes are accepted again", func() bool { return l.putKey(l.ControlMachines[0], "small", "v") > 0 })
	})
}
