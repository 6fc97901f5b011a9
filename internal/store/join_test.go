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

// startPeer is a node at an address that answers as the test says.
func startPeer(t *testing.T, network *transport.LocalNet, addr string, register func(*transport.Node)) {
	t.Helper()
	tasks := task.New(context.Background())
	node := transport.NewNode(transport.Hello{ClusterID: "m", Node: addr}, env.Env{Net: network, Wall: time.Now, Log: event.New(addr, nil)}, tasks, 1<<20, 8, time.Second)
	register(node)
	if err := node.Listen(addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		node.Close()
		tasks.Stop()
	})
}

// probeReply answers what a store holds, after a while.
func probeReply(response foundGot, delay time.Duration) func(*transport.Node) {
	return func(node *transport.Node) {
		transport.Handle(node, "store.found", func(ctx context.Context, _ transport.Hello, _ foundAsk) (foundGot, error) {
			task.Sleep(ctx, delay)
			return response, ctx.Err()
		})
	}
}

// TestRefillSource: a store without a place is refilled from the peer that has
// applied most when nobody leads, whoever answers first and whoever never answers;
// from one that names a leader otherwise, unless that leader was not there the last
// time.
func TestRefillSource(t *testing.T) {
	behind, newest := foundGot{Applied: 485}, foundGot{Applied: 490}
	leads, never := foundGot{Applied: 480, LeaderAddr: "c:1"}, time.Hour
	for _, c := range []struct {
		name    string
		a, b, d foundGot
		delay   time.Duration // of the first
		misled  bool
		want    string
	}{
		{"the nearest is behind", behind, newest, foundGot{Empty: true}, 0, false, "b:1"},
		{"the nearest has most", newest, behind, foundGot{Empty: true}, 0, false, "a:1"},
		{"one never answers", newest, behind, foundGot{Applied: 3}, never, false, "b:1"},
		{"one names a leader", newest, behind, leads, 0, false, "d:1"},
		{"it names a leader that is gone", behind, newest, leads, 0, true, "b:1"},
		{"all are empty", foundGot{Empty: true}, foundGot{Empty: true}, foundGot{Empty: true}, 0, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, network := newEmptyStore(t)
				defer s.Kill()
				s.leaderHintFailed = c.misled
				startPeer(t, network, "a:1", probeReply(c.a, c.delay))
				startPeer(t, network, "b:1", probeReply(c.b, 10*time.Millisecond))
				startPeer(t, network, "d:1", probeReply(c.d, 20*time.Millisecond))
				ctx, end := context.WithTimeout(t.Context(), 2*s.Settings.CallTimeout())
				defer end()
				empty, _, got := s.probeStores(ctx, []string{"a:1", "b:1", "d:1"})
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

// TestCandidateRemembered: a store that does not know of its place turns to the member
// that asks for its vote, though neither its seeds nor its members name it.
func TestCandidateRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newEmptyStore(t)
		defer s.Kill()
		for _, request := range []ballotAsk{{Addr: "old:1"}, {Addr: "new:1", Applied: 9}} {
			vote, err := s.onVoteRequest(t.Context(), transport.Hello{}, request)
			if err != nil || vote.Granted {
				t.Fatalf("an empty store votes: %+v, %v", vote, err)
			}
		}
		if s.candidate != "new:1" {
			t.Errorf("it knows of %q", s.candidate)
		}
	})
}

// replaceEntry is a chosen entry that gives a member's place to another replica.
func replaceEntry(t *testing.T, old, joiner string) paxos.Entry {
	t.Helper()
	change, err := statemachine.Pack("store.replace", &statemachine.ReplaceMember{Old: old, New: statemachine.Member{ID: joiner, Addr: joiner + ":1"}})
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := statemachine.Batch{change}.Pack()
	if err != nil {
		t.Fatal(err)
	}
	return paxos.Entry{Index: 1, Previous: []byte("zero"), Batch: encoded, Ballot: ballot.Number{Round: 1, Candidate: "b"}}
}

// TestMembershipLearnedFromFormerLeader: a store that stands by and is told by one that no longer leads
// that more was applied takes it at once, and with it the place that it was given.
func TestMembershipLearnedFromFormerLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, network := newEmptyStore(t)
		defer s.Kill()
		state := statemachine.New("m", []statemachine.Member{{ID: "a", Addr: "a:1"}, {ID: "b", Addr: "b:1"}, {ID: "c", Addr: "c:1"}})
		encoded, err := state.Pack()
		if err != nil {
			t.Fatal(err)
		}
		if err := s.installSnapshot(paxos.Snapshot{Digest: []byte("zero"), State: encoded}, event.Refilled); err != nil || s.canVote() {
			t.Fatalf("%v, role %s", err, s.role.Current())
		}
		entry := replaceEntry(t, "a", s.acceptor.Identity().ID)
		startPeer(t, network, "b:1", func(node *transport.Node) {
			transport.Handle(node, "store.join", func(context.Context, transport.Hello, joinAsk) (joinGot, error) { return joinGot{Applied: 1}, nil })
			transport.Handle(node, "store.fetch", func(context.Context, transport.Hello, fetchAsk) (fetchGot, error) {
				return fetchGot{Applied: 1, Entries: []paxos.Entry{entry}}, nil
			})
		})
		if !s.reportToLeader(t.Context(), "b:1") || !s.canVote() {
			t.Errorf("role %s after slot %d", s.role.Current(), s.appliedIndex)
		}
	})
}

// TestCatchUpWithoutLeader: while nobody can be elected, a member takes what a voter
// has applied beyond it; when that says that it has no place any more, it stands by
// under a new identity.
func TestCatchUpWithoutLeader(t *testing.T) {
	for _, removed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s, network := newSingleStore(t)
			defer s.Kill()
			self := s.acceptor.Identity().ID
			s.state.Members = []statemachine.Member{{ID: self, Addr: "me:1"}, {ID: "b", Addr: "b:1"}, {ID: "c", Addr: "c:1"}}
			s.updateRole()
			entry := replaceEntry(t, self, "d")
			if !removed {
				entry = replaceEntry(t, "c", "d")
			}
			startPeer(t, network, "b:1", func(n *transport.Node) {
				transport.Handle(n, "store.ballot", func(context.Context, transport.Hello, ballotAsk) (ballotVote, error) {
					return ballotVote{ID: "b", Applied: 1}, nil
				})
				transport.Handle(n, "store.fetch", func(context.Context, transport.Hello, fetchAsk) (fetchGot, error) {
					return fetchGot{Applied: 1, Entries: []paxos.Entry{entry}}, nil
				})
			})
			if _, _, _, ok := s.askVotes(t.Context(), ballot.Number{}, false); ok {
				t.Fatal("one vote of three was enough")
			}
			if s.appliedIndex != 1 {
				t.Errorf("it has applied %d", s.appliedIndex)
			}
			if current := s.acceptor.Identity().ID; (current != self) != removed || s.canVote() == removed {
				t.Errorf("removed %v: identity %s, was %s, role %s", removed, current, self, s.role.Current())
			}
		})
	}
}

// TestLeaderAnnouncedToSeeds: a leader tells a seed that has no place who leads, and an empty
// store turns to the leader that it is told of.
func TestLeaderAnnouncedToSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, network := newSingleStore(t)
		defer s.Kill()
		s.Settings.Seeds = []string{"me:1", "seed:1", "heard:1"}
		var heartbeat beatAsk
		startPeer(t, network, "seed:1", func(node *transport.Node) {
			transport.Handle(node, "store.beat", func(_ context.Context, _ transport.Hello, in beatAsk) (ack, error) {
				heartbeat = in
				return ack{}, nil
			})
		})
		startPeer(t, network, "heard:1", func(node *transport.Node) {
			transport.Handle(node, "store.beat", func(context.Context, transport.Hello, beatAsk) (ack, error) {
				t.Error("a learner that is heard of was told")
				return ack{}, nil
			})
		})
		term := s.newLeadership(ballot.Number{Round: 1, Candidate: s.acceptor.Identity().ID})
		defer term.stop()
		term.recordLearner(joinAsk{ID: "l", Addr: "heard:1"})
		term.announceToSeeds(t.Context())
		<-time.After(time.Second)
		if heartbeat.Addr != "me:1" || heartbeat.ClusterID != "m" {
			t.Fatalf("the seed was told %+v", heartbeat)
		}
		emptyStore, _ := newEmptyStore(t)
		defer emptyStore.Kill()
		if _, err := emptyStore.onHeartbeat(t.Context(), transport.Hello{}, heartbeat); err != nil || emptyStore.leaderAddress != "me:1" {
			t.Errorf("the empty store knows of %q, %v", emptyStore.leaderAddress, err)
		}
	})
}
