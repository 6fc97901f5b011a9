package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/disk"
	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/settings"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

// TestSplitVote: a candidate that got too few votes releases its ballot number
// at once. Otherwise the voters that promised it, among them the other
// candidates, would wait for it as for a leader. It starts another election
// within its campaign delay.
func TestSplitVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir, err := disk.Open(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		settings := settings.Settings{Node: "n", ClusterID: "m", ConfigBound: 2 * time.Second, RecoveryBound: 15 * time.Second, MaxFrameBytes: 1 << 20, MaxRequests: 8, InternalAddr: "me:1"}
		network := &transport.LocalNet{Network: transport.NewLocalNetwork(func(string, string) time.Duration { return time.Millisecond })}
		s, err := New(settings, env.Env{Net: network, FS: dir, WallClock: time.Now, Log: event.New("n", nil), Sleep: task.Sleep})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Kill()
		s.state = statemachine.New("m", nil)
		s.state.Members = append(s.state.Members, statemachine.Member{ID: s.acceptor.Identity().ID, Addr: "me:1"}, statemachine.Member{ID: "w", Addr: "w:1"})
		type announcement struct {
			at     time.Time
			ballot ballot.Number
		}
		voteRequests, vacancies := make(chan announcement, 99), make(chan announcement, 99)
		tasks := task.New(context.Background())
		defer tasks.Stop()
		for _, id := range []string{"b", "c", "d"} {
			s.state.Members = append(s.state.Members, statemachine.Member{ID: id, Addr: id + ":1"})
			node := transport.NewNode(transport.Hello{ClusterID: "m", Node: id}, env.Env{Net: network, WallClock: time.Now, Log: event.New(id, nil)}, tasks, 1<<20, 8, time.Second)
			transport.Handle(node, "store.ballot", func(_ context.Context, _ transport.Hello, request voteRequest) (voteResponse, error) {
				if request.Binding {
					voteRequests <- announcement{time.Now(), request.Ballot}
				}
				// One votes for the candidate, the others have promised
				// another ballot.
				return voteResponse{ID: id, Granted: !request.Binding || id == "b", Promised: ballot.Number{Round: 8, Candidate: "z"}}, nil
			})
			transport.Handle(node, "store.vacate", func(_ context.Context, _ transport.Hello, request vacateRequest) (ack, error) {
				vacancies <- announcement{time.Now(), request.Ballot}
				return ack{}, nil
			})
			if err := node.Listen(id + ":1"); err != nil {
				t.Fatal(err)
			}
			defer node.Close()
		}
		s.role.Fire("filled")
		s.voter = ballot.NewVoter(ballot.Number{Round: 7, Candidate: "w"}, settings.LeaderTimeout(), s.promise)
		s.tasks.Go("life", s.run)
		<-time.After(3 * settings.LeaderTimeout())
		synctest.Wait()
		if len(voteRequests) < 6 || len(vacancies) < 3 {
			t.Fatalf("%d vote requests, %d vacancies announced", len(voteRequests), len(vacancies))
		}
		first := <-voteRequests
		<-voteRequests
		<-voteRequests
		for range 3 {
			if got := <-vacancies; got.ballot != first.ballot || got.at.Sub(first.at) > settings.HeartbeatInterval()/4 {
				t.Errorf("ballot %v released %v after the vote request for %v", got.ballot, got.at.Sub(first.at), first.ballot)
			}
		}
		if next := <-voteRequests; next.at.Sub(first.at) > settings.HeartbeatInterval() || !first.ballot.Less(next.ballot) {
			t.Errorf("next election with ballot %v after %v, the first was %v", next.ballot, next.at.Sub(first.at), first.ballot)
		}
	})
}
