package sim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestHistory: a watch can start up to 20 seconds in the past, across a change of
// leader and a restart of all stores from their files. A watch from a much older
// revision is answered with the oldest revision kept. A lock is free after its time to
// live, across a change of leader.
func TestHistory(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, smallShape(), 140)
		defer f.Stop()
		f.Start()
		addr := f.Nodes[0].Host + ":7003"
		put := func() uint64 {
			code, got := f.Request("PUT", addr, "/puffin/keys/h", `{"value":"x"}`)
			if code != 200 {
				t.Fatalf("put answered %d", code)
			}
			return uint64(got["rev"].(float64))
		}
		firstRev := put()
		start := time.Now()
		Wait(5 * time.Second)
		f.KillControlMachine(f.markFaulted(f.Leader()), true)
		f.untilWritable(10 * time.Second)
		f.RestartControlMachine(f.faulted)
		Wait(3 * time.Second)
		for _, c := range f.ControlMachines {
			f.KillControlMachine(c, true)
		}
		for _, c := range f.ControlMachines {
			f.RestartControlMachine(c)
		}
		f.untilWritable(15 * time.Second)
		// History is trimmed only when something is written.
		for time.Since(start) < 20*time.Second {
			f.Request("PUT", addr, "/puffin/keys/other", `{"value":"x"}`)
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
		// The history may have been trimmed once in between; then a higher oldest
		// revision is returned.
		if later, _ := got["oldest"].(float64); code == 410 && later > oldest {
			code, _ = f.Get(addr, fmt.Sprintf("/puffin/watch?prefix=h&from=%.0f", later))
		}
		if code != 200 {
			t.Errorf("a watch from the oldest revision: %d %v", code, got)
		}

		acquire := func(owner string) int {
			code, _ := f.Request("POST", addr, "/puffin/locks/l/acquire", `{"owner":"`+owner+`","ttl_ms":3000}`)
			return code
		}
		if code := acquire("a"); code != 200 {
			t.Fatalf("acquire answered %d", code)
		}
		Wait(2500 * time.Millisecond)
		if code := acquire("b"); code != 409 {
			t.Errorf("acquired by another before the time to live ran out: %d", code)
		}
		f.KillControlMachine(f.markFaulted(f.Leader()), true)
		f.untilWritable(10 * time.Second)
		f.RestartControlMachine(f.faulted)
		f.Until(2*time.Second, "the lock is free again", func() bool { return acquire("c") == 200 })
	})
}

// TestLockTime: a lock outlives its silent holder by its time to live, whoever leads. A
// new leader continues with the remaining time, neither restarting nor shortening it,
// and another client gets the lock as soon as the time is over. After a power loss of
// all stores the full time to live runs once more, since the remaining time is unknown.
// Earlier, every change of leader restarted the time.
func TestLockTime(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, smallShape(), 141)
		defer f.Stop()
		f.Start()
		addr := f.Nodes[0].Host + ":7003"
		acquire := func(owner string) int {
			code, _ := f.requestRaw("POST", addr, "/puffin/app/locks/l", `{"owner":"`+owner+`","ttl_ms":9000}`)
			return code
		}
		for round, changes := range [][]int{{}, {0}, {0, 1}, {0, 1, 2}} {
			owner := fmt.Sprint("a", round)
			start := time.Now()
			f.Until(5*time.Second, "the lock is acquired", func() bool { start = time.Now(); return acquire(owner) == 200 })
			for i := range changes {
				Wait(2 * time.Second)
				c := f.markFaulted(f.Leader())
				if i == 2 {
					// The third leader loses power together with the two that have just
					// returned.
					for _, c := range f.ControlMachines {
						f.KillControlMachine(c, true)
					}
					for _, c := range f.ControlMachines {
						f.RestartControlMachine(c)
					}
					start = time.Now()
				} else {
					f.KillControlMachine(c, true)
					f.untilWritable(10 * time.Second)
					f.RestartControlMachine(c)
				}
			}
			f.Until(15*time.Second, "another client gets the lock", func() bool { return acquire("b") == 200 })
			took := time.Since(start)
			t.Logf("%d changes of leader: lock free %v after it was requested", len(changes), took)
			if took < 9*time.Second || took > 9*time.Second+150*time.Millisecond {
				t.Errorf("after %d changes of leader: lock free after %v", len(changes), took)
			}
			if code, _ := f.requestRaw("PUT", addr, "/puffin/app/locks/l", `{"owner":"`+owner+`","fence":1,"ttl_ms":9000}`); code != 409 {
				t.Errorf("the former holder can renew: %d", code)
			}
			if f.requestRaw("DELETE", addr, "/puffin/app/locks/l", fmt.Sprintf(`{"owner":"b","fence":%d}`, f.fence("l"))); acquire("c") != 200 {
				t.Error("the lock was not released")
			}
			f.requestRaw("DELETE", addr, "/puffin/app/locks/l", fmt.Sprintf(`{"owner":"c","fence":%d}`, f.fence("l")))
		}
	})
}

// fence returns the fencing token under which a lock is held.
func (f *Fleet) fence(lock string) int {
	_, got := f.Get(f.Nodes[0].Host+":7003", "/puffin/locks/"+lock)
	fence, _ := got["fence"].(float64)
	return int(fence)
}
