package store

import (
	"math"

	"puffincrank/internal/paxos"
	"puffincrank/internal/trace"
)

// reportedUpTo returns the highest index up to which every vote lists all
// entries that its voter accepted.
func reportedUpTo(votes []voteResponse) uint64 {
	index := uint64(math.MaxUint64)
	for _, v := range votes {
		if v.Truncated && len(v.Entries) > 0 {
			index = min(index, v.Entries[len(v.Entries)-1].Index)
		}
	}
	return index
}

// highestAccepted returns the entry at an index that was accepted under the
// highest ballot, nil if no voter accepted any.
func highestAccepted(votes []voteResponse, index uint64) (accepted *paxos.Entry) {
	for _, v := range votes {
		for i := range v.Entries {
			e := &v.Entries[i]
			if e.Index == index && (accepted == nil || accepted.Ballot.Less(e.Ballot)) {
				accepted = e
			}
		}
	}
	return accepted
}

// traceElected notifies the observer whose votes won the term; applyLock is
// held.
func (t *leadership) traceElected(votes []voteResponse) {
	store := t.store
	if store.env.Trace == nil {
		return
	}
	step := trace.Elected{Replica: store.acceptor.Identity().ID, Ballot: t.ballot}
	for _, v := range votes {
		step.Voters = append(step.Voters, v.ID)
	}
	store.mu.Lock()
	step.Index, step.Members = store.appliedIndex, store.memberIDs()
	store.mu.Unlock()
	store.env.Trace.Notify(step)
}
