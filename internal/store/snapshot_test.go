package store

import (
	"bytes"
	"context"
	"crypto/sha256"
	"hash/crc32"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/disk"
	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/paxos"
	"puffincrank/internal/settings"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

// bare is an empty store on a network without connections.
func bare(t *testing.T) (*Store, *transport.LocalNet) {
	t.Helper()
	dir, err := disk.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	p := settings.Settings{Node: "n", ClusterID: "m", ConfigBound: 2 * time.Second, RecoveryBound: 15 * time.Second, MaxFrameBytes: 1 << 20, MaxRequests: 8, InternalAddr: "me:1", ConfiguredStateBytes: 1 << 20}
	road := &transport.LocalNet{Network: transport.NewLocalNetwork(func(string, string) time.Duration { return time.Millisecond })}
	s, err := New(p, env.Env{Net: road, FS: dir, WallClock: time.Now, Log: event.New("n", nil), Sleep: task.Sleep})
	if err != nil {
		t.Fatal(err)
	}
	return s, road
}

// alone is a store that is the one member of its cluster, on a network without
// connections.
func alone(t *testing.T) (*Store, *transport.LocalNet) {
	t.Helper()
	s, road := bare(t)
	led := statemachine.New("m", []statemachine.Member{{ID: s.acc.Identity().ID, Addr: "me:1"}})
	raw, err := led.Pack()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.install(paxos.Snapshot{Digest: []byte("zero"), State: raw}, event.Founded); err != nil {
		t.Fatal(err)
	}
	return s, road
}

// packedState is a snapshot of the store's own cluster with one change.
func packedState(t *testing.T, s *Store, change func(*statemachine.State)) []byte {
	t.Helper()
	led := statemachine.New("m", s.state.Members)
	led.Revision = 77
	change(led)
	raw, err := led.Pack()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestNewerSnapshots: a whole snapshot of a newer format, of a state that a newer
// program raised, of another cluster or torn is refused, and nothing of it taken.
func TestNewerSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := alone(t)
		defer s.Kill()
		same := packedState(t, s, func(*statemachine.State) {})
		for _, c := range []struct {
			name  string
			point paxos.Snapshot
			fault string
		}{
			{"newer format", paxos.Snapshot{Format: paxos.Format + 1, Index: 9, State: same}, "a snapshot of format 2, newer than 1"},
			{"newer level", paxos.Snapshot{Index: 9, State: packedState(t, s, func(l *statemachine.State) { l.Level = statemachine.Level + 1 })}, "the state needs a program of level 3, this one is of 2"},
			{"another cluster", paxos.Snapshot{Index: 9, State: packedState(t, s, func(l *statemachine.State) { l.ClusterID = "other" })}, "data of mesh other"},
			{"torn", paxos.Snapshot{Index: 9, State: same[:len(same)/2]}, "read checkpoint"},
		} {
			err := s.install(c.point, event.Refilled)
			if err == nil || !strings.Contains(err.Error(), c.fault) || s.state.Revision == 77 || s.slot != 0 || s.acc.LatestSnapshot().Index != 0 {
				t.Errorf("%s: %v, slot %d", c.name, err, s.slot)
			}
		}
		if err := s.install(paxos.Snapshot{Format: paxos.Format, Index: 9, State: same}, event.Refilled); err != nil || s.slot != 9 {
			t.Errorf("one of our own: %v, slot %d", err, s.slot)
		}
	})
}

// packedBatch is a batch of one command that changes nothing.
func packedBatch(t *testing.T) []byte {
	t.Helper()
	p, err := statemachine.Pack("noop", &statemachine.Noop{})
	if err != nil {
		t.Fatal(err)
	}
	raw, err := statemachine.Batch{p}.Pack()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestCutVote: a voter that accepted more than fits a vote says so, and a new
// leader proposes nothing of its own beyond what it was told of: it is elected
// again, and told the rest.
func TestCutVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := alone(t)
		defer s.Kill()
		prev := []byte("zero")
		num := ballot.Number{Round: 1, Candidate: "other"}
		for slot := range uint64(voteEntries + 3) {
			e := paxos.Entry{Index: slot + 1, Previous: prev, Batch: packedBatch(t), Ballot: num}
			if err := s.acc.Accept(e); err != nil {
				t.Fatal(err)
			}
			prev = e.Digest()
		}
		told, more := s.acceptedAfter(0)
		if len(told) != voteEntries || !more {
			t.Fatalf("%d entries are told, more %v", len(told), more)
		}
		if rest, more := s.acceptedAfter(voteEntries); len(rest) != 3 || more {
			t.Errorf("%d entries are left, more %v", len(rest), more)
		}
		mine := ballot.Number{Round: 2, Candidate: s.acc.Identity().ID}
		s.voter = ballot.NewVoter(mine, s.Settings.LeaderTimeout(), s.promise)
		s.role.Fire("stand")
		vote := voteResponse{ID: mine.Candidate, Yes: true, Entries: told[:2], More: true}
		if s.prepare(t.Context(), mine, s.memberSet(), []voteResponse{vote}, []string{"me:1"}) {
			t.Error("it leads by a vote that was cut")
		}
		if s.slot != 2 || s.leadership != nil || !s.campaignNow {
			t.Errorf("slot %d is applied, stands again %v", s.slot, s.campaignNow)
		}
	})
}

// TestBadSnapshots: a snapshot whose announcement or chunks are wrong is refused
// by name, and nothing of it is installed; after a break it goes on where it was.
func TestBadSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, road := alone(t)
		defer s.Kill()
		led := statemachine.New("m", s.state.Members)
		led.Revision = 77
		led.Keys["large"] = statemachine.Key{Value: bytes.Repeat([]byte("x"), 3*snapshotChunk), Revision: 77}
		state, err := led.Pack()
		if err != nil {
			t.Fatal(err)
		}
		sum := sha256.Sum256(state)
		good := snapshotHead{ID: sum[:], Slot: 9, Sum: []byte("nine"), Size: len(state)}
		var spoil func(*chunkGot) error
		asked := 0
		g := task.New(context.Background())
		defer g.Stop()
		n := transport.NewNode(transport.Hello{ClusterID: "m", Node: "sender"}, env.Env{Net: road, WallClock: time.Now, Log: event.New("sender", nil)}, g, 1<<20, 8, time.Second)
		transport.Handle(n, "store.snapshot", func(_ context.Context, _ transport.Hello, in chunkAsk) (chunkGot, error) {
			asked++
			data := bytes.Clone(state[in.Offset:min(in.Offset+snapshotChunk, len(state))])
			got := chunkGot{ID: in.ID, Offset: in.Offset, Data: data, Checksum: crc32.ChecksumIEEE(data)}
			return got, spoil(&got)
		})
		if err := n.Listen("sender:1"); err != nil {
			t.Fatal(err)
		}
		defer n.Close()
		other := sha256.Sum256([]byte("other"))
		for _, c := range []struct {
			name  string
			head  snapshotHead
			spoil func(*chunkGot) error
			fault string
		}{
			{"too large", snapshotHead{ID: sum[:], Size: 1 << 30}, nil, "announced size"},
			{"empty", snapshotHead{ID: sum[:]}, nil, "announced size"},
			{"without an identity", snapshotHead{Size: 10}, nil, "announced size"},
			{"a newer format", snapshotHead{ID: sum[:], Slot: 9, Size: len(state), Format: paxos.Format + 1}, nil, "it is of format 2, newer than 1"},
			{"a damaged chunk", good, func(c *chunkGot) error { c.Data[5] ^= 1; return nil }, "fails its checksum"},
			{"a chunk of another", good, func(c *chunkGot) error { c.ID = other[:]; return nil }, "another snapshot"},
			{"a chunk out of order", good, func(c *chunkGot) error { c.Offset += 7; return nil }, "in place of"},
			{"an empty chunk", good, func(c *chunkGot) error { c.Data = nil; return nil }, "in place of"},
			{"too much", good, func(c *chunkGot) error { c.Data = append(c.Data, make([]byte, snapshotChunk)...); return nil }, "in place of"},
			{"another content", snapshotHead{ID: other[:], Slot: 9, Size: len(state)}, func(*chunkGot) error { return nil }, "fails its checksum"},
		} {
			spoil = c.spoil
			err := s.fetchSnapshot(t.Context(), "sender:1", c.head)
			if !fault.Is(err, fault.Input) || !strings.Contains(err.Error(), c.fault) || s.state.Revision == 77 || s.loading != nil {
				t.Errorf("%s: %v, revision %d", c.name, err, s.state.Revision)
			}
		}
		// The sender goes in the middle; what has come is kept.
		spoil = func(c *chunkGot) error {
			if c.Offset >= 2*snapshotChunk {
				return fault.New(fault.Refused, "gone")
			}
			return nil
		}
		if err := s.fetchSnapshot(t.Context(), "sender:1", good); err == nil || s.loading == nil {
			t.Fatalf("a break: %v", err)
		}
		asked, spoil = 0, func(*chunkGot) error { return nil }
		if err := s.fetchSnapshot(t.Context(), "sender:1", good); err != nil || s.state.Revision != 77 || s.slot != 9 {
			t.Fatalf("after the break: %v, revision %d", err, s.state.Revision)
		}
		if asked != 2 {
			t.Errorf("%d chunks were fetched after the break", asked)
		}
	})
}
