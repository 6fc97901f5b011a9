package ballot_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/fault"
	"puffincrank/internal/task"
)

// TestVacated: what a holder still had under way when it gave the role up is no
// sign of life: the role stays vacant until another number is promised.
func TestVacated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := ballot.NewVoter(ballot.Number{}, time.Second, func(ballot.Number) error { return nil })
		a, b := ballot.Number{Round: 1, Candidate: "a"}, ballot.Number{Round: 2, Candidate: "b"}
		if ok, _, _ := v.Vote(a); !ok {
			t.Fatal("the first is turned away")
		}
		if ok, _, _ := v.Vote(b); ok {
			t.Fatal("one is promised while the holder is heard")
		}
		v.Vacate(a)
		if ok, _, _ := v.Heartbeat(a); !ok {
			t.Error("its ballot still is the highest")
		}
		v.RaisePromise(a)
		if _, quiet := v.Promised(); quiet < time.Second {
			t.Errorf("heard %v ago", quiet)
		}
		if ok, _, _ := v.Vote(b); !ok {
			t.Error("the duty is not vacant")
		}
		if ok, _, _ := v.Heartbeat(b); !ok {
			t.Error("the new holder is turned away")
		}
		if _, quiet := v.Promised(); quiet > time.Second {
			t.Error("the new holder is not heard")
		}
	})
}

// TestHangingPromise: while a promise waits for the disk, the holder is heard
// and the promise told; one that was overtaken meanwhile is not given.
func TestHangingPromise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := make(chan error)
		v := ballot.NewVoter(ballot.Number{Round: 1, Candidate: "a"}, time.Second, func(ballot.Number) error { return <-disk })
		g := task.New(t.Context())
		defer g.Stop()
		wait := time.NewTimer(2 * time.Second)
		<-wait.C
		got := make(chan bool, 1)
		g.Go("ask", func(context.Context) {
			ok, _, _ := v.Vote(ballot.Number{Round: 2, Candidate: "b"})
			got <- ok
		})
		synctest.Wait()
		if ok, _, _ := v.Heartbeat(ballot.Number{Round: 1, Candidate: "a"}); !ok {
			t.Error("the holder is turned away before another is promised")
		}
		if promised, _ := v.Promised(); promised.Round != 1 {
			t.Errorf("promised %v before it is kept", promised)
		}
		disk <- fault.New(fault.Stale, "a version of a higher ballot was accepted")
		if <-got {
			t.Error("an overtaken promise was given")
		}
	})
}
