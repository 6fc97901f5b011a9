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

var keepFiles = flag.Bool("keep-files", false, "write the stored files of this version to testdata")

// oldFiles are the disks of a small core as an earlier version left them.
type oldFiles struct {
	Disks []map[string][]byte
	Kept  struct {
		Rev, Num, Fence uint64
		Version         float64
	}
}

// TestOldFiles: the files of the last tagged version are taken up whole by
// this one: configuration, keys, numbers and locks go on from there.
func TestOldFiles(t *testing.T) {
	t.Parallel()
	const name = "testdata/files-v0.1.0.json"
	if *keepFiles {
		synctest.Test(t, func(t *testing.T) {
			f := NewFleet(t, small(), 95)
			f.Start()
			k := f.keep()
			// Enough versions for a checkpoint and some after it.
			for i := range 300 {
				f.Ask("PUT", f.Cores[0].Host+":7003", fmt.Sprintf("/puffin/keys/row%d", i%5), `{"value":"x"}`)
			}
			Wait(time.Second)
			f.Stop()
			var out oldFiles
			out.Kept.Rev, out.Kept.Num, out.Kept.Fence, out.Kept.Version = k.rev, k.num, k.fence, k.version
			for _, c := range f.Cores {
				m := map[string][]byte{}
				for n, x := range c.Disk.safe {
					if n[0] != 'r' {
						m[n] = x.saved
					}
				}
				out.Disks = append(out.Disks, m)
			}
			raw, err := json.Marshal(out)
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
	var in oldFiles
	if err := json.Unmarshal(raw, &in); err != nil || len(in.Disks) != 3 {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, small(), 96)
		defer f.Stop()
		f.Steps.Adopt()
		for i, c := range f.Cores {
			for n, b := range in.Disks[i] {
				x := &node{data: b, saved: b}
				c.Disk.now[n], c.Disk.safe[n] = x, x
			}
			f.StartStore(c)
			f.StartRegistry(c)
		}
		for i, n := range f.Nodes {
			f.StartProxy(n)
			f.StartWorker(n, f.S.Serves(i))
		}
		f.serves(15 * time.Second)
		f.Until(15*time.Second, "all is whole", f.Whole)
		f.still(kept{in.Kept.Rev, in.Kept.Num, in.Kept.Fence, in.Kept.Version})
	})
}
