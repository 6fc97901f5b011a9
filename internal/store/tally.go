package store

import (
	"math"

	"puffincrank/internal/paxos"
	"puffincrank/internal/trace"
)

// toldUpTo gives the highest slot for which every vote names all that its voter
// accepted.
func toldUpTo(votes []voteResponse) uint64 {
	least := uint64(math.MaxUint64)
	for _, v := range votes {
		if v.More && len(v.Entries) > 0 {
			least = min(least, v.Entries[len(v.Entries)-1].Index)
		}
	}
	return least
}

// highest gives the entry of a slot that was accepted under the highest ballot,
// nil when no voter accepted any.
func highest(votes []voteResponse, slot uint64) (pick *paxos.Entry) {
	for _, v := range votes {
		for i := range v.Entries {
			e := &v.Entries[i]
			if e.Index == slot && (pick == nil || pick.Ballot.Less(e.Ballot)) {
				pick = e
			}
		}
	}
	return pick
}

// tellElected tells whose votes a term was won with; learn is held.
func (t *leadership) tellElected(votes []voteResponse) {
	s := t.s
	if s.e.Trace == nil {
		return
	}
	step := trace.Elected{Replica: s.acc.Identity().ID, Ballot: t.num}
	for _, v := range votes {
		step.Voters = append(step.Voters, v.ID)
	}
	s.mu.Lock()
	step.Index, step.Members = s.slot, s.memberIDs()
	s.mu.Unlock()
	s.e.Trace.Notify(step)
}
