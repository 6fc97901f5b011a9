package paxos_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"puffincrank/internal/ballot"
	"puffincrank/internal/disk"
	"puffincrank/internal/paxos"
	"puffincrank/internal/sim"
)

// TestAcceptedEntriesSurvive checks that accepted entries are still there after any
// sequence of accepts, new ballots on old indexes, snapshots, failed writes, restarts
// and power losses. It also checks that a new entry under an unchanged ballot costs two
// syncs, one of its file and one of the folder.
func TestAcceptedEntriesSurvive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simDisk := sim.NewDisk()
		acceptor, err := paxos.Open(simDisk)
		if err != nil {
			t.Fatal(err)
		}
		_ = acceptor.SetIdentity(paxos.Identity{ID: "r"})
		_ = acceptor.InstallSnapshot(paxos.Snapshot{Digest: []byte("z")})
		accepted := map[uint64]ballot.Number{}
		round, highest, compacted := uint64(1), uint64(0), uint64(0)
		entry := func(index uint64) paxos.Entry {
			number := ballot.Number{Round: round, Candidate: "w"}
			return paxos.Entry{Index: index, Previous: []byte("p"), Batch: []byte(fmt.Sprint(index, " ", number)), Ballot: number}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "op") {
			case 0, 1, 2:
				highest++
				syncsBefore := simDisk.Syncs
				_, hasPrevious := accepted[highest-1]
				if err := acceptor.Accept(entry(highest)); err != nil {
					t.Fatal(err)
				}
				if hasPrevious && accepted[highest-1].Round == round && simDisk.Syncs-syncsBefore != 2 {
					t.Fatalf("%d syncs for one entry, want 2", simDisk.Syncs-syncsBefore)
				}
				accepted[highest] = ballot.Number{Round: round, Candidate: "w"}
			case 3:
				if highest > compacted {
					round++
					if err := acceptor.Accept(entry(highest)); err != nil {
						t.Fatal(err)
					}
					accepted[highest] = ballot.Number{Round: round, Candidate: "w"}
				}
			case 4:
				if highest > compacted+2 && acceptor.SaveSnapshot("r", paxos.Snapshot{Index: highest - 1, Digest: []byte("s")}, 0) == nil {
					compacted = highest - 1
				}
			case 5:
				if rapid.Bool().Draw(t, "power") {
					simDisk.LosePower()
				}
				if acceptor, err = paxos.Open(simDisk); err != nil {
					t.Fatal(err)
				}
			case 6:
				// A write that fails on a full disk is not acknowledged, and may leave
				// the entry or not.
				simDisk.LimitFreeBytes(5)
				if acceptor.Accept(entry(highest+1)) == nil {
					t.Fatal("accepted on a full disk")
				}
				simDisk.LimitFreeBytes(-1)
			}
			stored := map[uint64]ballot.Number{}
			for _, e := range acceptor.EntriesAfter(compacted, 1000) {
				stored[e.Index] = e.Ballot
			}
			for index := compacted + 1; index <= highest; index++ {
				if stored[index].Less(accepted[index]) {
					t.Fatalf("index %d: stored ballot is %v, accepted was %v", index, stored[index], accepted[index])
				}
			}
			if acceptor.Promised().Less(accepted[highest]) || acceptor.DamagedUpTo() > 0 {
				t.Fatalf("promise %v, damaged up to %d", acceptor.Promised(), acceptor.DamagedUpTo())
			}
		}
	})
}

// TestAdoptUnrenamed checks that of the unrenamed temporary files with the prefix only
// those that are undamaged and whose final name is free are adopted.
func TestAdoptUnrenamed(t *testing.T) {
	simDisk := sim.NewDisk()
	for _, n := range []string{"v-1", "x-1"} {
		if err := disk.Save(simDisk, n, []byte("old")); err != nil {
			t.Fatal(err)
		}
		if err := disk.Save(simDisk, n+"2", []byte("new")); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range []string{"v-12", "x-12"} {
		if err := simDisk.Rename(n, n+".aside"); err != nil {
			t.Fatal(err)
		}
	}
	if err := disk.Save(simDisk, "v-3", []byte("torn")); err != nil {
		t.Fatal(err)
	}
	if err := disk.Save(simDisk, "v-4", []byte("over")); err != nil {
		t.Fatal(err)
	}
	simDisk.Corrupt("v-3", true)
	_ = simDisk.Rename("v-3", "v-3.aside")
	_ = simDisk.Rename("v-4", "v-1.aside")
	if err := disk.AdoptUnrenamed(simDisk, "v-"); err != nil {
		t.Fatal(err)
	}
	names, err := disk.Names(simDisk, "")
	if err != nil || fmt.Sprint(names) != "[v-1 v-12 x-1]" {
		t.Fatal(names, err)
	}
	if got, err := disk.Load(simDisk, "v-1"); err != nil || !bytes.Equal(got, []byte("old")) {
		t.Errorf("%s, %v", got, err)
	}
}

// TestUnrenamedEntryAdopted checks that Open adopts an entry whose file has not got its
// final name. Earlier versions acknowledged an entry before its rename was durable.
func TestUnrenamedEntryAdopted(t *testing.T) {
	simDisk := sim.NewDisk()
	acceptorWithEntries(t, simDisk, 5)
	if err := simDisk.Rename("v-0000000000000005", "v-0000000000000005.aside"); err != nil {
		t.Fatal(err)
	}
	if acceptor := openAcceptor(t, simDisk); acceptor.HighestIndex() != 5 {
		t.Errorf("the highest entry is %d of 5", acceptor.HighestIndex())
	}
}

// TestPowerLossPerName checks that accepted entries survive a power loss in which each
// name that was created, renamed or removed since the last sync of the folder is kept
// or lost independently.
//
// It guards against acknowledging an entry after syncing only its file, not the folder.
// That lost the newest entry in 51 of 200 power losses. Each disk lost it independently,
// so all members could lose an acknowledged write: after all had lost power, the checks
// reported "revision 5 twice" and "a key was read older than an acknowledged write".
func TestPowerLossPerName(t *testing.T) {
	for seed := range uint64(200) {
		simDisk := sim.NewDisk()
		random := rand.New(rand.NewPCG(seed, 78))
		entries := 1 + random.IntN(30)
		acceptor := acceptorWithEntries(t, simDisk, entries)
		if random.IntN(2) == 0 && entries > 2 {
			if err := acceptor.SaveSnapshot("r1", paxos.Snapshot{Index: uint64(entries - 1), Digest: []byte("s"), State: []byte("s")}, uint64(random.IntN(3))); err != nil {
				t.Fatal(err)
			}
		}
		simDisk.LosePowerByName(random)
		acceptor = openAcceptor(t, simDisk)
		if acceptor.HighestIndex() != uint64(entries) || acceptor.Identity().ID != "r1" || acceptor.Promised().Round != 1 || acceptor.DamagedUpTo() > 0 {
			t.Errorf("seed %d: of %d entries the highest is %d, replica %q, promise %v, damaged up to %d", seed, entries, acceptor.HighestIndex(), acceptor.Identity().ID, acceptor.Promised(), acceptor.DamagedUpTo())
		}
	}
}
