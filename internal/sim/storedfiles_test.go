package sim

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

var writeStoredFiles = flag.Bool("keep-files", false, "write the stored files of this version to testdata")

// storedFiles holds the disks of a small control plane as an earlier version wrote
// them, and the values to expect from them.
type storedFiles struct {
	Disks []map[string][]byte
	Kept  struct {
		Rev, Num, Fence uint64
		Version         float64
	}
}

// TestOldFiles checks that this version loads the files of the last tagged version
// completely: configuration, keys, numbers and locks continue from there.
func TestOldFiles(t *testing.T) {
	t.Parallel()
	const name = "testdata/files-v0.1.0.json"
	if *writeStoredFiles {
		synctest.Test(t, func(t *testing.T) {
			fleet := NewFleet(t, smallShape(), 95)
			fleet.Start()
			before := fleet.recordState()
			// Enough log entries for a snapshot and some entries after it.
			for i := range 300 {
				fleet.Request("PUT", fleet.ControlMachines[0].Host+":7003", fmt.Sprintf("/puffin/keys/row%d", i%5), `{"value":"x"}`)
			}
			Wait(time.Second)
			fleet.Stop()
			var written storedFiles
			written.Kept.Rev, written.Kept.Num, written.Kept.Fence, written.Kept.Version = before.rev, before.number, before.fence, before.version
			for _, c := range fleet.ControlMachines {
				files := map[string][]byte{}
				for n, content := range c.Disk.durable {
					if n[0] != 'r' {
						files[n] = content.synced
					}
				}
				written.Disks = append(written.Disks, files)
			}
			raw, err := json.Marshal(written)
			if err == nil {
				err = os.MkdirAll("testdata", 0o755)
			}
			if err == nil {
				err = os.WriteFile(name, raw, 0o644)
			}
			if err != nil {
				t.Fatal(err)
			}
		})
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	var stored storedFiles
	if err := json.Unmarshal(raw, &stored); err != nil || len(stored.Disks) != 3 {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		fleet := NewFleet(t, smallShape(), 96)
		defer fleet.Stop()
		fleet.Steps.TrustInitialState()
		for i, c := range fleet.ControlMachines {
			for n, b := range stored.Disks[i] {
				content := &node{data: b, synced: b}
				c.Disk.files[n], c.Disk.durable[n] = content, content
			}
			fleet.StartStore(c)
			fleet.StartRegistry(c)
		}
		for i, n := range fleet.Nodes {
			fleet.StartProxy(n)
			fleet.StartWorker(n, fleet.Shape.ServiceOf(i))
		}
		fleet.untilWritable(15 * time.Second)
		fleet.Until(15*time.Second, "every node knows every worker", fleet.Converged)
		fleet.checkState(acknowledgedState{stored.Kept.Rev, stored.Kept.Num, stored.Kept.Fence, stored.Kept.Version})
	})
}
