package registry

import (
	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/disk"
	"puffincrank/internal/ormap"
	"puffincrank/internal/transport"
)

// workersFile stores the registrations on this machine's disk. Proxies store none: when all
// processes are lost at once, nothing else remembers which worker runs beside which node,
// while the workers keep running and send their next heartbeat only later.
const workersFile = "workers"

// savedWorkers is the content of the file.
type savedWorkers struct {
	ClusterID string      `msgpack:"m"`
	Entries   ormap.Delta `msgpack:"a"` // the live entries, and the tombstones of workers that left for good
}

// savedState tells whether the file is current. It is zero for an empty replica, which is never saved.
type savedState struct {
	live       uint64 // digest of the live entries
	departures uint64 // tombstones of workers that left for good, counted since the start
}

// saveWorkers writes the live entries, and which workers left for good, if they have changed. It is best effort: a disk
// failure costs only what the file would have restored. The result is true if the file
// holds the current state, or if there is no disk.
func (r *Registry) saveWorkers() bool {
	r.saveLock.Lock()
	defer r.saveLock.Unlock()
	current := savedState{live: ormap.CombineDigests(r.replica.Map().Digests()), departures: r.replica.Map().DeparturesRecorded()}
	if r.env.FS == nil || current == r.saved {
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
	r.saved = current
	return true
}

// loadWorkers restores the file's entries into a replica that has learned none of them from
// its peers. A peer that knows any of them also knows what was removed since, which the
// file does not. If the peers know at least half as many entries as the file holds, the
// file is outdated and the tombstones of its entries may have expired. Fewer entries do not
// show that: they come from workers whose heartbeats arrived during the start.
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
