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

// TestSplit: a candidate that got too few votes gives its number up to all at
// once. Voters who promised it would wait for it as for a holder else, and with
// them the others who stood at the same time; it stands again within its turn.
func TestSplit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir, err := disk.Open(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		p := settings.Settings{Node: "n", ClusterID: "m", ConfigBound: 2 * time.Second, RecoveryBound: 15 * time.Second, MaxFrameBytes: 1 << 20, MaxRequests: 8, InternalAddr: "me:1"}
		road := &transport.LocalNet{Network: transport.NewLocalNetwork(func(string, string) time.Duration { return time.Millisecond })}
		s, err := New(p, env.Env{Net: road, FS: dir, WallClock: time.Now, Log: event.New("n", nil), Sleep: task.Sleep})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Kill()
		s.state = statemachine.New("m", nil)
		s.state.Members = append(s.state.Members, statemachine.Member{ID: s.acc.Identity().ID, Addr: "me:1"}, statemachine.Member{ID: "w", Addr: "w:1"})
		type said struct {
			at  time.Time
			num ballot.Number
		}
		asked, left := make(chan said, 99), make(chan said, 99)
		g := task.New(context.Background())
		defer g.Stop()
		for _, id := range []string{"b", "c", "d"} {
			s.state.Members = append(s.state.Members, statemachine.Member{ID: id, Addr: id + ":1"})
			n := transport.NewNode(transport.Hello{ClusterID: "m", Node: id}, env.Env{Net: road, WallClock: time.Now, Log: event.New(id, nil)}, g, 1<<20, 8, time.Second)
			transport.Handle(n, "store.ballot", func(_ context.Context, _ transport.Hello, in voteRequest) (voteResponse, error) {
				if in.Real {
					asked <- said{time.Now(), in.Num}
				}
				// One votes for it, the others have promised another.
				return voteResponse{ID: id, Yes: !in.Real || id == "b", Seen: ballot.Number{Round: 8, Candidate: "z"}}, nil
			})
			transport.Handle(n, "store.vacate", func(_ context.Context, _ transport.Hello, in vacateRequest) (ack, error) {
				left <- said{time.Now(), in.Num}
				return ack{}, nil
			})
			if err := n.Listen(id + ":1"); err != nil {
				t.Fatal(err)
			}
			defer n.Close()
		}
		s.role.Fire("filled")
		s.voter = ballot.NewVoter(ballot.Number{Round: 7, Candidate: "w"}, p.LeaderTimeout(), s.promise)
		s.g.Go("life", s.run)
		<-time.After(3 * p.LeaderTimeout())
		synctest.Wait()
		if len(asked) < 6 || len(left) < 3 {
			t.Fatalf("%d votes asked for, %d told that it gave up", len(asked), len(left))
		}
		first := <-asked
		<-asked
		<-asked
		for range 3 {
			if got := <-left; got.num != first.num || got.at.Sub(first.at) > p.HeartbeatInterval()/4 {
				t.Errorf("%v given up %v after %v was asked for", got.num, got.at.Sub(first.at), first.num)
			}
		}
		if next := <-asked; next.at.Sub(first.at) > p.HeartbeatInterval() || !first.num.Less(next.num) {
			t.Errorf("stood again with %v after %v, %v before", next.num, next.at.Sub(first.at), first.num)
		}
	})
}
