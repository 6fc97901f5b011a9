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

// promiseFile is the file of the promise of a round.
func promiseFile(round uint64) string { return fmt.Sprintf("%s%016x", promisePrefix, round) }

// entryFile is the file of a log entry.
func entryFile(index uint64) string { return fmt.Sprintf("v-%016x", index) }

// Promise keeps a ballot number; the file of the one before goes away. One
// below a promise that an accepted entry made meanwhile is refused as stale.
func (a *Acceptor) Promise(number ballot.Number) error {
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	return a.promise(number)
}

func (a *Acceptor) promise(number ballot.Number) error {
	if promised := a.Promised(); number.Less(promised) {
		return fault.New(fault.Stale, "ballot %s is below the promise %s", number, promised)
	}
	if err := a.save(promiseFile(number.Round), &number); err != nil {
		return err
	}
	a.mu.Lock()
	previous := a.promised
	a.promised = number
	replica := a.identity.ID
	a.mu.Unlock()
	a.Observe.Notify(trace.Promised{Replica: replica, Ballot: number})
	if previous.Round != number.Round {
		_ = a.fs.Remove(promiseFile(previous.Round))
	}
	return nil
}

// Accept keeps an entry; when it returns nil it is synced.
func (a *Acceptor) Accept(entry Entry) error {
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	promised := a.Promised()
	if entry.Ballot.Less(promised) {
		return fault.New(fault.Stale, "ballot %s is below the promise %s", entry.Ballot, promised)
	}
	// The promise gets its own file, so that damage to an entry never
	// lowers it.
	if promised.Less(entry.Ballot) {
		if err := a.promise(entry.Ballot); err != nil {
			return err
		}
	}
	if err := a.writeEntry(entry); err != nil {
		return err
	}
	a.Observe.Notify(trace.Accepted{Replica: a.Identity().ID, Ballot: entry.Ballot, Index: entry.Index, Digest: string(entry.Digest())})
	return nil
}

func (a *Acceptor) writeEntry(entry Entry) error { return a.writeEntries([]Entry{entry}) }

// writeEntries keeps entries that aren't kept yet, with one sync of the folder: a disk
// may lose the name of a synced file.
func (a *Acceptor) writeEntries(entries []Entry) error {
	var added []Entry
	var files []disk.NamedFile
	for _, e := range entries {
		e.Format = Format
		if a.isStored(&e) {
			continue
		}
		data, err := msgpack.Marshal(&e)
		if err != nil {
			return fault.Wrap(fault.Input, err, "pack "+entryFile(e.Index))
		}
		added = append(added, e)
		files = append(files, disk.NamedFile{Name: entryFile(e.Index), Data: data})
	}
	if len(files) == 0 {
		return nil
	}
	if err := disk.SaveAll(a.fs, files); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range added {
		a.entries[e.Index], a.digests[e.Index] = &e, e.Digest()
		if a.promised.Less(e.Ballot) {
			a.promised = e.Ballot
		}
	}
	return nil
}

// isStored tells whether an entry is kept already, under the same ballot.
func (a *Acceptor) isStored(entry *Entry) bool {
	a.mu.Lock()
	stored, digest := a.entries[entry.Index], a.digests[entry.Index]
	a.mu.Unlock()
	return stored != nil && stored.Ballot == entry.Ballot && bytes.Equal(digest, entry.Digest())
}

// Learn keeps entries that are known to be chosen.
func (a *Acceptor) Learn(entries ...Entry) error {
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	var learned []Entry
	a.mu.Lock()
	for _, e := range entries {
		// The ballot of an own acceptance is never lowered.
		if stored := a.entries[e.Index]; stored != nil && e.Ballot.Less(stored.Ballot) {
			e.Ballot = stored.Ballot
		}
		learned = append(learned, e)
	}
	a.mu.Unlock()
	return a.writeEntries(learned)
}

// Top gives the highest accepted index.
func (a *Acceptor) Top() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.highest()
}

func (a *Acceptor) highest() uint64 {
	var highest uint64
	for index := range a.entries {
		highest = max(highest, index)
	}
	return highest
}

// After gives the accepted entries above an index, in order, at most most.
func (a *Acceptor) After(index uint64, limit int) []Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	var entries []Entry
	for i, highest := index+1, a.highest(); i <= highest && len(entries) < limit; i++ {
		if entry := a.entries[i]; entry != nil {
			entries = append(entries, *entry)
		}
	}
	return entries
}

// HoldsAfter tells whether every entry above an index is still kept here.
func (a *Acceptor) HoldsAfter(index uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return index >= a.compactedTo
}
