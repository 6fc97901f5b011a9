package registry

import (
	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/disk"
	"puffincrank/internal/ormap"
	"puffincrank/internal/transport"
)

// workersFile holds the registrations on this machine's disk. Nodes have none: when
// all processes are lost at once, nobody else remembers which worker stands
// beside which node, though the workers run on and beat only after a while.
const workersFile = "workers"

// savedWorkers is the file's content.
type savedWorkers struct {
	ClusterID string      `msgpack:"m"`
	Entries   ormap.Delta `msgpack:"a"` // the live entries, and who is gone for good
}

// saveWorkers writes the live entries where they have changed. It is best effort: a
// disk in trouble costs no more than what this file would have saved. The result
// tells whether what stands now is there, or there is no disk.
func (r *Registry) saveWorkers() bool {
	r.saveLock.Lock()
	defer r.saveLock.Unlock()
	digest := ormap.CombineDigests(r.replica.Map().Digests())
	if r.env.FS == nil || digest == r.savedDigest {
		return true
	}
	if !r.lifecycle.Is("ready") {
		return false
	}
	entries := ormap.Delta{Adds: r.replica.Map().Live(nil), Tombstones: r.replica.Map().Departures("")}
	if entries.Empty() {
		// A replica that was emptied must not empty the file.
		return true
	}
	raw, err := msgpack.Marshal(savedWorkers{ClusterID: r.Settings.ClusterID, Entries: entries.Encode()})
	if err != nil || disk.Save(r.env.FS, workersFile, raw) != nil {
		return false
	}
	r.savedDigest = digest
	return true
}

// loadWorkers adds what the file holds to a replica that has nothing of it. Where a
// peer remembers any of it, it knows what was removed since, which the file
// does not. Where peers know about as many others, the file is of long ago, and
// the tombstones of what it holds are forgotten; the few workers that beat before a
// start was through say nothing of that.
func (r *Registry) loadWorkers() {
	if r.env.FS == nil {
		return
	}
	raw, err := disk.Load(r.env.FS, workersFile)
	var saved savedWorkers
	if err != nil || transport.Decode(raw, &saved) != nil || saved.ClusterID != r.Settings.ClusterID {
		return
	}
	entries, err := saved.Entries.Decode()
	if err != nil {
		return
	}
	r.replica.Accept(ormap.Delta{Tombstones: entries.Tombstones})
	for _, e := range entries.Adds {
		if live, removed := r.replica.Map().Knows(e.Dot.Hash()); live || removed {
			return
		}
	}
	if 2*len(r.replica.Map().Live(nil)) >= len(entries.Adds) {
		return
	}
	r.replica.Restore(ormap.Delta{Adds: entries.Adds})
}
