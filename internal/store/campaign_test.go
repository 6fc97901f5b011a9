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

// unreachableNetwork is a network without peers; it counts the dial attempts.
type unreachableNetwork struct {
	mu    sync.Mutex
	dials int
}

func (n *unreachableNetwork) Listen(string) (net.Listener, error) {
	return nil, errors.New("listening is not possible")
}
func (n *unreachableNetwork) Dial(context.Context, string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials++
	return nil, errors.New("nobody")
}

func (n *unreachableNetwork) dialCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// TestCampaignAfterLeaderTimeout: a member starts no election while the leader
// has been silent for less than LeaderTimeout, and starts one within its
// campaign delay after that.
func TestCampaignAfterLeaderTimeout(t *testing.T) {
	for _, rank := range []int{0, 1, 2} {
		synctest.Test(t, func(t *testing.T) {
			dir, err := disk.Open(t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			settings := settings.Settings{Node: "n", ClusterID: "m", ConfigBound: 2 * time.Second, RecoveryBound: 15 * time.Second, MaxFrameBytes: 1 << 20, MaxRequests: 8, InternalAddr: "me:1"}
			network := &unreachableNetwork{}
			s, err := New(settings, env.Env{Net: network, FS: dir, WallClock: time.Now, Log: event.New("n", nil), Sleep: func(ctx context.Context, d time.Duration) {
				select {
				case <-time.After(d):
				case <-ctx.Done():
				}
			}})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Kill()
			// A member of five; another one is the leader and has just sent a
			// heartbeat.
			promised := ballot.Number{Round: 7, Candidate: "w"}
			s.state = statemachine.New("m", nil)
			for i, id := range []string{"a", "b", "c", "d"} {
				if i == rank {
					id = s.acceptor.Identity().ID
				}
				s.state.Members = append(s.state.Members, statemachine.Member{ID: id, Addr: map[bool]string{true: "me:1", false: id + ":1"}[i == rank]})
			}
			s.state.Members = append(s.state.Members, statemachine.Member{ID: "w", Addr: "w:1"})
			s.role.Fire("filled")
			s.voter = ballot.NewVoter(promised, settings.LeaderTimeout(), s.promise)
			started := time.Now()
			s.tasks.Go("life", s.run)
			earliest := settings.LeaderTimeout() + time.Duration(rank)*settings.HeartbeatInterval()/2
			<-time.After(earliest)
			synctest.Wait()
			if n := network.dialCount(); n > 0 {
				t.Errorf("rank %d: election started although the leader was heard %v ago", rank, settings.LeaderTimeout())
			}
			for network.dialCount() == 0 && time.Since(started) < settings.RecoveryBound {
				<-time.After(settings.HeartbeatInterval() / 10)
				synctest.Wait()
			}
			if elapsed := time.Since(started); network.dialCount() < 4 || elapsed > earliest+settings.HeartbeatInterval() {
				t.Errorf("rank %d: %d members dialled, %v after the last contact with the leader", rank, network.dialCount(), elapsed)
			}
		})
	}
}
