package store

import (
	"context"
	"sync/atomic"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/statemachine"
)

// proposal is one command that waits to be proposed.
type proposal struct {
	cmd    statemachine.Packed
	in     statemachine.Command // the same, opened
	latest time.Time            // when it may last be proposed; zero: at any time
	once   *RequestKey          // set for a request that may be sent again
	// guard, if set, must hold at the moment of the proposal, with nothing decided
	// in between. An offer without a command only asks for that.
	guard  func(context.Context) bool
	result chan outcome
	taken  atomic.Bool // whoever sets it first, the leader loop or the waiter, has the offer
}

type outcome struct {
	receipt statemachine.Result
	err     error
}

// propose proposes a command of this store's own.
func (t *leadership) propose(ctx context.Context, p statemachine.Packed) (statemachine.Result, error) {
	return t.proposeOnce(ctx, p, nil)
}

// proposeOnce proposes a command of this store's own for a request that may come
// again; without a key it is an ordinary command.
func (t *leadership) proposeOnce(ctx context.Context, p statemachine.Packed, once *RequestKey) (statemachine.Result, error) {
	return t.proposeGuarded(ctx, p, once, nil)
}

// proposeGuarded proposes a command of this store's own if its guard holds.
func (t *leadership) proposeGuarded(ctx context.Context, p statemachine.Packed, once *RequestKey, guard func(context.Context) bool) (statemachine.Result, error) {
	in, err := p.Unpack()
	if err != nil {
		return statemachine.Result{}, fault.Wrap(fault.Refused, err, "offer")
	}
	return t.submit(ctx, &proposal{cmd: p, in: in, once: once, guard: guard, result: make(chan outcome, 1)})
}

// submit queues an offer and waits for what became of it.
func (t *leadership) submit(ctx context.Context, o *proposal) (statemachine.Result, error) {
	t.pending.Add(1)
	defer t.pending.Add(-1)
	if t.ended() || t.shut.Load() {
		return statemachine.Result{}, fault.New(fault.Refused, "no longer the writer")
	}
	select {
	case t.queue <- o:
	default:
		return statemachine.Result{}, fault.New(fault.Refused, "the writer's queue is full")
	}
	select {
	case d := <-o.result:
		return d.receipt, d.err
	case <-ctx.Done():
	case <-t.g.Context().Done():
	}
	// Not yet taken by the loop: it is ours to drop, and certainly not done.
	if o.taken.CompareAndSwap(false, true) {
		return statemachine.Result{}, fault.New(fault.Refused, "never proposed")
	}
	// The term ended: the leader loop says what it knows, or nobody does.
	select {
	case d := <-o.result:
		return d.receipt, d.err
	default:
		return statemachine.Result{}, fault.New(fault.Unknown, "not decided in time")
	}
}

// writeLoop is the loop that turns waiting commands into entries. While one
// entry syncs, the next batch forms.
func (t *leadership) writeLoop(ctx context.Context) {
	var next *proposal
	for {
		var batch []*proposal
		if next != nil {
			batch, next = append(batch, next), nil
		} else {
			select {
			case <-ctx.Done():
				return
			case o := <-t.queue:
				batch = append(batch, o)
			}
		}
		size := len(batch[0].cmd.Body)
		for more := batch[0].guard == nil; more && len(batch) < 256 && size < t.s.Settings.MaxFrameBytes/8; {
			select {
			case o := <-t.queue:
				if o.guard != nil {
					// It goes by itself, after those that came before it.
					next = o
					more = false
					continue
				}
				batch = append(batch, o)
				size += len(o.cmd.Body)
			default:
				more = false
			}
		}
		if !t.decideBatch(ctx, batch) {
			return
		}
	}
}

// dequeue takes those offers of a batch that nobody took back and that are not
// too old: one that its sender has given up must not be done after what it did
// since. learn is held, so that nothing comes between this look and the proposal.
func dequeue(all []*proposal) []*proposal {
	var out []*proposal
	now := time.Now()
	for _, o := range all {
		if !o.taken.CompareAndSwap(false, true) {
			continue
		}
		if !o.latest.IsZero() && now.After(o.latest) {
			o.result <- outcome{err: fault.New(fault.Refused, "too old when it was to be proposed")}
			continue
		}
		out = append(out, o)
	}
	return out
}

// guarded gives the offers whose guard holds now, and answers the others, and those
// that only asked. learn is held.
func (t *leadership) guarded(ctx context.Context, batch []*proposal) (out []*proposal) {
	for _, o := range batch {
		held := o.guard == nil || o.guard(ctx)
		switch {
		case !held:
			o.result <- outcome{receipt: statemachine.Result{Code: statemachine.Conflict, Message: "too few of the others hold all that is chosen"}}
		case o.in == nil:
			o.result <- outcome{receipt: statemachine.Result{Code: statemachine.OK}}
		default:
			out = append(out, o)
		}
	}
	return out
}

func (t *leadership) decideBatch(ctx context.Context, all []*proposal) bool {
	t.s.applying.Lock()
	batch := t.s.withinSize(t.guarded(ctx, dequeue(all)))
	t.shorten(batch)
	t.s.wrapRequests(batch)
	cmds, mine := t.s.batchCommands(batch)
	if len(cmds) == 0 {
		t.s.applying.Unlock()
		return true
	}
	raw, err := cmds.Pack()
	var out []statemachine.Result
	if err == nil {
		out, err = t.decide(ctx, raw)
		if err == nil {
			t.s.checkpoint()
		}
	}
	t.s.applying.Unlock()
	for i, o := range batch {
		if err != nil {
			o.result <- outcome{err: fault.Wrap(fault.Unknown, err, "decide")}
		} else {
			o.result <- outcome{receipt: out[mine[i]]}
		}
	}
	if err != nil {
		t.s.stepDown("a version could not be decided: " + err.Error())
		return false
	}
	return t.checkMembers()
}
