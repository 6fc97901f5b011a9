package store

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/disk"
	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/settings"
	"puffincrank/internal/statemachine"
)

// nobody is a network without peers; it notes who was dialled.
type nobody struct {
	mu   sync.Mutex
	told int
}

func (n *nobody) Listen(string) (net.Listener, error) { return nil, errors.New("no port") }
func (n *nobody) Dial(context.Context, string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.told++
	return nil, errors.New("nobody")
}

func (n *nobody) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.told
}

// TestVacant: a member leaves a leader alone that was heard within the time of
// a vacant duty, and stands for the leadership within its turn after that.
func TestVacant(t *testing.T) {
	for _, rank := range []int{0, 1, 2} {
		synctest.Test(t, func(t *testing.T) {
			dir, err := disk.Open(t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			p := settings.Settings{Node: "n", ClusterID: "m", ConfigBound: 2 * time.Second, RecoveryBound: 15 * time.Second, MaxFrameBytes: 1 << 20, MaxRequests: 8, InternalAddr: "me:1"}
			out := &nobody{}
			s, err := New(p, env.Env{Net: out, FS: dir, WallClock: time.Now, Log: event.New("n", nil), Sleep: func(ctx context.Context, d time.Duration) {
				select {
				case <-time.After(d):
				case <-ctx.Done():
				}
			}})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Kill()
			// A member among five; another wrote and was heard just now.
			holder := ballot.Number{Round: 7, Candidate: "w"}
			s.state = statemachine.New("m", nil)
			for i, id := range []string{"a", "b", "c", "d"} {
				if i == rank {
					id = s.acc.Identity().ID
				}
				s.state.Members = append(s.state.Members, statemachine.Member{ID: id, Addr: map[bool]string{true: "me:1", false: id + ":1"}[i == rank]})
			}
			s.state.Members = append(s.state.Members, statemachine.Member{ID: "w", Addr: "w:1"})
			s.role.Fire("filled")
			s.voter = ballot.NewVoter(holder, p.LeaderTimeout(), s.promise)
			from := time.Now()
			s.g.Go("life", s.run)
			least := p.LeaderTimeout() + time.Duration(rank)*p.HeartbeatInterval()/2
			<-time.After(least)
			synctest.Wait()
			if n := out.count(); n > 0 {
				t.Errorf("rank %d: a holder heard %v ago was not left alone", rank, p.LeaderTimeout())
			}
			for out.count() == 0 && time.Since(from) < p.RecoveryBound {
				<-time.After(p.HeartbeatInterval() / 10)
				synctest.Wait()
			}
			if took := time.Since(from); out.count() < 4 || took > least+p.HeartbeatInterval() {
				t.Errorf("rank %d: %d were asked, %v after the holder was last heard", rank, out.count(), took)
			}
		})
	}
}
