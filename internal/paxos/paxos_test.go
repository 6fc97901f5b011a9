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

func open(t *testing.T, d *sim.Disk) *paxos.Acceptor {
	t.Helper()
	a, err := paxos.Open(d)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// row fills an acceptor with a snapshot at 0 and n chained entries.
func row(t *testing.T, d *sim.Disk, n int) *paxos.Acceptor {
	t.Helper()
	a := open(t, d)
	_ = a.SetIdentity(paxos.Identity{ID: "r1", ClusterID: "m"})
	if err := a.InstallSnapshot(paxos.Snapshot{Digest: []byte("zero"), State: []byte("s")}); err != nil {
		t.Fatal(err)
	}
	prev := []byte("zero")
	for i := range n {
		e := paxos.Entry{Index: uint64(i + 1), Previous: prev, Batch: []byte(fmt.Sprint(i)), Ballot: ballot.Number{Round: 1, Candidate: "w"}}
		if err := a.Accept(e); err != nil {
			t.Fatal(err)
		}
		prev = e.Digest()
	}
	return a
}

// TestPower: what was acknowledged is there after power is lost, whatever was
// half written.
func TestPower(t *testing.T) {
	d := sim.NewDisk()
	row(t, d, 5)
	f, _ := d.Create("v-0000000000000006.aside")
	_, _ = f.Write([]byte("half"))
	d.Power()
	a := open(t, d)
	if a.HighestIndex() != 5 || a.Identity().ID != "r1" || a.Promised().Round != 1 {
		t.Fatalf("after power loss: top %d, %v, %v", a.HighestIndex(), a.Identity(), a.Promised())
	}
	// All but the newest are proved chosen by the chain alone.
	if got := a.ProvenChosen(0, []byte("zero")); len(got) != 4 {
		t.Fatalf("%d versions are sure, want 4", len(got))
	}
}

// TestNoSyncNoWord: a save that skips the folder's sync would be caught.
func TestNoSyncNoWord(t *testing.T) {
	d := sim.NewDisk()
	f, _ := d.Create("a")
	_, _ = f.Write([]byte("x"))
	_ = f.Sync()
	_ = d.Rename("a", "b")
	d.Power()
	if _, err := d.Read("b"); err == nil {
		t.Fatal("the disk stand-in keeps a rename that was not synced: it would catch nothing")
	}
	if err := disk.Save(d, "b", []byte("x")); err != nil {
		t.Fatal(err)
	}
	d.Power()
	if got, err := disk.Load(d, "b"); err != nil || string(got) != "x" {
		t.Fatalf("saved file after power loss: %q %v", got, err)
	}
}

// TestDamage: a damaged or torn entry is found at start, put aside, and the
// replica knows that it must not vote until it is mended; a damaged promise
// or identity makes the replica empty under a new name.
func TestDamage(t *testing.T) {
	for _, torn := range []bool{false, true} {
		d := sim.NewDisk()
		row(t, d, 5)
		if !d.Harm("v-0000000000000003", torn) {
			t.Fatal("no such file")
		}
		a := open(t, d)
		if a.DamagedUpTo() != 3 || len(a.DamagedFiles) != 1 {
			t.Errorf("torn %v: harmed %d, notes %v", torn, a.DamagedUpTo(), a.DamagedFiles)
		}
		if a.Promised().Round != 1 {
			t.Error("the promise was lost with the version")
		}
		for _, name := range []string{"p-0000000000000001", "i-identity", "c-0000000000000000"} {
			d := sim.NewDisk()
			row(t, d, 5)
			if !d.Harm(name, torn) {
				t.Fatalf("no file %s", name)
			}
			if a := open(t, d); a.Identity().ID != "" || a.LatestSnapshot() != nil || a.HighestIndex() != 0 {
				t.Errorf("%s damaged, torn %v: the old votes are still lent", name, torn)
			}
		}
	}
}

// TestNewerFormat: files of a later entry are refused, and nothing changes.
func TestNewerFormat(t *testing.T) {
	d := sim.NewDisk()
	raw := []byte{0x82, 0xa1, 'f', 9, 0xa1, 'i', 0xa1, 'x'}
	if err := disk.Save(d, "i-identity", raw); err != nil {
		t.Fatal(err)
	}
	if _, err := paxos.Open(d); !fault.Is(err, fault.Input) {
		t.Fatalf("a newer format: %v", err)
	}
	if _, err := d.Read("i-identity"); err != nil {
		t.Fatal("the file is gone")
	}
}

// TestFull: a full disk acknowledges nothing, and a snapshot still fits in
// the room that was kept free for it.
func TestFull(t *testing.T) {
	d := sim.NewDisk()
	a := row(t, d, 3)
	if err := a.ReserveSpace(10_000); err != nil {
		t.Fatal(err)
	}
	d.Room(20)
	e := paxos.Entry{Index: 4, Previous: []byte("p"), Batch: make([]byte, 100), Ballot: ballot.Number{Round: 1, Candidate: "w"}}
	if err := a.Accept(e); err == nil {
		t.Fatal("accepted on a full disk")
	}
	if a.HighestIndex() != 3 {
		t.Fatalf("top %d after a refused write", a.HighestIndex())
	}
	if err := a.SaveSnapshot(a.Identity().ID, paxos.Snapshot{Index: 3, Digest: []byte("x"), State: make([]byte, 5000)}, 0); err != nil {
		t.Fatalf("no checkpoint on a full disk: %v", err)
	}
	if err := a.Accept(e); err != nil {
		t.Fatalf("after the checkpoint freed room: %v", err)
	}
}

// TestPromises plays asks and accepts: no promise is ever broken, across
// restarts with power loss.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := sim.NewDisk()
		a, err := paxos.Open(d)
		if err != nil {
			t.Fatal(err)
		}
		_ = a.SetIdentity(paxos.Identity{ID: "r"})
		_ = a.InstallSnapshot(paxos.Snapshot{Digest: []byte("z")})
		var promised ballot.Number
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n := ballot.Number{Round: rapid.Uint64Range(1, 8).Draw(t, "round"), Candidate: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "who")}
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				err := a.Promise(n)
				if (err == nil) != !n.Less(promised) {
					t.Fatalf("promise %v under promise %v: %v", n, promised, err)
				}
				if err == nil {
					promised = n
				}
			case 1:
				err := a.Accept(paxos.Entry{Index: 1, Batch: []byte(n.String()), Ballot: n})
				if (err == nil) != !n.Less(promised) {
					t.Fatalf("accept %v under promise %v: %v", n, promised, err)
				}
				if err == nil {
					promised = n
				}
			case 2:
				d.Power()
				if a, err = paxos.Open(d); err != nil {
					t.Fatal(err)
				}
				if a.Promised() != promised {
					t.Fatalf("after power loss the promise is %v, not %v", a.Promised(), promised)
				}
			}
		}
	})
}
