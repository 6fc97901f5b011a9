package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/fault"
	"puffincrank/internal/paxos"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/task"
	"puffincrank/internal/trace"
	"puffincrank/internal/transport"
)

// leadership is the time for which this store writes, under one ballot.
type leadership struct {
	s           *Store
	num         ballot.Number
	memberSet   string // the members that the ballot was won from
	g           *task.Group
	queue       chan *proposal
	reads       chan *readRequest
	mu          sync.Mutex
	confirmedAt time.Time              // when the newest round that a majority answered began
	contacts    map[string]peerContact // member to its newest ack
	learners    map[string]*learner    // replica that stands by to its newest word
	changing    sync.Mutex             // one change of the members at a time
	shut        atomic.Bool            // handing the leadership on: no more offers
	leaves      atomic.Bool            // giving the leadership up for its disk
	pending     atomic.Int64           // offers that wait for their receipt
	rounds      atomic.Uint64          // in which the members were asked whether this store still leads
	refusals    int                    // rounds in which a member held a higher promise
}

func (s *Store) newLeadership(num ballot.Number) *leadership {
	now := time.Now()
	t := &leadership{s: s, num: num, memberSet: s.memberSet(), g: task.New(s.g.Context()).SetSleep(s.e.Sleep), queue: make(chan *proposal, 1024), reads: make(chan *readRequest, 1024),
		confirmedAt: now, contacts: map[string]peerContact{}, learners: map[string]*learner{}}
	for _, m := range s.state.Members {
		t.contacts[m.ID] = s.initialContact(m.ID, now)
	}
	return t
}

func (t *leadership) run() {
	t.g.Go("writer", t.writeLoop)
	t.g.Go("confirmer", t.confirmLoop)
	t.g.Go("clocks", t.gatherLeases)
	t.g.Every("lock-clock", t.s.Settings.Lease(), t.expireLocks)
	t.g.Every("command-level", t.s.Settings.HeartbeatInterval(), t.raiseLevel)
	t.g.Every("core-watch", t.s.Settings.Lease(), t.watch)
	t.g.Every("greet-seeds", t.s.Settings.CatchUpBound/4, t.greetSeeds)
}

// stop stops the term's loops; what they were doing stays unknown.
func (t *leadership) stop() { t.g.Cancel() }

func (t *leadership) ended() bool { return t.g.Context().Err() != nil }

// checkMembers ends the term when the members changed, since the ballot was won from
// the old ones, or when the own disk is worse than another's.
func (t *leadership) checkMembers() bool {
	if t.s.memberSet() != t.memberSet {
		t.s.voter.Vacate(t.num)
		t.s.stepDown("the members changed")
		t.s.wakeLoop(true)
		return false
	}
	t.s.watchDisk()
	return !t.ended()
}

// decide gets one entry accepted by a majority and applies it; learn is
// held. An error means that it may or may not be chosen.
func (t *leadership) decide(ctx context.Context, raw []byte) ([]statemachine.Result, error) {
	s := t.s
	e := paxos.Entry{Index: s.slot + 1, Previous: s.sum, Batch: raw, Ballot: t.num}
	ask := acceptRequest{Entry: e, Addr: s.Settings.InternalAddr, Slot: s.slot, Sum: s.sum, Mesh: s.state.ClusterID}
	who, need := s.memberAddresses()
	got := map[string]bool{}
	var acceptors []string
	s.e.Trace.Notify(trace.Proposed{Replica: s.acc.Identity().ID, Ballot: t.num, Index: e.Index, Digest: string(e.Digest())})
	from := time.Now()
	for {
		var left []string
		for _, a := range who {
			if !got[a] {
				left = append(left, a)
			}
		}
		// One member's higher promise doesn't end a term that a majority
		// still follows; a majority of them does.
		higher := 0
		round, end := context.WithTimeout(ctx, s.Settings.Lease()/2)
		ballot.Poll(round, s.g, left, func(ctx context.Context, to string) (ack, error) {
			if to == s.Settings.InternalAddr {
				return s.onAccept(ctx, transport.Hello{}, ask)
			}
			return transport.Call[ack](ctx, s.n, to, "store.accept", ask)
		}, func(to string, a ack, err error) bool {
			if err != nil {
				return false
			}
			if t.num.Less(a.Seen) {
				higher++
			}
			if a.Yes && t.recordContact(a) {
				got[to] = true
				acceptors = append(acceptors, a.ID)
			}
			return higher >= need || len(got) >= need
		})
		end()
		if len(got) >= need {
			s.e.Trace.Notify(trace.Chosen{Replica: s.acc.Identity().ID, Ballot: t.num, Index: e.Index, Digest: string(e.Digest()), Acceptors: acceptors})
			out, err := s.apply(&e)
			s.tellChosen(&e, acceptors)
			return out, err
		}
		if higher >= need {
			return nil, fault.New(fault.Stale, "a higher ballot was promised")
		}
		if ctx.Err() != nil || time.Since(from) > s.Settings.Lease() {
			return nil, fault.New(fault.Unknown, "no majority accepted in time")
		}
		rest := time.NewTimer(s.Settings.HeartbeatInterval() / 4)
		<-rest.C
	}
}
