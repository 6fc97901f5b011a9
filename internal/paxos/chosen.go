package paxos

import (
	"bytes"

	"puffincrank/internal/ballot"
	"puffincrank/internal/disk"
)

// Chain returns the entries from index+1 to top if they form a hash chain: the entry
// at top has this digest, each Previous is the digest of the entry before it, and the
// first Previous is previous. Otherwise it returns nil. If the entry at top is chosen,
// so is every entry of the chain.
func (a *Acceptor) Chain(index uint64, previous []byte, top uint64, digest []byte) []Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	if top <= index {
		return nil
	}
	chain := make([]Entry, top-index)
	for i := top; i > index; i-- {
		entry := a.entries[i]
		if entry == nil || !bytes.Equal(a.digests[i], digest) {
			return nil
		}
		chain[i-index-1] = *entry
		digest = entry.Previous
	}
	if !bytes.Equal(digest, previous) {
		return nil
	}
	return chain
}

// ProvenChosen returns the entries above index that the stored files alone prove to be
// chosen: all of an unbroken chain except its newest entry.
func (a *Acceptor) ProvenChosen(index uint64, previous []byte) []Entry {
	top := a.HighestIndex()
	for i := top; i > index+1; i-- {
		a.mu.Lock()
		entry := a.entries[i]
		a.mu.Unlock()
		if entry == nil {
			continue
		}
		if chain := a.Chain(index, previous, i-1, entry.Previous); chain != nil {
			return chain
		}
	}
	return nil
}

// ReplaceIdentity gives the replica a new identity. It drops what was promised and accepted
// under the old one, except the entries up to the index chosen, which are known to be
// chosen. The new identity is durable before anything is dropped: a power loss in
// between leaves an identity that never voted with promises that bind it more than
// necessary, which is safe.
func (a *Acceptor) ReplaceIdentity(id Identity, chosen uint64) error {
	a.snapshotLock.Lock()
	defer a.snapshotLock.Unlock()
	if err := a.SetIdentity(id); err != nil {
		return err
	}
	a.writeLock.Lock()
	defer a.writeLock.Unlock()
	a.mu.Lock()
	var files []string
	for index := range a.entries {
		if index > chosen {
			files = append(files, entryFile(index))
			delete(a.entries, index)
			delete(a.digests, index)
		}
	}
	a.promised, a.damagedUpTo = ballot.Number{}, 0
	a.mu.Unlock()
	promises, err := disk.Names(a.fs, promisePrefix)
	a.removeFiles(append(files, promises...))
	return err
}
