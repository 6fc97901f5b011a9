package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"puffincrank/internal/event"
)

// tightBounds holds the time bounds that the control plane must meet in its tests.
var tightBounds = map[string]any{"change_ms": json.Number("2000"), "return_ms": json.Number("15000"), "catch_up_ms": json.Number("4000"),
	"grace_ms": json.Number("6000"), "touch_ms": json.Number("3000"), "ack_ms": json.Number("4000")}

// coreFleet is a fleet of control-plane machines only, which records its events.
type coreFleet struct {
	*Fleet
	mu           sync.Mutex
	events       []event.Entry
	faults       []string
	start        time.Time
	replacements int
	seed         uint64
}

// newCoreFleet lays out control-plane machines whose seeds are the first three of them
// and that must tolerate the given number of losses; a disk sync takes 2 ms.
func newCoreFleet(t *testing.T, seed uint64, cores, tolerated int) *coreFleet {
	shape := Fumettoteca(0.1)
	shape.Nodes = 0
	fleet := &coreFleet{Fleet: NewFleet(t, shape, seed)}
	fleet.Settings, fleet.StoreSettings = tightBounds, map[string]any{"bear": json.Number(fmt.Sprint(tolerated))}
	fleet.ControlMachines, fleet.seedHosts = nil, nil
	for i := range cores {
		fleet.addCore(fmt.Sprintf("10.0.0.%d", i+1), Zones[i%3])
		if i < 3 {
			fleet.seedHosts = append(fleet.seedHosts, fleet.ControlMachines[i].Host)
		}
	}
	fleet.Log = func(entry event.Entry) {
		fleet.mu.Lock()
		fleet.events = append(fleet.events, entry)
		fleet.mu.Unlock()
	}
	return fleet
}

func (l *coreFleet) addCore(host, area string) *ControlMachine {
	core := &ControlMachine{Host: host, Zone: area, Disk: NewDisk()}
	core.Disk.SetSyncDelay(2 * time.Millisecond)
	l.Fleet.mu.Lock()
	l.ControlMachines = append(l.ControlMachines, core)
	l.Fleet.mu.Unlock()
	return core
}

// logEvents logs the events of the last period, to explain a failure.
func (l *coreFleet) logEvents(t *testing.T, period time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.events {
		if time.Since(e.Time) < period {
			t.Log(e.Time.Sub(l.start).Round(time.Millisecond), e.Name, e.Node, e.Text)
		}
	}
}

// countEvents returns how many events of a kind were recorded.
func (l *coreFleet) countEvents(kind event.Kind) (total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.events {
		if e.Number == kind.Number {
			total++
		}
	}
	return total
}

// startAll starts all machines at once and waits for a leader.
func (l *coreFleet) startAll() time.Duration {
	for _, c := range l.ControlMachines {
		l.RestartControlMachine(c)
	}
	return l.Until(15*time.Second, "a store leads", func() bool { return l.Leader() != nil })
}

// putKey writes a key through the registry of a control-plane machine. It returns the
// revision, or 0 if the write was not acknowledged.
func (l *coreFleet) putKey(core *ControlMachine, key, value string) uint64 {
	code, answer := l.Request("PUT", core.Host+":7003", "/puffin/keys/"+key+"?left_ms=1000", fmt.Sprintf(`{"value":%q}`, value))
	revision, _ := answer["rev"].(float64)
	if code != 200 {
		return 0
	}
	return uint64(revision)
}

// timeToWrite measures the time until any running machine acknowledges a write that
// began after the call. Every 10 ms it starts a write at each machine.
func (l *coreFleet) timeToWrite(bound time.Duration) time.Duration {
	start := time.Now()
	done := make(chan time.Duration, 1<<12)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	var pending sync.WaitGroup
	took := time.Duration(0)
	for i := 0; took == 0; i++ {
		for _, c := range l.ControlMachines {
			if c.Registry == nil {
				continue
			}
			pending.Add(1)
			l.g.Go("next", func(context.Context) {
				defer pending.Done()
				if l.putKey(c, fmt.Sprint("next", i), "v") > 0 {
					done <- time.Since(start)
				}
			})
		}
		tick := time.NewTimer(10 * time.Millisecond)
		select {
		case took = <-done:
		case <-tick.C:
		case <-ctx.Done():
			l.T.Fatalf("no write was acknowledged within %v", bound)
		}
		tick.Stop()
	}
	pending.Wait()
	return took
}

// members returns the addresses of the voting stores, as the leader reports them.
func (l *coreFleet) members() map[string]bool {
	members := map[string]bool{}
	leader := l.Leader()
	if leader == nil {
		return members
	}
	_, answer := l.Get(leader.Host+":7004", "/puffin/ready")
	list, _ := answer["members"].([]any)
	for _, m := range list {
		row, _ := m.(map[string]any)
		members[hostOf(fmt.Sprint(row["addr"]))] = true
	}
	return members
}

// writeKeys writes keys through all machines and returns the acknowledged ones with
// their revisions.
func (l *coreFleet) writeKeys(total int) map[string]uint64 {
	acknowledged := map[string]uint64{}
	for i := range total {
		core := l.ControlMachines[i%len(l.ControlMachines)]
		if core.Registry == nil {
			continue
		}
		key := fmt.Sprint("mark", i)
		if revision := l.putKey(core, key, key); revision > 0 {
			acknowledged[key] = revision
		}
	}
	if len(acknowledged) < total/2 {
		l.T.Fatalf("only %d of %d writes were acknowledged", len(acknowledged), total)
	}
	return acknowledged
}

// checkKeys fails the test if an acknowledged write can't be read back.
func (l *coreFleet) checkKeys(acknowledged map[string]uint64) {
	l.T.Helper()
	for key, rev := range acknowledged {
		found, answers := false, []string(nil)
		for _, c := range l.ControlMachines {
			if c.Registry == nil || found {
				continue
			}
			code, answer := l.Get(c.Host+":7003", "/puffin/keys/"+key+"?left_ms=2000")
			answers = append(answers, fmt.Sprint(c.Host, " ", code, " ", answer))
			found = code == 200 && answer["value"] == key && answer["rev"] == float64(rev)
			if code == 200 && !found {
				l.T.Errorf("%s reads as %v, but was acknowledged with revision %d", key, answer, rev)
			}
		}
		if !found {
			l.T.Errorf("%s, acknowledged with revision %d, is lost: %v", key, rev, answers)
		}
	}
}

// settled reports whether exactly the wanted number of stores vote, all voters run
// and all stores are ready.
func (l *coreFleet) settled(want int) bool {
	members, running := l.members(), 0
	for _, c := range l.controlMachines() {
		if c.Store != nil && members[c.Host] {
			running++
		}
	}
	return running == want && len(members) == want && l.controlPlaneReady()
}
