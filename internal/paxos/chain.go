package paxos

import (
	"bytes"
	"fmt"

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
// for the spare newest versions, which slow fellows may still want.
func (a *Acceptor) Keep(c Checkpoint, spare uint64) error {
	a.io.Lock()
	defer a.io.Unlock()
	c.Format = Format
	if err := a.save(fmt.Sprintf("c-%016x", c.Slot), &c); err != nil {
		// Room was kept free for just this: give it back and try once more.
		if a.fs.Remove(reserve) != nil {
			return err
		}
		if err := a.save(fmt.Sprintf("c-%016x", c.Slot), &c); err != nil {
			return err
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.point
	a.point = &c
	if old != nil && old.Slot != c.Slot {
		_ = a.fs.Remove(fmt.Sprintf("c-%016x", old.Slot))
	}
	if c.Slot > spare {
		a.trim(c.Slot - spare)
	}
	return nil
}

func (a *Acceptor) trim(to uint64) {
	for s := range a.entries {
		if s <= to {
			_ = a.fs.Remove(fmt.Sprintf("v-%016x", s))
			delete(a.entries, s)
			delete(a.sums, s)
		}
	}
	a.low = max(a.low, to)
}

// Reset puts a checkpoint from a fellow in place of all that is here.
func (a *Acceptor) Reset(c Checkpoint) error {
	if err := a.Keep(c, 0); err != nil {
		return err
	}
	a.mu.Lock()
	a.low = c.Slot
	a.mu.Unlock()
	return nil
}

const reserve = "r-reserve"

// Reserve keeps room for a checkpoint, so that a full disk can be freed by one.
func (a *Acceptor) Reserve(size int) error {
	a.io.Lock()
	defer a.io.Unlock()
	if _, err := a.fs.Read(reserve); err == nil {
		return nil
	}
	return disk.Save(a.fs, reserve, make([]byte, size))
}

// Wipe empties the folder: a replica that lost its place starts anew.
func (a *Acceptor) Wipe() {
	a.io.Lock()
	defer a.io.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.clear()
}
