package paxos

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/ballot"
	"puffincrank/internal/disk"
	"puffincrank/internal/fault"
	"puffincrank/internal/trace"
)

// promisePrefix begins the names of the files of promises.
const promisePrefix = "p-"

// promiseName is the file of the promise of a round.
func promiseName(round uint64) string { return fmt.Sprintf("%s%016x", promisePrefix, round) }

// entryName is the file of a log entry.
func entryName(index uint64) string { return fmt.Sprintf("v-%016x", index) }

// Promise keeps a ballot number; the file of the one before goes away. One
// below a promise that an accepted entry made meanwhile is refused as stale.
func (a *Acceptor) Promise(n ballot.Number) error {
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	return a.promise(n)
}

func (a *Acceptor) promise(n ballot.Number) error {
	if promised := a.Promised(); n.Less(promised) {
		return fault.New(fault.Stale, "ballot %s is below the promise %s", n, promised)
	}
	if err := a.save(promiseName(n.Round), &n); err != nil {
		return err
	}
	a.mu.Lock()
	old := a.promised
	a.promised = n
	me := a.identity.ID
	a.mu.Unlock()
	a.Observe.Notify(trace.Promised{Replica: me, Ballot: n})
	if old.Round != n.Round {
		_ = a.fs.Remove(promiseName(old.Round))
	}
	return nil
}

// Accept keeps an entry; when it returns nil it is synced.
func (a *Acceptor) Accept(e Entry) error {
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	promised := a.Promised()
	if e.Ballot.Less(promised) {
		return fault.New(fault.Stale, "ballot %s is below the promise %s", e.Ballot, promised)
	}
	// The promise gets its own file, so that damage to an entry never
	// lowers it.
	if promised.Less(e.Ballot) {
		if err := a.promise(e.Ballot); err != nil {
			return err
		}
	}
	if err := a.writeEntry(e); err != nil {
		return err
	}
	a.Observe.Notify(trace.Accepted{Replica: a.Identity().ID, Ballot: e.Ballot, Index: e.Index, Digest: string(e.Digest())})
	return nil
}

func (a *Acceptor) writeEntry(e Entry) error { return a.writeEntries([]Entry{e}) }

// writeEntries keeps entries that aren't kept yet, with one sync of the folder: a disk
// may lose the name of a synced file.
func (a *Acceptor) writeEntries(all []Entry) error {
	var fresh []Entry
	var files []disk.NamedFile
	for _, e := range all {
		e.Format = Format
		if a.keeps(&e) {
			continue
		}
		data, err := msgpack.Marshal(&e)
		if err != nil {
			return fault.Wrap(fault.Input, err, "pack "+entryName(e.Index))
		}
		fresh = append(fresh, e)
		files = append(files, disk.NamedFile{Name: entryName(e.Index), Data: data})
	}
	if len(files) == 0 {
		return nil
	}
	if err := disk.SaveAll(a.fs, files); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range fresh {
		a.entries[e.Index], a.sums[e.Index] = &e, e.Digest()
		if a.promised.Less(e.Ballot) {
			a.promised = e.Ballot
		}
	}
	return nil
}

// keeps tells whether an entry is kept already, under the same ballot.
func (a *Acceptor) keeps(e *Entry) bool {
	a.mu.Lock()
	old, sum := a.entries[e.Index], a.sums[e.Index]
	a.mu.Unlock()
	return old != nil && old.Ballot == e.Ballot && bytes.Equal(sum, e.Digest())
}

// Learn keeps entries that are known to be chosen.
func (a *Acceptor) Learn(all ...Entry) error {
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	var kept []Entry
	a.mu.Lock()
	for _, e := range all {
		// The ballot of an own acceptance is never lowered.
		if old := a.entries[e.Index]; old != nil && e.Ballot.Less(old.Ballot) {
			e.Ballot = old.Ballot
		}
		kept = append(kept, e)
	}
	a.mu.Unlock()
	return a.writeEntries(kept)
}

// HighestIndex gives the highest accepted index.
func (a *Acceptor) HighestIndex() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.top()
}

func (a *Acceptor) top() uint64 {
	var top uint64
	for s := range a.entries {
		top = max(top, s)
	}
	return top
}

// EntriesAfter gives the accepted entries above an index, in order, at most most.
func (a *Acceptor) EntriesAfter(index uint64, most int) []Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []Entry
	for s, top := index+1, a.top(); s <= top && len(out) < most; s++ {
		if e := a.entries[s]; e != nil {
			out = append(out, *e)
		}
	}
	return out
}

// HoldsAfter tells whether every entry above an index is still kept here.
func (a *Acceptor) HoldsAfter(index uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return index >= a.compactedTo
}
