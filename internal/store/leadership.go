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

// leadership is a term of this store as the leader, under one ballot.
type leadership struct {
	store               *Store
	ballot              ballot.Number
	memberSet           string // the members whose votes won the ballot
	tasks               *task.Group
	proposals           chan *proposal
	reads               chan *readRequest
	mu                  sync.Mutex
	confirmedAt         time.Time              // the start of the newest round that a majority answered
	contacts            map[string]peerContact // newest ack of each member, by its ID
	learners            map[string]*learner    // newest report of each learner, by its ID
	membershipLock      sync.Mutex             // held during a change of the members
	closed              atomic.Bool            // the leadership is being transferred: no more proposals
	diskTransferStarted atomic.Bool            // a transfer because of this store's disk has started
	pending             atomic.Int64           // proposals that wait for their outcome
	rounds              atomic.Uint64          // number of heartbeat rounds
	refusals            int                    // refusals by members with a higher promise
}

func (s *Store) newLeadership(number ballot.Number) *leadership {
	now := time.Now()
	term := &leadership{store: s, ballot: number, memberSet: s.memberSet(), tasks: task.New(s.tasks.Context()).SetSleep(s.env.Sleep), proposals: make(chan *proposal, 1024), reads: make(chan *readRequest, 1024),
		confirmedAt: now, contacts: map[string]peerContact{}, learners: map[string]*learner{}}
	for _, m := range s.state.Members {
		term.contacts[m.ID] = s.initialContact(m.ID, now)
	}
	return term
}

func (t *leadership) run() {
	t.tasks.Go("writer", t.proposeLoop)
	t.tasks.Go("confirmer", t.confirmLoop)
	t.tasks.Go("clocks", t.collectLeases)
	t.tasks.Every("lock-clock", t.store.Settings.Lease(), t.expireLocks)
	t.tasks.Every("command-level", t.store.Settings.HeartbeatInterval(), t.raiseLevel)
	t.tasks.Every("core-watch", t.store.Settings.Lease(), t.watchMembers)
	t.tasks.Every("greet-seeds", t.store.Settings.CatchUpBound/4, t.announceToSeeds)
}

// stop cancels the term's loops; the outcome of what they were doing stays
// unknown.
func (t *leadership) stop() { t.tasks.Cancel() }

func (t *leadership) ended() bool { return t.tasks.Context().Err() != nil }

// checkMembers ends the term when the members have changed, since the ballot
// was won from the old ones, or when this store's disk is worse than
// another's.
func (t *leadership) checkMembers() bool {
	if t.store.memberSet() != t.memberSet {
		t.store.voter.Vacate(t.ballot)
		t.store.stepDown("the members changed")
		t.store.wakeLoop(true)
		return false
	}
	t.store.checkDisk()
	return !t.ended()
}

// decide gets one entry accepted by a majority and applies it; applyLock is
// held. After an error it is unknown whether the entry is chosen.
func (t *leadership) decide(ctx context.Context, encoded []byte) ([]statemachine.Result, error) {
	store := t.store
	entry := paxos.Entry{Index: store.appliedIndex + 1, Previous: store.appliedDigest, Batch: encoded, Ballot: t.ballot}
	request := acceptRequest{Entry: entry, Addr: store.Settings.InternalAddr, ChosenIndex: store.appliedIndex, ChosenDigest: store.appliedDigest, ClusterID: store.state.ClusterID}
	addresses, majority := store.memberAddresses()
	accepted := map[string]bool{}
	var acceptors []string
	store.env.Trace.Notify(trace.Proposed{Replica: store.acceptor.Identity().ID, Ballot: t.ballot, Index: entry.Index, Digest: string(entry.Digest())})
	started := time.Now()
	for {
		var remaining []string
		for _, address := range addresses {
			if !accepted[address] {
				remaining = append(remaining, address)
			}
		}
		// One member's higher promise does not end a term that a majority
		// still follows; higher promises of a majority do.
		higher := 0
		round, cancel := context.WithTimeout(ctx, store.Settings.Lease()/2)
		ballot.Poll(round, store.tasks, remaining, func(ctx context.Context, to string) (ack, error) {
			if to == store.Settings.InternalAddr {
				return store.onAccept(ctx, transport.Hello{}, request)
			}
			return transport.Call[ack](ctx, store.node, to, "store.accept", request)
		}, func(to string, reply ack, err error) bool {
			if err != nil {
				return false
			}
			if t.ballot.Less(reply.Promised) {
				higher++
			}
			if reply.OK && t.recordContact(reply) {
				accepted[to] = true
				acceptors = append(acceptors, reply.ID)
			}
			return higher >= majority || len(accepted) >= majority
		})
		cancel()
		if len(accepted) >= majority {
			store.env.Trace.Notify(trace.Chosen{Replica: store.acceptor.Identity().ID, Ballot: t.ballot, Index: entry.Index, Digest: string(entry.Digest()), Acceptors: acceptors})
			results, err := store.apply(&entry)
			store.logChosen(&entry, acceptors)
			return results, err
		}
		if higher >= majority {
			return nil, fault.New(fault.Stale, "a higher ballot was promised")
		}
		if ctx.Err() != nil || time.Since(started) > store.Settings.Lease() {
			return nil, fault.New(fault.Unknown, "no majority accepted in time")
		}
		pause := time.NewTimer(store.Settings.HeartbeatInterval() / 4)
		<-pause.C
	}
}
