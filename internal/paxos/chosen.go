package paxos

import (
	"bytes"

	"puffincrank/internal/ballot"
	"puffincrank/internal/disk"
)

// Chain gives the entries from the one after index up to top, if the value of
// top has the identity sum and each one names the one before it back to prev.
// Every entry in such a chain is chosen when top is.
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

// ProvenChosen gives the entries above index that the stored files alone prove to be
// chosen: all but the newest of an unbroken chain.
func (a *Acceptor) ProvenChosen(index uint64, previous []byte) []Entry {
	top := a.Top()
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

// Rename gives the replica a new identity: what it promised and accepted under
// the old one is forgotten, what is chosen up to an index is kept. The new identity
// is durable before anything is forgotten, so a loss of power in between leaves
// an identity that never voted with promises that bind it more than they need.
func (a *Acceptor) Rename(id Identity, chosen uint64) error {
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
