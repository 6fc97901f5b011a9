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

// tight are the bounds under which a core must do its work in the tests of it.
var tight = map[string]any{"change_ms": json.Number("2000"), "return_ms": json.Number("15000"), "catch_up_ms": json.Number("4000"),
	"grace_ms": json.Number("6000"), "touch_ms": json.Number("3000"), "ack_ms": json.Number("4000")}

// lab is a fleet of core machines only, with its events.
type lab struct {
	*Fleet
	mu   sync.Mutex
	seen []event.Entry
	say  []string
	from time.Time
	made int
	seed uint64
}

// newLab lays out so many core machines, told of the first three, that are to
// bear the loss of some; each disk takes 2 ms a sync.
func newLab(t *testing.T, seed uint64, cores, bear int) *lab {
	s := Fumettoteca(0.1)
	s.Nodes = 0
	l := &lab{Fleet: NewFleet(t, s, seed)}
	l.Told, l.Stores = tight, map[string]any{"bear": json.Number(fmt.Sprint(bear))}
	l.Cores, l.seedAt = nil, nil
	for i := range cores {
		l.add(fmt.Sprintf("10.0.0.%d", i+1), Areas[i%3])
		if i < 3 {
			l.seedAt = append(l.seedAt, l.Cores[i].Host)
		}
	}
	l.Log = func(e event.Entry) {
		l.mu.Lock()
		l.seen = append(l.seen, e)
		l.mu.Unlock()
	}
	return l
}

func (l *lab) add(host, area string) *Core {
	c := &Core{Host: host, Area: area, Disk: NewDisk()}
	c.Disk.Slow(2 * time.Millisecond)
	l.Fleet.mu.Lock()
	l.Cores = append(l.Cores, c)
	l.Fleet.mu.Unlock()
	return c
}

// tell prints the newest events, for a failure.
func (l *lab) tell(t *testing.T, back time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.seen {
		if time.Since(e.Time) < back {
			t.Log(e.Time.Sub(l.from).Round(time.Millisecond), e.Name, e.Node, e.Text)
		}
	}
}

// count tells how often an event was heard of.
func (l *lab) count(k event.Kind) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.seen {
		if e.Number == k.Number {
			n++
		}
	}
	return n
}

// up starts all machines at once and waits until one writes.
func (l *lab) up() time.Duration {
	for _, c := range l.Cores {
		l.BackCore(c)
	}
	return l.Until(15*time.Second, "a store writes", func() bool { return l.Writer() != nil })
}

// put is one write through a core machine's registry; the number is its
// revision, 0 when it did not go through.
func (l *lab) put(at *Core, key, value string) uint64 {
	code, got := l.Ask("PUT", at.Host+":7003", "/puffin/keys/"+key+"?left_ms=1000", fmt.Sprintf(`{"value":%q}`, value))
	rev, _ := got["rev"].(float64)
	if code != 200 {
		return 0
	}
	return uint64(rev)
}

// next measures the time until a write that begins from now on is acknowledged
// by any machine that runs: one begins every 10 ms.
func (l *lab) next(bound time.Duration) time.Duration {
	from := time.Now()
	done := make(chan time.Duration, 1<<12)
	ctx, end := context.WithTimeout(context.Background(), bound)
	defer end()
	var wait sync.WaitGroup
	took := time.Duration(0)
	for i := 0; took == 0; i++ {
		for _, c := range l.Cores {
			if c.Registry == nil {
				continue
			}
			wait.Add(1)
			l.g.Go("next", func(context.Context) {
				defer wait.Done()
				if l.put(c, fmt.Sprint("next", i), "v") > 0 {
					done <- time.Since(from)
				}
			})
		}
		tick := time.NewTimer(10 * time.Millisecond)
		select {
		case took = <-done:
		case <-tick.C:
		case <-ctx.Done():
			l.T.Fatalf("no write went through within %v", bound)
		}
		tick.Stop()
	}
	wait.Wait()
	return took
}

// places gives the addresses of the stores that vote, as the writer has them.
func (l *lab) places() map[string]bool {
	out := map[string]bool{}
	w := l.Writer()
	if w == nil {
		return out
	}
	_, got := l.Get(w.Host+":7004", "/puffin/ready")
	list, _ := got["members"].([]any)
	for _, m := range list {
		row, _ := m.(map[string]any)
		out[host(fmt.Sprint(row["addr"]))] = true
	}
	return out
}

// marks writes keys through all machines and notes what was acknowledged.
func (l *lab) marks(n int) map[string]uint64 {
	out := map[string]uint64{}
	for i := range n {
		at := l.Cores[i%len(l.Cores)]
		if at.Registry == nil {
			continue
		}
		key := fmt.Sprint("mark", i)
		if rev := l.put(at, key, key); rev > 0 {
			out[key] = rev
		}
	}
	if len(out) < n/2 {
		l.T.Fatalf("only %d of %d writes went through", len(out), n)
	}
	return out
}

// holds fails the test if something that was acknowledged can't be read back.
func (l *lab) holds(k map[string]uint64) {
	l.T.Helper()
	for key, rev := range k {
		ok, said := false, []string(nil)
		for _, c := range l.Cores {
			if c.Registry == nil || ok {
				continue
			}
			code, got := l.Get(c.Host+":7003", "/puffin/keys/"+key+"?left_ms=2000")
			said = append(said, fmt.Sprint(c.Host, " ", code, " ", got))
			ok = code == 200 && got["value"] == key && got["rev"] == float64(rev)
			if code == 200 && !ok {
				l.T.Errorf("%s is %v, was acknowledged with revision %d", key, got, rev)
			}
		}
		if !ok {
			l.T.Errorf("%s, acknowledged with revision %d, is gone: %v", key, rev, said)
		}
	}
}

// settled tells whether so many stores vote, all of which run, and all stores
// are ready.
func (l *lab) settled(want int) bool {
	at, n := l.places(), 0
	for _, c := range l.cores() {
		if c.Store != nil && at[c.Host] {
			n++
		}
	}
	return n == want && len(at) == want && l.coreReady()
}
