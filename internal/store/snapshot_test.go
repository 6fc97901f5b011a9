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

// newEmptyStore returns an empty store on a network without connections.
func newEmptyStore(t *testing.T) (*Store, *transport.LocalNet) {
	t.Helper()
	dir, err := disk.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	settings := settings.Settings{Node: "n", ClusterID: "m", ConfigBound: 2 * time.Second, RecoveryBound: 15 * time.Second, MaxFrameBytes: 1 << 20, MaxRequests: 8, InternalAddr: "me:1", ConfiguredStateBytes: 1 << 20}
	network := &transport.LocalNet{Network: transport.NewLocalNetwork(func(string, string) time.Duration { return time.Millisecond })}
	s, err := New(settings, env.Env{Net: network, FS: dir, WallClock: time.Now, Log: event.New("n", nil), Sleep: task.Sleep})
	if err != nil {
		t.Fatal(err)
	}
	return s, network
}

// newSingleStore returns a store that is the only member of its cluster, on a
// network without connections.
func newSingleStore(t *testing.T) (*Store, *transport.LocalNet) {
	t.Helper()
	s, network := newEmptyStore(t)
	state := statemachine.New("m", []statemachine.Member{{ID: s.acceptor.Identity().ID, Addr: "me:1"}})
	encoded, err := state.Pack()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.installSnapshot(paxos.Snapshot{Digest: []byte("zero"), State: encoded}, event.Founded); err != nil {
		t.Fatal(err)
	}
	return s, network
}

// packedState returns the packed state of the store's own cluster with one
// change.
func packedState(t *testing.T, s *Store, change func(*statemachine.State)) []byte {
	t.Helper()
	state := statemachine.New("m", s.state.Members)
	state.Revision = 77
	change(state)
	encoded, err := state.Pack()
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// TestForeignSnapshotsRefused: a snapshot of a newer format, of a newer
// program's state, of another cluster or cut off is refused, and nothing of it
// is installed.
func TestForeignSnapshotsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSingleStore(t)
		defer s.Kill()
		valid := packedState(t, s, func(*statemachine.State) {})
		for _, c := range []struct {
			name     string
			snapshot paxos.Snapshot
			fault    string
		}{
			{"newer format", paxos.Snapshot{Format: paxos.Format + 1, Index: 9, State: valid}, "a snapshot of format 2, newer than 1"},
			{"newer level", paxos.Snapshot{Index: 9, State: packedState(t, s, func(l *statemachine.State) { l.Level = statemachine.Level + 1 })}, "the state needs a program of level 3, this one is of 2"},
			{"another cluster", paxos.Snapshot{Index: 9, State: packedState(t, s, func(l *statemachine.State) { l.ClusterID = "other" })}, "data of mesh other"},
			{"torn", paxos.Snapshot{Index: 9, State: valid[:len(valid)/2]}, "read checkpoint"},
		} {
			err := s.installSnapshot(c.snapshot, event.Refilled)
			if err == nil || !strings.Contains(err.Error(), c.fault) || s.state.Revision == 77 || s.appliedIndex != 0 || s.acceptor.LatestSnapshot().Index != 0 {
				t.Errorf("%s: %v, index %d", c.name, err, s.appliedIndex)
			}
		}
		if err := s.installSnapshot(paxos.Snapshot{Format: paxos.Format, Index: 9, State: valid}, event.Refilled); err != nil || s.appliedIndex != 9 {
			t.Errorf("a valid snapshot: %v, index %d", err, s.appliedIndex)
		}
	})
}

// packedNoop returns a batch of one command that changes nothing.
func packedNoop(t *testing.T) []byte {
	t.Helper()
	packed, err := statemachine.Pack("noop", &statemachine.Noop{})
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := statemachine.Batch{packed}.Pack()
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// TestTruncatedVote: a voter that accepted more entries than fit a vote says
// so, and a new leader proposes nothing of its own beyond the reported ones.
// It runs the election again to get the rest.
func TestTruncatedVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSingleStore(t)
		defer s.Kill()
		previous := []byte("zero")
		number := ballot.Number{Round: 1, Candidate: "other"}
		for index := range uint64(maxVoteEntries + 3) {
			entry := paxos.Entry{Index: index + 1, Previous: previous, Batch: packedNoop(t), Ballot: number}
			if err := s.acceptor.Accept(entry); err != nil {
				t.Fatal(err)
			}
			previous = entry.Digest()
		}
		reported, truncated := s.acceptedAfter(0)
		if len(reported) != maxVoteEntries || !truncated {
			t.Fatalf("%d entries reported, truncated %v", len(reported), truncated)
		}
		if rest, truncated := s.acceptedAfter(maxVoteEntries); len(rest) != 3 || truncated {
			t.Errorf("%d entries in the rest, truncated %v", len(rest), truncated)
		}
		own := ballot.Number{Round: 2, Candidate: s.acceptor.Identity().ID}
		s.voter = ballot.NewVoter(own, s.Settings.LeaderTimeout(), s.promise)
		s.role.Fire("stand")
		vote := voteResponse{ID: own.Candidate, Granted: true, Entries: reported[:2], Truncated: true}
		if s.prepare(t.Context(), own, s.memberSet(), []voteResponse{vote}, []string{"me:1"}) {
			t.Error("elected by a truncated vote")
		}
		if s.appliedIndex != 2 || s.leadership != nil || !s.campaignNow {
			t.Errorf("applied index is %d, new election %v", s.appliedIndex, s.campaignNow)
		}
	})
}

// TestInvalidSnapshotTransfersRefused: a snapshot with a wrong announcement or
// wrong chunks is refused with its reason, and nothing of it is installed.
// After an interruption the transfer continues where it was.
func TestInvalidSnapshotTransfersRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, network := newSingleStore(t)
		defer s.Kill()
		source := statemachine.New("m", s.state.Members)
		source.Revision = 77
		source.Keys["large"] = statemachine.Key{Value: bytes.Repeat([]byte("x"), 3*snapshotChunk), Revision: 77}
		state, err := source.Pack()
		if err != nil {
			t.Fatal(err)
		}
		digest := sha256.Sum256(state)
		valid := snapshotHeader{ID: digest[:], Index: 9, Digest: []byte("nine"), Size: len(state)}
		var corrupt func(*chunkResponse) error
		requests := 0
		tasks := task.New(context.Background())
		defer tasks.Stop()
		node := transport.NewNode(transport.Hello{ClusterID: "m", Node: "sender"}, env.Env{Net: network, WallClock: time.Now, Log: event.New("sender", nil)}, tasks, 1<<20, 8, time.Second)
		transport.Handle(node, "store.snapshot", func(_ context.Context, _ transport.Hello, request chunkRequest) (chunkResponse, error) {
			requests++
			data := bytes.Clone(state[request.Offset:min(request.Offset+snapshotChunk, len(state))])
			response := chunkResponse{ID: request.ID, Offset: request.Offset, Data: data, Checksum: crc32.ChecksumIEEE(data)}
			return response, corrupt(&response)
		})
		if err := node.Listen("sender:1"); err != nil {
			t.Fatal(err)
		}
		defer node.Close()
		other := sha256.Sum256([]byte("other"))
		for _, c := range []struct {
			name    string
			header  snapshotHeader
			corrupt func(*chunkResponse) error
			fault   string
		}{
			{"too large", snapshotHeader{ID: digest[:], Size: 1 << 30}, nil, "announced size"},
			{"empty", snapshotHeader{ID: digest[:]}, nil, "announced size"},
			{"without an identity", snapshotHeader{Size: 10}, nil, "announced size"},
			{"a newer format", snapshotHeader{ID: digest[:], Index: 9, Size: len(state), Format: paxos.Format + 1}, nil, "it is of format 2, newer than 1"},
			{"a damaged chunk", valid, func(c *chunkResponse) error { c.Data[5] ^= 1; return nil }, "fails its checksum"},
			{"a chunk of another", valid, func(c *chunkResponse) error { c.ID = other[:]; return nil }, "another snapshot"},
			{"a chunk out of order", valid, func(c *chunkResponse) error { c.Offset += 7; return nil }, "in place of"},
			{"an empty chunk", valid, func(c *chunkResponse) error { c.Data = nil; return nil }, "in place of"},
			{"too much", valid, func(c *chunkResponse) error { c.Data = append(c.Data, make([]byte, snapshotChunk)...); return nil }, "in place of"},
			{"another content", snapshotHeader{ID: other[:], Index: 9, Size: len(state)}, func(*chunkResponse) error { return nil }, "fails its checksum"},
		} {
			corrupt = c.corrupt
			err := s.fetchSnapshot(t.Context(), "sender:1", c.header)
			if !fault.Is(err, fault.Input) || !strings.Contains(err.Error(), c.fault) || s.state.Revision == 77 || s.incoming != nil {
				t.Errorf("%s: %v, revision %d", c.name, err, s.state.Revision)
			}
		}
		// The sender fails in the middle; the chunks received are kept.
		corrupt = func(c *chunkResponse) error {
			if c.Offset >= 2*snapshotChunk {
				return fault.New(fault.Refused, "gone")
			}
			return nil
		}
		if err := s.fetchSnapshot(t.Context(), "sender:1", valid); err == nil || s.incoming == nil {
			t.Fatalf("interrupted transfer: %v", err)
		}
		requests, corrupt = 0, func(*chunkResponse) error { return nil }
		if err := s.fetchSnapshot(t.Context(), "sender:1", valid); err != nil || s.state.Revision != 77 || s.appliedIndex != 9 {
			t.Fatalf("after the interruption: %v, revision %d", err, s.state.Revision)
		}
		if requests != 2 {
			t.Errorf("%d chunks fetched after the interruption", requests)
		}
	})
}
