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
	"puffincrank/internal/wire"
)

// term is the time for which this store writes, under one ballot.
type term struct {
	s      *Store
	num    ballot.Number
	g      *task.Group
	queue  chan *offer
	asks   chan *check
	mu     sync.Mutex
	major  time.Time            // when the newest round that a majority answered began
	heard  map[string]time.Time // member to its newest ack
	began  time.Time
	locks  map[string]clock
	past   []mark
	shut   atomic.Bool  // handing the duty on: no more offers
	held   atomic.Int64 // offers that wait for their receipt
	higher int          // rounds in which a member held a higher promise
}

type offer struct {
	cmd  ledger.Packed
	back chan done
	mine atomic.Bool // whoever sets it first, the writer loop or the waiter, has the offer
}

type done struct {
	r   ledger.Receipt
	err error
}

func (s *Store) newTerm(num ballot.Number) *term {
	now := time.Now()
	t := &term{s: s, num: num, g: task.New(s.g.Context()).Pace(s.e.Pause), queue: make(chan *offer, 1024), asks: make(chan *check, 1024),
		major: now, heard: map[string]time.Time{}, began: now, locks: map[string]clock{}}
	for _, m := range s.led.Members {
		t.heard[m.ID] = now
	}
	return t
}

func (t *term) run() {
	t.g.Go("writer", t.write)
	t.g.Go("confirmer", t.confirm)
	t.g.Every("lease-clock", t.s.P.Beat(), t.expire)
}

// end stops the term's loops; what they were doing stays unknown.
func (t *term) end() { t.g.Cancel() }

func (t *term) over() bool { return t.g.Context().Err() != nil }

// offer queues a command and waits for what became of it.
func (t *term) offer(ctx context.Context, p ledger.Packed) (ledger.Receipt, error) {
	o := &offer{cmd: p, back: make(chan done, 1)}
	t.held.Add(1)
	defer t.held.Add(-1)
	if t.over() || t.shut.Load() {
		return ledger.Receipt{}, fault.New(fault.Refused, "no longer the writer")
	}
	select {
	case t.queue <- o:
	default:
		return ledger.Receipt{}, fault.New(fault.Refused, "the writer's queue is full")
	}
	select {
	case d := <-o.back:
		return d.r, d.err
	case <-ctx.Done():
	case <-t.g.Context().Done():
	}
	// Not yet taken by the loop: it is ours to drop, and certainly not done.
	if o.mine.CompareAndSwap(false, true) {
		return ledger.Receipt{}, fault.New(fault.Refused, "never proposed")
	}
	// The term ended: the writer loop says what it knows, or nobody does.
	select {
	case d := <-o.back:
		return d.r, d.err
	default:
		return ledger.Receipt{}, fault.New(fault.Unknown, "not decided in time")
	}
}

// write is the loop that turns waiting commands into versions. While one
// version syncs, the next batch forms.
func (t *term) write(ctx context.Context) {
	for {
		var batch []*offer
		select {
		case <-ctx.Done():
			return
		case o := <-t.queue:
			batch = append(batch, o)
		}
		size := len(batch[0].cmd.Body)
		for more := true; more && len(batch) < 256 && size < t.s.P.Frame/8; {
			select {
			case o := <-t.queue:
				batch = append(batch, o)
				size += len(o.cmd.Body)
			default:
				more = false
			}
		}
		if !t.batch(ctx, batch) {
			return
		}
	}
}

func (t *term) batch(ctx context.Context, all []*offer) bool {
	var batch []*offer
	for _, o := range all {
		if o.mine.CompareAndSwap(false, true) {
			batch = append(batch, o)
		}
	}
	if len(batch) == 0 {
		return true
	}
	t.s.learn.Lock()
	cmds, mine := t.s.plain(batch)
	raw, err := cmds.Pack()
	var out []ledger.Receipt
	if err == nil {
		out, err = t.decide(ctx, raw)
		if err == nil {
			t.s.checkpoint()
		}
	}
	t.s.learn.Unlock()
	for i, o := range batch {
		if err != nil {
			o.back <- done{err: fault.Wrap(fault.Unknown, err, "decide")}
		} else {
			o.back <- done{r: out[mine[i]]}
		}
	}
	if err != nil {
		t.s.depose("a version could not be decided: " + err.Error())
		return false
	}
	t.note(cmds, out)
	return t.still(cmds)
}

// still ends the term when the members changed, since the ballot was won from
// the old ones, or when the own disk holds everybody up.
func (t *term) still(cmds ledger.Batch) bool {
	for _, c := range cmds {
		if c.Kind == "store.replace" || c.Kind == "store.remove" {
			t.s.vote.Vacate(t.num)
			t.s.depose("the members changed")
			return false
		}
	}
	t.s.mu.Lock()
	ill := t.s.ill
	t.s.mu.Unlock()
	if ill {
		// From another goroutine, since resign waits for the voters.
		t.s.g.Go("resign", func(context.Context) { t.s.resign("own disk is slow or refuses") })
		return false
	}
	return true
}

// decide gets one version accepted by a majority and applies it; learn is
// held. An error means that it may or may not be chosen.
func (t *term) decide(ctx context.Context, raw []byte) ([]ledger.Receipt, error) {
	s := t.s
	e := paxos.Entry{Slot: s.slot + 1, Prev: s.sum, Batch: raw, Num: t.num}
	ask := acceptAsk{Entry: e, Addr: s.P.Inner, Slot: s.slot, Sum: s.sum, Mesh: s.led.Mesh}
	who, need := s.fellows()
	got := map[string]bool{}
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
			if a.Yes && t.hears(a.ID) {
				got[to] = true
			}
			return higher >= need || len(got) >= need
		})
		end()
		if len(got) >= need {
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

// hears notes an ack and tells whether its sender is a member.
func (t *term) hears(id string) bool {
	t.s.mu.Lock()
	ok := t.s.isMember(id)
	t.s.mu.Unlock()
	if ok {
		t.mu.Lock()
		t.heard[id] = time.Now()
		t.mu.Unlock()
	}
	return ok
}
