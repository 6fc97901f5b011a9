package paxos

import (
	"bytes"

	"puffincrank/internal/ballot"
	"puffincrank/internal/disk"
)

// Chain gives the versions from the one after slot up to top, if the value of
// top has the identity sum and each one names the one before it back to prev.
// Every version in such a chain is chosen when top is.
func (a *Acceptor) Chain(slot uint64, prev []byte, top uint64, sum []byte) []Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	if top <= slot {
		return nil
	}
	out := make([]Entry, top-slot)
	for s := top; s > slot; s-- {
		e := a.entries[s]
		if e == nil || !bytes.Equal(a.sums[s], sum) {
			return nil
		}
		out[s-slot-1] = *e
		sum = e.Prev
	}
	if !bytes.Equal(sum, prev) {
		return nil
	}
	return out
}

// Sure gives the versions above slot that the stored files alone prove to be
// chosen: all but the newest of an unbroken chain.
func (a *Acceptor) Sure(slot uint64, prev []byte) []Entry {
	top := a.Top()
	for t := top; t > slot+1; t-- {
		a.mu.Lock()
		e := a.entries[t]
		a.mu.Unlock()
		if e == nil {
			continue
		}
		if got := a.Chain(slot, prev, t-1, e.Prev); got != nil {
			return got
		}
	}
	return nil
}

// Keep writes a checkpoint and drops the files that it makes needless, but
// for the spare newest versions, which slow fellows may still want. It holds up
// no promise and no version: who is the identity that the state belongs to, and
// one that is older than what stands, or of a replica that lost its place
// meanwhile, is passed over.
func (a *Acceptor) Keep(who string, c Checkpoint, spare uint64) error {
	a.big.Lock()
	defer a.big.Unlock()
	a.mu.Lock()
	late := a.me.ID != who || a.point != nil && a.point.Slot > c.Slot
	a.mu.Unlock()
	if late {
		return nil
	}
	return a.write(c, spare)
}

// write keeps a checkpoint; big is held.
func (a *Acceptor) write(c Checkpoint, spare uint64) error {
	c.Format = Format
	name := checkpointName(c.Slot)
	if err := a.save(name, &c); err != nil {
		// Room was kept free for just this: give it back and try once more.
		if !disk.Full(err) || a.fs.Remove(reserve) != nil {
			return err
		}
		a.mu.Lock()
		a.spare = 0
		a.mu.Unlock()
		if err := a.save(name, &c); err != nil {
			return err
		}
	}
	a.mu.Lock()
	old := a.point
	a.point = c.head()
	var drop []string
	if old != nil && old.Slot != c.Slot {
		drop = append(drop, checkpointName(old.Slot))
	}
	if c.Slot > spare {
		drop = append(drop, a.trim(c.Slot-spare)...)
	}
	a.mu.Unlock()
	a.drop(drop)
	return nil
}

// trim forgets versions and names their files; mu is held.
func (a *Acceptor) trim(to uint64) (files []string) {
	for s := range a.entries {
		if s <= to {
			files = append(files, entryName(s))
			delete(a.entries, s)
			delete(a.sums, s)
		}
	}
	a.low = max(a.low, to)
	return files
}

// drop removes files that are needless; one that comes back changes nothing.
func (a *Acceptor) drop(files []string) {
	for _, n := range files {
		_ = a.fs.Remove(n)
	}
}

// Reset puts a checkpoint from a fellow in place of all that is here.
func (a *Acceptor) Reset(c Checkpoint) error {
	a.big.Lock()
	defer a.big.Unlock()
	if err := a.write(c, 0); err != nil {
		return err
	}
	a.mu.Lock()
	a.low = c.Slot
	a.mu.Unlock()
	return nil
}

const reserve = "r-reserve"

// Reserve keeps room for a checkpoint of so many bytes, so that a full disk can
// be freed by one. It is written anew only when it is too small.
func (a *Acceptor) Reserve(size int) error {
	a.big.Lock()
	defer a.big.Unlock()
	a.mu.Lock()
	enough := a.spare >= size
	a.mu.Unlock()
	if enough {
		return nil
	}
	if err := disk.Save(a.fs, reserve, make([]byte, size)); err != nil {
		return err
	}
	a.mu.Lock()
	a.spare = size
	a.mu.Unlock()
	return nil
}

// Rename gives the replica a new identity: what it promised and accepted under
// the old one is forgotten, what is chosen up to a slot is kept. The new identity
// is durable before anything is forgotten, so a loss of power in between leaves
// an identity that never voted with promises that bind it more than they need.
func (a *Acceptor) Rename(id Identity, chosen uint64) error {
	a.big.Lock()
	defer a.big.Unlock()
	if err := a.Name(id); err != nil {
		return err
	}
	a.io.Lock()
	defer a.io.Unlock()
	a.mu.Lock()
	var files []string
	for slot := range a.entries {
		if slot > chosen {
			files = append(files, entryName(slot))
			delete(a.entries, slot)
			delete(a.sums, slot)
		}
	}
	a.vow, a.harmed = ballot.Number{}, 0
	a.mu.Unlock()
	promises, err := disk.Names(a.fs, promisePrefix)
	a.drop(append(files, promises...))
	return err
}
