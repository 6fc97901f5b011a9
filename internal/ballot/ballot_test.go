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

// TestHeartbeatAfterVacate checks that messages which the holder sent before it stepped
// down and which arrive late do not count as contact: the role stays vacant until
// another number is promised.
func TestHeartbeatAfterVacate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		voter := ballot.NewVoter(ballot.Number{}, time.Second, func(ballot.Number) error { return nil })
		first, second := ballot.Number{Round: 1, Candidate: "a"}, ballot.Number{Round: 2, Candidate: "b"}
		if ok, _, _ := voter.Vote(first); !ok {
			t.Fatal("the first candidate is refused")
		}
		if ok, _, _ := voter.Vote(second); ok {
			t.Fatal("another candidate is promised while the holder's lease runs")
		}
		voter.Vacate(first)
		if ok, _, _ := voter.Heartbeat(first); !ok {
			t.Error("a heartbeat with the highest ballot is refused")
		}
		voter.RaisePromise(first)
		if _, silence := voter.Promised(); silence < time.Second {
			t.Errorf("last contact %v ago, want at least the lease", silence)
		}
		if ok, _, _ := voter.Vote(second); !ok {
			t.Error("the role is not vacant")
		}
		if ok, _, _ := voter.Heartbeat(second); !ok {
			t.Error("the new holder's heartbeat is refused")
		}
		if _, silence := voter.Promised(); silence > time.Second {
			t.Error("the new holder's heartbeat is not recorded")
		}
	})
}

// TestVoterDuringSlowSave checks that a voter still accepts heartbeats and reports its
// promise while a new promise waits for the disk, and that a promise which a higher one
// superseded meanwhile is not given.
func TestVoterDuringSlowSave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		saveResults := make(chan error)
		voter := ballot.NewVoter(ballot.Number{Round: 1, Candidate: "a"}, time.Second, func(ballot.Number) error { return <-saveResults })
		group := task.New(t.Context())
		defer group.Stop()
		timer := time.NewTimer(2 * time.Second)
		<-timer.C
		granted := make(chan bool, 1)
		group.Go("ask", func(context.Context) {
			ok, _, _ := voter.Vote(ballot.Number{Round: 2, Candidate: "b"})
			granted <- ok
		})
		synctest.Wait()
		if ok, _, _ := voter.Heartbeat(ballot.Number{Round: 1, Candidate: "a"}); !ok {
			t.Error("the holder's heartbeat is refused before another number is promised")
		}
		if promised, _ := voter.Promised(); promised.Round != 1 {
			t.Errorf("promised %v before it is durable", promised)
		}
		saveResults <- fault.New(fault.Stale, "an entry of a higher ballot was accepted")
		if <-granted {
			t.Error("a superseded promise was given")
		}
	})
}
