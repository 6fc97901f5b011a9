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

// startPeer starts a node at an address with the handlers that register adds.
func startPeer(t *testing.T, network *transport.LocalNet, addr string, register func(*transport.Node)) {
	t.Helper()
	tasks := task.New(context.Background())
	node := transport.NewNode(transport.Hello{ClusterID: "m", Node: addr}, env.Env{Net: network, WallClock: time.Now, Log: event.New(addr, nil)}, tasks, 1<<20, 8, time.Second)
	register(node)
	if err := node.Listen(addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		node.Close()
		tasks.Stop()
	})
}

// probeReply answers probes with a response, after a delay.
func probeReply(response probeResponse, delay time.Duration) func(*transport.Node) {
	return func(node *transport.Node) {
		transport.Handle(node, "store.found", func(ctx context.Context, _ transport.Hello, _ probeRequest) (probeResponse, error) {
			task.Sleep(ctx, delay)
			return response, ctx.Err()
		})
	}
}

// TestRefillSource: without a leader, a store that is not a member is refilled
// from the peer that has applied most, even if another answers first or never;
// otherwise from one that names a leader, unless that leader did not answer
// the last time.
func TestRefillSource(t *testing.T) {
	behind, newest := probeResponse{Applied: 485}, probeResponse{Applied: 490}
	leads, never := probeResponse{Applied: 480, LeaderAddr: "c:1"}, time.Hour
	for _, c := range []struct {
		name       string
		a, b, d    probeResponse
		delay      time.Duration // of a
		hintFailed bool
		want       string
	}{
		{"the nearest is behind", behind, newest, probeResponse{Empty: true}, 0, false, "b:1"},
		{"the nearest has most", newest, behind, probeResponse{Empty: true}, 0, false, "a:1"},
		{"one never answers", newest, behind, probeResponse{Applied: 3}, never, false, "b:1"},
		{"one names a leader", newest, behind, leads, 0, false, "d:1"},
		{"it names a leader that is gone", behind, newest, leads, 0, true, "b:1"},
		{"all are empty", probeResponse{Empty: true}, probeResponse{Empty: true}, probeResponse{Empty: true}, 0, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, network := newEmptyStore(t)
				defer s.Kill()
				s.leaderHintFailed = c.hintFailed
				startPeer(t, network, "a:1", probeReply(c.a, c.delay))
				startPeer(t, network, "b:1", probeReply(c.b, 10*time.Millisecond))
				startPeer(t, network, "d:1", probeReply(c.d, 20*time.Millisecond))
				ctx, cancel := context.WithTimeout(t.Context(), 2*s.Settings.CallTimeout())
				defer cancel()
				empty, _, got := s.probeStores(ctx, []string{"a:1", "b:1", "d:1"})
				if got.addr != c.want {
					t.Errorf("refill source is %q", got.addr)
				}
				if c.want == "" && len(empty) != 3 {
					t.Errorf("%d empty stores", len(empty))
				}
				if ctx.Err() != nil {
					t.Error("no time is left for the refill")
				}
			})
		})
	}
}

// TestCandidateRemembered: a store that does not know that it is a member
// remembers the candidate that asks for its vote, since neither its seeds nor
// its members name that one.
func TestCandidateRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newEmptyStore(t)
		defer s.Kill()
		for _, request := range []voteRequest{{Addr: "old:1"}, {Addr: "new:1", Applied: 9}} {
			vote, err := s.onVoteRequest(t.Context(), transport.Hello{}, request)
			if err != nil || vote.Granted {
				t.Fatalf("an empty store granted its vote: %+v, %v", vote, err)
			}
		}
		if s.candidate != "new:1" {
			t.Errorf("remembered candidate is %q", s.candidate)
		}
	})
}

// replaceEntry is a chosen entry that replaces a member by another replica.
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

// TestMembershipLearnedFromFormerLeader: a learner that reports to a former
// leader, which has applied more, catches up from it at once, and so learns
// that it was made a member.
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
			transport.Handle(node, "store.join", func(context.Context, transport.Hello, joinRequest) (joinResponse, error) {
				return joinResponse{Applied: 1}, nil
			})
			transport.Handle(node, "store.fetch", func(context.Context, transport.Hello, fetchRequest) (fetchResponse, error) {
				return fetchResponse{Applied: 1, Entries: []paxos.Entry{entry}}, nil
			})
		})
		if !s.reportToLeader(t.Context(), "b:1") || !s.canVote() {
			t.Errorf("role %s after applying index %d", s.role.Current(), s.appliedIndex)
		}
	})
}

// TestCatchUpWithoutLeader: while nobody can be elected, a member fetches what
// a voter has applied beyond it; if that shows that it has lost its
// membership, it becomes a learner under a new identity.
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
				transport.Handle(n, "store.ballot", func(context.Context, transport.Hello, voteRequest) (voteResponse, error) {
					return voteResponse{ID: "b", Applied: 1}, nil
				})
				transport.Handle(n, "store.fetch", func(context.Context, transport.Hello, fetchRequest) (fetchResponse, error) {
					return fetchResponse{Applied: 1, Entries: []paxos.Entry{entry}}, nil
				})
			})
			if _, _, _, ok := s.askVotes(t.Context(), ballot.Number{}, false); ok {
				t.Fatal("elected by one vote of three")
			}
			if s.appliedIndex != 1 {
				t.Errorf("applied index is %d", s.appliedIndex)
			}
			if current := s.acceptor.Identity().ID; (current != self) != removed || s.canVote() == removed {
				t.Errorf("removed %v: identity %s, was %s, role %s", removed, current, self, s.role.Current())
			}
		})
	}
}

// TestLeaderAnnouncedToSeeds: a leader sends heartbeats to a seed that is
// neither a member nor a known learner, and an empty store that gets one
// records the leader.
func TestLeaderAnnouncedToSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, network := newSingleStore(t)
		defer s.Kill()
		s.Settings.Seeds = []string{"me:1", "seed:1", "heard:1"}
		var heartbeat heartbeatRequest
		startPeer(t, network, "seed:1", func(node *transport.Node) {
			transport.Handle(node, "store.beat", func(_ context.Context, _ transport.Hello, request heartbeatRequest) (ack, error) {
				heartbeat = request
				return ack{}, nil
			})
		})
		startPeer(t, network, "heard:1", func(node *transport.Node) {
			transport.Handle(node, "store.beat", func(context.Context, transport.Hello, heartbeatRequest) (ack, error) {
				t.Error("a known learner got the heartbeat")
				return ack{}, nil
			})
		})
		term := s.newLeadership(ballot.Number{Round: 1, Candidate: s.acceptor.Identity().ID})
		defer term.stop()
		term.recordLearner(joinRequest{ID: "l", Addr: "heard:1"})
		term.announceToSeeds(t.Context())
		<-time.After(time.Second)
		if heartbeat.Addr != "me:1" || heartbeat.ClusterID != "m" {
			t.Fatalf("the seed got the heartbeat %+v", heartbeat)
		}
		emptyStore, _ := newEmptyStore(t)
		defer emptyStore.Kill()
		if _, err := emptyStore.onHeartbeat(t.Context(), transport.Hello{}, heartbeat); err != nil || emptyStore.leaderAddress != "me:1" {
			t.Errorf("the empty store recorded the leader %q, %v", emptyStore.leaderAddress, err)
		}
	})
}
