package paxos_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"puffincrank/internal/ballot"
	"puffincrank/internal/disk"
	"puffincrank/internal/fault"
	"puffincrank/internal/paxos"
	"puffincrank/internal/sim"
)

func openAcceptor(t *testing.T, simDisk *sim.Disk) *paxos.Acceptor {
	t.Helper()
	acceptor, err := paxos.Open(simDisk)
	if err != nil {
		t.Fatal(err)
	}
	return acceptor
}

// acceptorWithEntries returns an acceptor with a snapshot at index 0 and count chained
// entries after it.
func acceptorWithEntries(t *testing.T, simDisk *sim.Disk, count int) *paxos.Acceptor {
	t.Helper()
	acceptor := openAcceptor(t, simDisk)
	_ = acceptor.SetIdentity(paxos.Identity{ID: "r1", ClusterID: "m"})
	if err := acceptor.InstallSnapshot(paxos.Snapshot{Digest: []byte("zero"), State: []byte("s")}); err != nil {
		t.Fatal(err)
	}
	previous := []byte("zero")
	for i := range count {
		entry := paxos.Entry{Index: uint64(i + 1), Previous: previous, Batch: []byte(fmt.Sprint(i)), Ballot: ballot.Number{Round: 1, Candidate: "w"}}
		if err := acceptor.Accept(entry); err != nil {
			t.Fatal(err)
		}
		previous = entry.Digest()
	}
	return acceptor
}

// TestPowerLoss checks that acknowledged entries survive a power loss during an
// unfinished write.
func TestPowerLoss(t *testing.T) {
	simDisk := sim.NewDisk()
	acceptorWithEntries(t, simDisk, 5)
	file, _ := simDisk.Create("v-0000000000000006.aside")
	_, _ = file.Write([]byte("half"))
	simDisk.LosePower()
	acceptor := openAcceptor(t, simDisk)
	if acceptor.HighestIndex() != 5 || acceptor.Identity().ID != "r1" || acceptor.Promised().Round != 1 {
		t.Fatalf("after power loss: top %d, %v, %v", acceptor.HighestIndex(), acceptor.Identity(), acceptor.Promised())
	}
	// The chain alone proves all entries but the newest to be chosen.
	if got := acceptor.ProvenChosen(0, []byte("zero")); len(got) != 4 {
		t.Fatalf("%d entries are proven chosen, want 4", len(got))
	}
}

// TestRenameLostWithoutSync checks that the simulated disk loses a rename whose folder
// was not synced, so that the other tests detect a save that skips that sync.
func TestRenameLostWithoutSync(t *testing.T) {
	simDisk := sim.NewDisk()
	file, _ := simDisk.Create("a")
	_, _ = file.Write([]byte("x"))
	_ = file.Sync()
	_ = simDisk.Rename("a", "b")
	simDisk.LosePower()
	if _, err := simDisk.Read("b"); err == nil {
		t.Fatal("the simulated disk keeps a rename whose folder was not synced: a missing sync would not be detected")
	}
	if err := disk.Save(simDisk, "b", []byte("x")); err != nil {
		t.Fatal(err)
	}
	simDisk.LosePower()
	if got, err := disk.Load(simDisk, "b"); err != nil || string(got) != "x" {
		t.Fatalf("saved file after power loss: %q %v", got, err)
	}
}

// TestDamagedFiles checks that a damaged or torn entry is detected and quarantined when
// the folder is opened, and is reported by DamagedUpTo, so that the replica does not
// vote until it is repaired. A damaged promise, identity or only snapshot leaves the
// replica empty and without an identity.
func TestDamagedFiles(t *testing.T) {
	for _, torn := range []bool{false, true} {
		simDisk := sim.NewDisk()
		acceptorWithEntries(t, simDisk, 5)
		if !simDisk.Corrupt("v-0000000000000003", torn) {
			t.Fatal("no such file")
		}
		acceptor := openAcceptor(t, simDisk)
		if acceptor.DamagedUpTo() != 3 || len(acceptor.DamagedFiles) != 1 {
			t.Errorf("torn %v: damaged up to %d, damaged files %v", torn, acceptor.DamagedUpTo(), acceptor.DamagedFiles)
		}
		if acceptor.Promised().Round != 1 {
			t.Error("the promise was lost with the entry")
		}
		for _, name := range []string{"p-0000000000000001", "i-identity", "c-0000000000000000"} {
			simDisk := sim.NewDisk()
			acceptorWithEntries(t, simDisk, 5)
			if !simDisk.Corrupt(name, torn) {
				t.Fatalf("no file %s", name)
			}
			if acceptor := openAcceptor(t, simDisk); acceptor.Identity().ID != "" || acceptor.LatestSnapshot() != nil || acceptor.HighestIndex() != 0 {
				t.Errorf("%s damaged, torn %v: the replica is not empty", name, torn)
			}
		}
	}
}

// TestNewerFormat checks that Open refuses a file of a newer format and leaves it in
// place.
func TestNewerFormat(t *testing.T) {
	simDisk := sim.NewDisk()
	raw := []byte{0x82, 0xa1, 'f', 9, 0xa1, 'i', 0xa1, 'x'}
	if err := disk.Save(simDisk, "i-identity", raw); err != nil {
		t.Fatal(err)
	}
	if _, err := paxos.Open(simDisk); !fault.Is(err, fault.Input) {
		t.Fatalf("file of a newer format: %v", err)
	}
	if _, err := simDisk.Read("i-identity"); err != nil {
		t.Fatal("the file was removed")
	}
}

// TestFullDisk checks that no entry is accepted on a full disk, and that a snapshot
// still fits into the reserved space.
func TestFullDisk(t *testing.T) {
	simDisk := sim.NewDisk()
	acceptor := acceptorWithEntries(t, simDisk, 3)
	if err := acceptor.ReserveSpace(10_000); err != nil {
		t.Fatal(err)
	}
	simDisk.LimitFreeBytes(20)
	entry := paxos.Entry{Index: 4, Previous: []byte("p"), Batch: make([]byte, 100), Ballot: ballot.Number{Round: 1, Candidate: "w"}}
	if err := acceptor.Accept(entry); err == nil {
		t.Fatal("accepted on a full disk")
	}
	if acceptor.HighestIndex() != 3 {
		t.Fatalf("top %d after a refused write", acceptor.HighestIndex())
	}
	if err := acceptor.SaveSnapshot(acceptor.Identity().ID, paxos.Snapshot{Index: 3, Digest: []byte("x"), State: make([]byte, 5000)}, 0); err != nil {
		t.Fatalf("no snapshot on a full disk: %v", err)
	}
	if err := acceptor.Accept(entry); err != nil {
		t.Fatalf("after the snapshot freed space: %v", err)
	}
}

// TestPromisesNeverBroken checks that no sequence of promises, accepts and power losses
// breaks a promise.
func TestPromisesNeverBroken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simDisk := sim.NewDisk()
		acceptor, err := paxos.Open(simDisk)
		if err != nil {
			t.Fatal(err)
		}
		_ = acceptor.SetIdentity(paxos.Identity{ID: "r"})
		_ = acceptor.InstallSnapshot(paxos.Snapshot{Digest: []byte("z")})
		var promised ballot.Number
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			number := ballot.Number{Round: rapid.Uint64Range(1, 8).Draw(t, "round"), Candidate: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "who")}
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				err := acceptor.Promise(number)
				if (err == nil) != !number.Less(promised) {
					t.Fatalf("promise of %v after promise %v: %v", number, promised, err)
				}
				if err == nil {
					promised = number
				}
			case 1:
				err := acceptor.Accept(paxos.Entry{Index: 1, Batch: []byte(number.String()), Ballot: number})
				if (err == nil) != !number.Less(promised) {
					t.Fatalf("accept of %v after promise %v: %v", number, promised, err)
				}
				if err == nil {
					promised = number
				}
			case 2:
				simDisk.LosePower()
				if acceptor, err = paxos.Open(simDisk); err != nil {
					t.Fatal(err)
				}
				if acceptor.Promised() != promised {
					t.Fatalf("after power loss the promise is %v, want %v", acceptor.Promised(), promised)
				}
			}
		}
	})
}
