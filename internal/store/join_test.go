package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/paxos"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

// peer is a node at an address that answers as the test says.
func peer(t *testing.T, road *transport.LocalNet, addr string, answers func(*transport.Node)) {
	t.Helper()
	g := task.New(context.Background())
	n := transport.NewNode(transport.Hello{ClusterID: "m", Node: addr}, env.Env{Net: road, WallClock: time.Now, Log: event.New(addr, nil)}, g, 1<<20, 8, time.Second)
	answers(n)
	if err := n.Listen(addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		n.Close()
		g.Stop()
	})
}

// says answers what a store holds, after a while.
func says(got probeResponse, after time.Duration) func(*transport.Node) {
	return func(n *transport.Node) {
		transport.Handle(n, "store.found", func(ctx context.Context, _ transport.Hello, _ probeRequest) (probeResponse, error) {
			task.Sleep(ctx, after)
			return got, ctx.Err()
		})
	}
}

// TestNewestSource: a store without a place is refilled from the peer that has
// applied most when nobody leads, whoever answers first and whoever never answers;
// from one that names a leader otherwise, unless that leader was not there the last
// time.
func TestNewestSource(t *testing.T) {
	behind, newest := probeResponse{Slot: 485}, probeResponse{Slot: 490}
	leads, never := probeResponse{Slot: 480, Head: "c:1"}, time.Hour
	for _, c := range []struct {
		name    string
		a, b, d probeResponse
		late    time.Duration // of the first
		misled  bool
		want    string
	}{
		{"the nearest is behind", behind, newest, probeResponse{Empty: true}, 0, false, "b:1"},
		{"the nearest has most", newest, behind, probeResponse{Empty: true}, 0, false, "a:1"},
		{"one never answers", newest, behind, probeResponse{Slot: 3}, never, false, "b:1"},
		{"one names a leader", newest, behind, leads, 0, false, "d:1"},
		{"it names a leader that is gone", behind, newest, leads, 0, true, "b:1"},
		{"all are empty", probeResponse{Empty: true}, probeResponse{Empty: true}, probeResponse{Empty: true}, 0, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, road := bare(t)
				defer s.Kill()
				s.misled = c.misled
				peer(t, road, "a:1", says(c.a, c.late))
				peer(t, road, "b:1", says(c.b, 10*time.Millisecond))
				peer(t, road, "d:1", says(c.d, 20*time.Millisecond))
				ctx, end := context.WithTimeout(t.Context(), 2*s.Settings.CallTimeout())
				defer end()
				empty, _, got := s.askAround(ctx, []string{"a:1", "b:1", "d:1"})
				if got.addr != c.want {
					t.Errorf("it turns to %q", got.addr)
				}
				if c.want == "" && len(empty) != 3 {
					t.Errorf("%d are empty", len(empty))
				}
				if ctx.Err() != nil {
					t.Error("no time is left for the refill")
				}
			})
		})
	}
}

// TestCandidateKnown: a store that does not know of its place turns to the member
// that asks for its vote, though neither its seeds nor its members name it.
func TestCandidateKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := bare(t)
		defer s.Kill()
		for _, ask := range []voteRequest{{Addr: "old:1"}, {Addr: "new:1", Slot: 9}} {
			vote, err := s.onBallot(t.Context(), transport.Hello{}, ask)
			if err != nil || vote.Yes {
				t.Fatalf("an empty store votes: %+v, %v", vote, err)
			}
		}
		if s.candidate != "new:1" {
			t.Errorf("it knows of %q", s.candidate)
		}
	})
}

// firstEntry is a chosen entry that gives a member's place to another replica.
func firstEntry(t *testing.T, old, joiner string) paxos.Entry {
	t.Helper()
	change, err := statemachine.Pack("store.replace", &statemachine.ReplaceMember{Old: old, New: statemachine.Member{ID: joiner, Addr: joiner + ":1"}})
	if err != nil {
		t.Fatal(err)
	}
	raw, err := statemachine.Batch{change}.Pack()
	if err != nil {
		t.Fatal(err)
	}
	return paxos.Entry{Index: 1, Previous: []byte("zero"), Batch: raw, Ballot: ballot.Number{Round: 1, Candidate: "b"}}
}

// TestPlaceLearned: a store that stands by and is told by one that no longer leads
// that more was applied takes it at once, and with it the place that it was given.
func TestPlaceLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, road := bare(t)
		defer s.Kill()
		led := statemachine.New("m", []statemachine.Member{{ID: "a", Addr: "a:1"}, {ID: "b", Addr: "b:1"}, {ID: "c", Addr: "c:1"}})
		raw, err := led.Pack()
		if err != nil {
			t.Fatal(err)
		}
		if err := s.install(paxos.Snapshot{Digest: []byte("zero"), State: raw}, event.Refilled); err != nil || s.votes() {
			t.Fatalf("%v, role %s", err, s.role.Current())
		}
		entry := firstEntry(t, "a", s.acc.Identity().ID)
		peer(t, road, "b:1", func(n *transport.Node) {
			transport.Handle(n, "store.join", func(context.Context, transport.Hello, joinRequest) (joinResponse, error) {
				return joinResponse{Has: 1}, nil
			})
			transport.Handle(n, "store.fetch", func(context.Context, transport.Hello, fetchRequest) (fetchResponse, error) {
				return fetchResponse{Top: 1, Entries: []paxos.Entry{entry}}, nil
			})
		})
		if !s.reportToLeader(t.Context(), "b:1") || !s.votes() {
			t.Errorf("role %s after slot %d", s.role.Current(), s.slot)
		}
	})
}

// TestCatchUpWithoutLeader: while nobody can be elected, a member takes what a voter
// has applied beyond it; when that says that it has no place any more, it stands by
// under a new identity.
func TestCatchUpWithoutLeader(t *testing.T) {
	for _, removed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s, road := alone(t)
			defer s.Kill()
			me := s.acc.Identity().ID
			s.state.Members = []statemachine.Member{{ID: me, Addr: "me:1"}, {ID: "b", Addr: "b:1"}, {ID: "c", Addr: "c:1"}}
			s.updateRole()
			entry := firstEntry(t, me, "d")
			if !removed {
				entry = firstEntry(t, "c", "d")
			}
			peer(t, road, "b:1", func(n *transport.Node) {
				transport.Handle(n, "store.ballot", func(context.Context, transport.Hello, voteRequest) (voteResponse, error) {
					return voteResponse{ID: "b", Slot: 1}, nil
				})
				transport.Handle(n, "store.fetch", func(context.Context, transport.Hello, fetchRequest) (fetchResponse, error) {
					return fetchResponse{Top: 1, Entries: []paxos.Entry{entry}}, nil
				})
			})
			if _, _, _, ok := s.askVotes(t.Context(), ballot.Number{}, false); ok {
				t.Fatal("one vote of three was enough")
			}
			if s.slot != 1 {
				t.Errorf("it has applied %d", s.slot)
			}
			if now := s.acc.Identity().ID; (now != me) != removed || s.votes() == removed {
				t.Errorf("removed %v: identity %s, was %s, role %s", removed, now, me, s.role.Current())
			}
		})
	}
}

// TestGreetSeeds: a leader tells a seed that has no place who leads, and an empty
// store turns to the leader that it is told of.
func TestGreetSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, road := alone(t)
		defer s.Kill()
		s.Settings.Seeds = []string{"me:1", "seed:1", "heard:1"}
		var told heartbeatRequest
		peer(t, road, "seed:1", func(n *transport.Node) {
			transport.Handle(n, "store.beat", func(_ context.Context, _ transport.Hello, in heartbeatRequest) (ack, error) {
				told = in
				return ack{}, nil
			})
		})
		peer(t, road, "heard:1", func(n *transport.Node) {
			transport.Handle(n, "store.beat", func(context.Context, transport.Hello, heartbeatRequest) (ack, error) {
				t.Error("a learner that is heard of was told")
				return ack{}, nil
			})
		})
		term := s.newLeadership(ballot.Number{Round: 1, Candidate: s.acc.Identity().ID})
		defer term.stop()
		term.noteLearner(joinRequest{ID: "l", Addr: "heard:1"})
		term.greetSeeds(t.Context())
		<-time.After(time.Second)
		if told.Addr != "me:1" || told.Mesh != "m" {
			t.Fatalf("the seed was told %+v", told)
		}
		empty, _ := bare(t)
		defer empty.Kill()
		if _, err := empty.onBeat(t.Context(), transport.Hello{}, told); err != nil || empty.leaderAddress != "me:1" {
			t.Errorf("the empty store knows of %q, %v", empty.leaderAddress, err)
		}
	})
}
