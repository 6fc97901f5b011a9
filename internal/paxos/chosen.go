package paxos

import (
	"bytes"

	"puffincrank/internal/ballot"
	"puffincrank/internal/disk"
)

// Chain gives the entries from the one after index up to top, if the value of
// top has the identity sum and each one names the one before it back to prev.
// Every entry in such a chain is chosen when top is.
func (a *Acceptor) Chain(index uint64, prev []byte, top uint64, sum []byte) []Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	if top <= index {
		return nil
	}
	out := make([]Entry, top-index)
	for s := top; s > index; s-- {
		e := a.entries[s]
		if e == nil || !bytes.Equal(a.sums[s], sum) {
			return nil
		}
		out[s-index-1] = *e
		sum = e.Previous
	}
	if !bytes.Equal(sum, prev) {
		return nil
	}
	return out
}

// ProvenChosen gives the entries above index that the stored files alone prove to be
// chosen: all but the newest of an unbroken chain.
func (a *Acceptor) ProvenChosen(index uint64, prev []byte) []Entry {
	top := a.HighestIndex()
	for t := top; t > index+1; t-- {
		a.mu.Lock()
		e := a.entries[t]
		a.mu.Unlock()
		if e == nil {
			continue
		}
		if got := a.Chain(index, prev, t-1, e.Previous); got != nil {
			return got
		}
	}
	return nil
}

// ReplaceIdentity gives the replica a new identity: what it promised and accepted under
// the old one is forgotten, what is chosen up to an index is kept. The new identity
// is durable before anything is forgotten, so a loss of power in between leaves
// an identity that never voted with promises that bind it more than they need.
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
			files = append(files, entryName(index))
			delete(a.entries, index)
			delete(a.sums, index)
		}
	}
	a.promised, a.damagedUpTo = ballot.Number{}, 0
	a.mu.Unlock()
	promises, err := disk.Names(a.fs, promisePrefix)
	a.removeFiles(append(files, promises...))
	return err
}
