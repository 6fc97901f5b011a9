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

// promisePrefix is the prefix of the names of promise files.
const promisePrefix = "p-"

// promiseFile returns the name of the file for a promise in a round.
func promiseFile(round uint64) string { return fmt.Sprintf("%s%016x", promisePrefix, round) }

// entryFile returns the name of the file for the entry at an index.
func entryFile(index uint64) string { return fmt.Sprintf("v-%016x", index) }

// Promise stores a promised ballot durably and then removes the file of the previous
// one. A ballot below the current promise, which an accepted entry may have raised
// meanwhile, is refused with fault.Stale.
func (a *Acceptor) Promise(number ballot.Number) error {
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	return a.promise(number)
}

// promise is Promise without locking; writeLock is held.
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

// Accept stores an entry; when it returns nil, the entry is durable. An entry whose
// ballot is below the current promise is refused with fault.Stale.
func (a *Acceptor) Accept(entry Entry) error {
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	promised := a.Promised()
	if entry.Ballot.Less(promised) {
		return fault.New(fault.Stale, "ballot %s is below the promise %s", entry.Ballot, promised)
	}
	// The promise is stored in its own file, so that a damaged entry never lowers it.
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

// writeEntries stores the entries that are not stored yet, with one sync of the folder
// for all. The folder must be synced too, because a disk may lose the name of a synced
// file. writeLock is held.
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
			return fault.Wrap(fault.Input, err, "encode "+entryFile(e.Index))
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

// isStored reports whether the same value is already stored under the same ballot.
func (a *Acceptor) isStored(entry *Entry) bool {
	a.mu.Lock()
	stored, digest := a.entries[entry.Index], a.digests[entry.Index]
	a.mu.Unlock()
	return stored != nil && stored.Ballot == entry.Ballot && bytes.Equal(digest, entry.Digest())
}

// Learn stores entries that are known to be chosen.
func (a *Acceptor) Learn(entries ...Entry) error {
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	var learned []Entry
	a.mu.Lock()
	for _, e := range entries {
		// An entry that was accepted here under a higher ballot keeps that ballot.
		if stored := a.entries[e.Index]; stored != nil && e.Ballot.Less(stored.Ballot) {
			e.Ballot = stored.Ballot
		}
		learned = append(learned, e)
	}
	a.mu.Unlock()
	return a.writeEntries(learned)
}

// HighestIndex returns the highest accepted index, or 0.
func (a *Acceptor) HighestIndex() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.highest()
}

// highest is Top without locking; mu is held.
func (a *Acceptor) highest() uint64 {
	var highest uint64
	for index := range a.entries {
		highest = max(highest, index)
	}
	return highest
}

// EntriesAfter returns at most limit accepted entries above an index, in order.
func (a *Acceptor) EntriesAfter(index uint64, limit int) []Entry {
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

// HoldsAfter reports whether no entry above an index has been compacted.
func (a *Acceptor) HoldsAfter(index uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return index >= a.compactedTo
}
