package sim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestHistory: a watch can look back for 20 seconds, across a writer's change
// and a restart of all stores from their files; much older starts are told the
// oldest revision kept. A lock is free after its time, across a change of writer.
func TestHistory(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, small(), 140)
		defer f.Stop()
		f.Start()
		addr := f.Nodes[0].Host + ":7003"
		put := func() uint64 {
			code, got := f.Ask("PUT", addr, "/puffin/keys/h", `{"value":"x"}`)
			if code != 200 {
				t.Fatalf("put answered %d", code)
			}
			return uint64(got["rev"].(float64))
		}
		firstRev := put()
		start := time.Now()
		Wait(5 * time.Second)
		f.KillCore(f.mark(f.Writer()), true)
		f.serves(10 * time.Second)
		f.BackCore(f.marked)
		Wait(3 * time.Second)
		for _, c := range f.Cores {
			f.KillCore(c, true)
		}
		for _, c := range f.Cores {
			f.BackCore(c)
		}
		f.serves(15 * time.Second)
		// Histories are trimmed when something is written.
		for time.Since(start) < 20*time.Second {
			f.Ask("PUT", addr, "/puffin/keys/other", `{"value":"x"}`)
			Wait(min(time.Second, 20*time.Second-time.Since(start)))
		}
		code, got := f.Get(addr, fmt.Sprintf("/puffin/watch?prefix=h&from=%d", firstRev))
		changes, _ := got["changes"].([]any)
		if code != 200 || len(changes) != 1 {
			t.Errorf("a watch from 20 s ago: %d %v", code, got)
		}
		for range 60 {
			put()
			Wait(time.Second)
		}
		code, got = f.Get(addr, fmt.Sprintf("/puffin/watch?prefix=h&from=%d", firstRev))
		oldest, _ := got["oldest"].(float64)
		if code != 410 || uint64(oldest) <= firstRev {
			t.Errorf("a watch from a minute ago: %d %v", code, got)
		}
		code, got = f.Get(addr, fmt.Sprintf("/puffin/watch?prefix=h&from=%.0f", oldest))
		// The history may have been trimmed in between, once: a higher one is told.
		if later, _ := got["oldest"].(float64); code == 410 && later > oldest {
			code, _ = f.Get(addr, fmt.Sprintf("/puffin/watch?prefix=h&from=%.0f", later))
		}
		if code != 200 {
			t.Errorf("a watch from the oldest: %d %v", code, got)
		}

		acquire := func(owner string) int {
			code, _ := f.Ask("POST", addr, "/puffin/locks/l/acquire", `{"owner":"`+owner+`","ttl_ms":3000}`)
			return code
		}
		if code := acquire("a"); code != 200 {
			t.Fatalf("acquire answered %d", code)
		}
		Wait(2500 * time.Millisecond)
		if code := acquire("b"); code != 409 {
			t.Errorf("taken before its time ran out: %d", code)
		}
		f.KillCore(f.mark(f.Writer()), true)
		f.serves(10 * time.Second)
		f.BackCore(f.marked)
		f.Until(2*time.Second, "the lock is free again", func() bool { return acquire("c") == 200 })
	})
}

// TestLockTime: a lock outlives its holder's silence by its time to live,
// whatever the writers; a new one goes on with what is left and counts neither
// anew nor less, and whoever asks gets the lock at once when its time is over.
// When all stores lost power it runs once more in full, since nobody knows
// what is left. Before, every change of writer let it run anew.
func TestLockTime(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, small(), 141)
		defer f.Stop()
		f.Start()
		addr := f.Nodes[0].Host + ":7003"
		acquire := func(owner string) int {
			code, _ := f.raw("POST", addr, "/puffin/app/locks/l", `{"owner":"`+owner+`","ttl_ms":9000}`)
			return code
		}
		for round, changes := range [][]int{{}, {0}, {0, 1}, {0, 1, 2}} {
			owner := fmt.Sprint("a", round)
			start := time.Now()
			f.Until(5*time.Second, "the lock is taken", func() bool { start = time.Now(); return acquire(owner) == 200 })
			for i := range changes {
				Wait(2 * time.Second)
				c := f.mark(f.Writer())
				if i == 2 {
					// The last one loses its power with those that just came back.
					for _, c := range f.Cores {
						f.KillCore(c, true)
					}
					for _, c := range f.Cores {
						f.BackCore(c)
					}
					start = time.Now()
				} else {
					f.KillCore(c, true)
					f.serves(10 * time.Second)
					f.BackCore(c)
				}
			}
			f.Until(15*time.Second, "another gets it", func() bool { return acquire("b") == 200 })
			took := time.Since(start)
			t.Logf("writers changed %d times: free %v after it was asked for", len(changes), took)
			if took < 9*time.Second || took > 9*time.Second+150*time.Millisecond {
				t.Errorf("after %d changes of writer: free after %v", len(changes), took)
			}
			if code, _ := f.raw("PUT", addr, "/puffin/app/locks/l", `{"owner":"`+owner+`","fence":1,"ttl_ms":9000}`); code != 409 {
				t.Errorf("the one before can renew: %d", code)
			}
			if f.raw("DELETE", addr, "/puffin/app/locks/l", fmt.Sprintf(`{"owner":"b","fence":%d}`, f.fence("l"))); acquire("c") != 200 {
				t.Error("not given back")
			}
			f.raw("DELETE", addr, "/puffin/app/locks/l", fmt.Sprintf(`{"owner":"c","fence":%d}`, f.fence("l")))
		}
	})
}

// fence reads who holds a lock under which fence.
func (f *Fleet) fence(lock string) int {
	_, got := f.Get(f.Nodes[0].Host+":7003", "/puffin/locks/"+lock)
	fence, _ := got["fence"].(float64)
	return int(fence)
}
