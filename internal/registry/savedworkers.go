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
	Mesh string      `msgpack:"m"`
	All  ormap.Delta `msgpack:"a"` // the live entries, and who is gone for good
}

// saveWorkers writes the live entries where they have changed. It is best effort: a
// disk in trouble costs no more than what this file would have saved. The result
// tells whether what stands now is there, or there is no disk.
func (r *Registry) saveWorkers() bool {
	r.saving.Lock()
	defer r.saving.Unlock()
	now := ormap.CombineDigests(r.rep.Map().Digests())
	if r.e.FS == nil || now == r.keptAs {
		return true
	}
	if !r.life.Is("ready") {
		return false
	}
	all := ormap.Delta{Adds: r.rep.Map().Live(nil), Tombstones: r.rep.Map().Departures("")}
	if all.Empty() {
		// A replica that was emptied must not empty the file.
		return true
	}
	raw, err := msgpack.Marshal(savedWorkers{Mesh: r.Settings.ClusterID, All: all.Encode()})
	if err != nil || disk.Save(r.e.FS, workersFile, raw) != nil {
		return false
	}
	r.keptAs = now
	return true
}

// loadWorkers adds what the file holds to a replica that has nothing of it. Where a
// peer remembers any of it, it knows what was removed since, which the file
// does not. Where peers know about as many others, the file is of long ago, and
// the tombstones of what it holds are forgotten; the few workers that beat before a
// start was through say nothing of that.
func (r *Registry) loadWorkers() {
	if r.e.FS == nil {
		return
	}
	raw, err := disk.Load(r.e.FS, workersFile)
	var was savedWorkers
	if err != nil || transport.Decode(raw, &was) != nil || was.Mesh != r.Settings.ClusterID {
		return
	}
	all, err := was.All.Decode()
	if err != nil {
		return
	}
	r.rep.Accept(ormap.Delta{Tombstones: all.Tombstones})
	for _, e := range all.Adds {
		if live, dead := r.rep.Map().Knows(e.Dot.Hash()); live || dead {
			return
		}
	}
	if 2*len(r.rep.Map().Live(nil)) >= len(all.Adds) {
		return
	}
	r.rep.Restore(ormap.Delta{Adds: all.Adds})
}
