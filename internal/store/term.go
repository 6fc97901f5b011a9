package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/fault"
	"puffincrank/internal/ledger"
	"puffincrank/internal/paxos"
	"puffincrank/internal/task"
	"puffincrank/internal/trace"
	"puffincrank/internal/wire"
)

// term is the time for which this store writes, under one ballot.
type term struct {
	s      *Store
	num    ballot.Number
	body   string // the members that the ballot was won from
	g      *task.Group
	queue  chan *offer
	asks   chan *check
	mu     sync.Mutex
	major  time.Time         // when the newest round that a majority answered began
	heard  map[string]word   // member to its newest ack
	spares map[string]*spare // replica that stands by to its newest word
	swaps  sync.Mutex        // one change of the members at a time
	shut   atomic.Bool       // handing the duty on: no more offers
	leaves atomic.Bool       // giving the duty up for its disk
	held   atomic.Int64      // offers that wait for their receipt
	rounds atomic.Uint64     // in which the members were asked whether this store still leads
	higher int               // rounds in which a member held a higher promise
}

func (s *Store) newTerm(num ballot.Number) *term {
	now := time.Now()
	t := &term{s: s, num: num, body: s.body(), g: task.New(s.g.Context()).Pace(s.e.Pause), queue: make(chan *offer, 1024), asks: make(chan *check, 1024),
		major: now, heard: map[string]word{}, spares: map[string]*spare{}}
	for _, m := range s.led.Members {
		t.heard[m.ID] = s.before(m.ID, now)
	}
	return t
}

func (t *term) run() {
	t.g.Go("writer", t.write)
	t.g.Go("confirmer", t.confirm)
	t.g.Go("clocks", t.gather)
	t.g.Every("lock-clock", t.s.P.Lease(), t.expire)
	t.g.Every("command-level", t.s.P.Beat(), t.raiseLevel)
	t.g.Every("core-watch", t.s.P.Lease(), t.watch)
}

// end stops the term's loops; what they were doing stays unknown.
func (t *term) end() { t.g.Cancel() }

func (t *term) over() bool { return t.g.Context().Err() != nil }

// still ends the term when the members changed, since the ballot was won from
// the old ones, or when the own disk is worse than another's.
func (t *term) still() bool {
	if t.s.body() != t.body {
		t.s.vote.Vacate(t.num)
		t.s.depose("the members changed")
		t.s.kick(true)
		return false
	}
	t.s.mind()
	return !t.over()
}

// decide gets one version accepted by a majority and applies it; learn is
// held. An error means that it may or may not be chosen.
func (t *term) decide(ctx context.Context, raw []byte) ([]ledger.Receipt, error) {
	s := t.s
	e := paxos.Entry{Slot: s.slot + 1, Prev: s.sum, Batch: raw, Num: t.num}
	ask := acceptAsk{Entry: e, Addr: s.P.Inner, Slot: s.slot, Sum: s.sum, Mesh: s.led.Mesh}
	who, need := s.fellows()
	got := map[string]bool{}
	var acceptors []string
	s.e.Trace.Tell(trace.Proposed{Replica: s.acc.Me().ID, Ballot: t.num, Slot: e.Slot, Sum: string(e.Sum())})
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
		round, end := context.WithTimeout(ctx, s.P.Lease()/2)
		ballot.Poll(round, s.g, left, func(ctx context.Context, to string) (ack, error) {
			if to == s.P.Inner {
				return s.onAccept(ctx, wire.Hello{}, ask)
			}
			return wire.Ask[ack](ctx, s.n, to, "store.accept", ask)
		}, func(to string, a ack, err error) bool {
			if err != nil {
				return false
			}
			if t.num.Less(a.Seen) {
				higher++
			}
			if a.Yes && t.hears(a) {
				got[to] = true
				acceptors = append(acceptors, a.ID)
			}
			return higher >= need || len(got) >= need
		})
		end()
		if len(got) >= need {
			s.e.Trace.Tell(trace.Chosen{Replica: s.acc.Me().ID, Ballot: t.num, Slot: e.Slot, Sum: string(e.Sum()), Acceptors: acceptors})
			return s.apply(&e)
		}
		if higher >= need {
			return nil, fault.New(fault.Stale, "a higher ballot was promised")
		}
		if ctx.Err() != nil || time.Since(from) > s.P.Lease() {
			return nil, fault.New(fault.Unknown, "no majority accepted in time")
		}
		rest := time.NewTimer(s.P.Beat() / 4)
		<-rest.C
	}
}
