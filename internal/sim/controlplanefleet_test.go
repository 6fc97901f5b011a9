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

// tight holds the time bounds that the control plane must meet in its tests.
var tight = map[string]any{"change_ms": json.Number("2000"), "return_ms": json.Number("15000"), "catch_up_ms": json.Number("4000"),
	"grace_ms": json.Number("6000"), "touch_ms": json.Number("3000"), "ack_ms": json.Number("4000")}

// lab is a fleet of control-plane machines only, which records its events.
type lab struct {
	*Fleet
	mu     sync.Mutex
	events []event.Entry
	faults []string
	from   time.Time
	made   int
	seed   uint64
}

// newLab lays out control-plane machines whose seeds are the first three of them
// and that must tolerate the given number of losses; a disk sync takes 2 ms.
func newLab(t *testing.T, seed uint64, cores, tolerated int) *lab {
	shape := Fumettoteca(0.1)
	shape.Nodes = 0
	fleet := &lab{Fleet: NewFleet(t, shape, seed)}
	fleet.Told, fleet.Stores = tight, map[string]any{"bear": json.Number(fmt.Sprint(tolerated))}
	fleet.Cores, fleet.seedAt = nil, nil
	for i := range cores {
		fleet.add(fmt.Sprintf("10.0.0.%d", i+1), Areas[i%3])
		if i < 3 {
			fleet.seedAt = append(fleet.seedAt, fleet.Cores[i].Host)
		}
	}
	fleet.Log = func(entry event.Entry) {
		fleet.mu.Lock()
		fleet.events = append(fleet.events, entry)
		fleet.mu.Unlock()
	}
	return fleet
}

func (l *lab) add(host, area string) *Core {
	core := &Core{Host: host, Area: area, Disk: NewDisk()}
	core.Disk.Slow(2 * time.Millisecond)
	l.Fleet.mu.Lock()
	l.Cores = append(l.Cores, core)
	l.Fleet.mu.Unlock()
	return core
}

// tell logs the events of the last period, to explain a failure.
func (l *lab) tell(t *testing.T, period time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.events {
		if time.Since(e.Time) < period {
			t.Log(e.Time.Sub(l.from).Round(time.Millisecond), e.Name, e.Node, e.Text)
		}
	}
}

// count returns how many events of a kind were recorded.
func (l *lab) count(kind event.Kind) (total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.events {
		if e.Number == kind.Number {
			total++
		}
	}
	return total
}

// up starts all machines at once and waits for a leader.
func (l *lab) up() time.Duration {
	for _, c := range l.Cores {
		l.BackCore(c)
	}
	return l.Until(15*time.Second, "a store leads", func() bool { return l.Writer() != nil })
}

// put writes a key through the registry of a control-plane machine. It returns the
// revision, or 0 if the write was not acknowledged.
func (l *lab) put(core *Core, key, value string) uint64 {
	code, answer := l.Ask("PUT", core.Host+":7003", "/puffin/keys/"+key+"?left_ms=1000", fmt.Sprintf(`{"value":%q}`, value))
	revision, _ := answer["rev"].(float64)
	if code != 200 {
		return 0
	}
	return uint64(revision)
}

// next measures the time until any running machine acknowledges a write that
// began after the call. Every 10 ms it starts a write at each machine.
func (l *lab) next(bound time.Duration) time.Duration {
	start := time.Now()
	done := make(chan time.Duration, 1<<12)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	var pending sync.WaitGroup
	took := time.Duration(0)
	for i := 0; took == 0; i++ {
		for _, c := range l.Cores {
			if c.Registry == nil {
				continue
			}
			pending.Add(1)
			l.g.Go("next", func(context.Context) {
				defer pending.Done()
				if l.put(c, fmt.Sprint("next", i), "v") > 0 {
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

// places returns the addresses of the voting stores, as the leader reports them.
func (l *lab) places() map[string]bool {
	members := map[string]bool{}
	leader := l.Writer()
	if leader == nil {
		return members
	}
	_, answer := l.Get(leader.Host+":7004", "/puffin/ready")
	list, _ := answer["members"].([]any)
	for _, m := range list {
		row, _ := m.(map[string]any)
		members[host(fmt.Sprint(row["addr"]))] = true
	}
	return members
}

// marks writes keys through all machines and returns the acknowledged ones with
// their revisions.
func (l *lab) marks(total int) map[string]uint64 {
	acknowledged := map[string]uint64{}
	for i := range total {
		core := l.Cores[i%len(l.Cores)]
		if core.Registry == nil {
			continue
		}
		key := fmt.Sprint("mark", i)
		if revision := l.put(core, key, key); revision > 0 {
			acknowledged[key] = revision
		}
	}
	if len(acknowledged) < total/2 {
		l.T.Fatalf("only %d of %d writes were acknowledged", len(acknowledged), total)
	}
	return acknowledged
}

// holds fails the test if an acknowledged write can't be read back.
func (l *lab) holds(acknowledged map[string]uint64) {
	l.T.Helper()
	for key, rev := range acknowledged {
		found, answers := false, []string(nil)
		for _, c := range l.Cores {
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
func (l *lab) settled(want int) bool {
	members, running := l.places(), 0
	for _, c := range l.cores() {
		if c.Store != nil && members[c.Host] {
			running++
		}
	}
	return running == want && len(members) == want && l.coreReady()
}
