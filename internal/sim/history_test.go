package sim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestHistory: a watch can look back for 20 seconds, across a writer's change
// and a restart of all stores from their files; much older starts are told the
// oldest revision kept. A lock outlives its holder's silence by its time to
// live and no longer, and a new writer lets it run in full.
func TestHistory(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, small(), 140)
		defer f.Stop()
		f.Start()
		at := f.Nodes[0].Host + ":7003"
		put := func() uint64 {
			code, got := f.Ask("PUT", at, "/puffin/keys/h", `{"value":"x"}`)
			if code != 200 {
				t.Fatalf("put answered %d", code)
			}
			return uint64(got["rev"].(float64))
		}
		first := put()
		from := time.Now()
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
		Wait(20*time.Second - time.Since(from))
		code, got := f.Get(at, fmt.Sprintf("/puffin/watch?prefix=h&from=%d", first))
		list, _ := got["changes"].([]any)
		if code != 200 || len(list) != 1 {
			t.Errorf("a watch from 20 s ago: %d %v", code, got)
		}
		for range 60 {
			put()
			Wait(time.Second)
		}
		code, got = f.Get(at, fmt.Sprintf("/puffin/watch?prefix=h&from=%d", first))
		oldest, _ := got["oldest"].(float64)
		if code != 410 || uint64(oldest) <= first {
			t.Errorf("a watch from a minute ago: %d %v", code, got)
		}
		if code, _ = f.Get(at, fmt.Sprintf("/puffin/watch?prefix=h&from=%.0f", oldest)); code != 200 {
			t.Errorf("a watch from the oldest: %d", code)
		}

		take := func(who string) int {
			code, _ := f.Ask("POST", at, "/puffin/locks/l/acquire", `{"owner":"`+who+`","ttl_ms":3000}`)
			return code
		}
		if code := take("a"); code != 200 {
			t.Fatalf("acquire answered %d", code)
		}
		Wait(2500 * time.Millisecond)
		if code := take("b"); code != 409 {
			t.Errorf("taken before its time ran out: %d", code)
		}
		// The new writer counts from its own start: no sooner than 3 s.
		f.KillCore(f.mark(f.Writer()), true)
		f.serves(10 * time.Second)
		began := time.Now()
		f.Until(6*time.Second, "the lock is free again", func() bool { return take("b") == 200 })
		if took := time.Since(began); took < 2*time.Second {
			t.Errorf("a new writer freed the lock after %v", took)
		}
		f.BackCore(f.marked)
	})
}
