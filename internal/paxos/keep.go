package paxos

import (
	"bytes"
	"fmt"

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
func entryName(slot uint64) string { return fmt.Sprintf("v-%016x", slot) }

// Promise keeps a ballot number; the file of the one before goes away. One
// below a promise that an accepted version made meanwhile is refused as stale.
func (a *Acceptor) Promise(n ballot.Number) error {
	a.io.Lock()
	defer a.io.Unlock()
	return a.promise(n)
}

func (a *Acceptor) promise(n ballot.Number) error {
	if vow := a.Vow(); n.Less(vow) {
		return fault.New(fault.Stale, "ballot %s is below the promise %s", n, vow)
	}
	if err := a.save(promiseName(n.Round), &n); err != nil {
		return err
	}
	a.mu.Lock()
	old := a.vow
	a.vow = n
	me := a.me.ID
	a.mu.Unlock()
	a.Observe.Tell(trace.Promised{Replica: me, Ballot: n})
	if old.Round != n.Round {
		_ = a.fs.Remove(promiseName(old.Round))
	}
	return nil
}

// Accept keeps a version; when it returns nil it is synced.
func (a *Acceptor) Accept(e Entry) error {
	a.io.Lock()
	defer a.io.Unlock()
	vow := a.Vow()
	if e.Num.Less(vow) {
		return fault.New(fault.Stale, "ballot %s is below the promise %s", e.Num, vow)
	}
	// The promise gets its own file, so that damage to a version never
	// lowers it.
	if vow.Less(e.Num) {
		if err := a.promise(e.Num); err != nil {
			return err
		}
	}
	if err := a.put(e); err != nil {
		return err
	}
	a.Observe.Tell(trace.Accepted{Replica: a.Me().ID, Ballot: e.Num, Slot: e.Slot, Sum: string(e.Sum())})
	return nil
}

func (a *Acceptor) put(e Entry) error {
	e.Format = Format
	sum := e.Sum()
	a.mu.Lock()
	old, was := a.entries[e.Slot], a.sums[e.Slot]
	a.mu.Unlock()
	if old != nil && old.Num == e.Num && bytes.Equal(was, sum) {
		return nil
	}
	// A slot's first version has a name that was never used: one sync is enough.
	save := disk.Save
	if old == nil {
		save = disk.Add
	}
	if err := a.saveBy(save, entryName(e.Slot), &e); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries[e.Slot], a.sums[e.Slot] = &e, sum
	if a.vow.Less(e.Num) {
		a.vow = e.Num
	}
	return nil
}

// Learn keeps a version that is known to be chosen.
func (a *Acceptor) Learn(e Entry) error {
	a.io.Lock()
	defer a.io.Unlock()
	a.mu.Lock()
	// The ballot of an own acceptance is never lowered.
	if old := a.entries[e.Slot]; old != nil && e.Num.Less(old.Num) {
		e.Num = old.Num
	}
	a.mu.Unlock()
	return a.put(e)
}

// Top gives the highest accepted slot.
func (a *Acceptor) Top() uint64 {
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

// After gives the accepted versions above a slot, in order, at most most.
func (a *Acceptor) After(slot uint64, most int) []Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []Entry
	for s, top := slot+1, a.top(); s <= top && len(out) < most; s++ {
		if e := a.entries[s]; e != nil {
			out = append(out, *e)
		}
	}
	return out
}

// Whole tells whether every version above a slot is still kept here.
func (a *Acceptor) Whole(slot uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slot >= a.low
}
