package store

import (
	"context"
	"sync/atomic"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/ledger"
)

// offer is one command that waits to be proposed.
type offer struct {
	cmd  ledger.Packed
	in   ledger.Command // the same, opened
	by   time.Time      // when it may last be proposed; zero: at any time
	once *RequestKey    // set for a request that may be sent again
	// guard, if set, must hold at the moment of the proposal, with nothing decided
	// in between. An offer without a command only asks for that.
	guard func(context.Context) bool
	back  chan done
	mine  atomic.Bool // whoever sets it first, the writer loop or the waiter, has the offer
}

type done struct {
	r   ledger.Receipt
	err error
}

// offer proposes a command of this store's own.
func (t *term) offer(ctx context.Context, p ledger.Packed) (ledger.Receipt, error) {
	return t.offerOnce(ctx, p, nil)
}

// offerOnce proposes a command of this store's own for a request that may come
// again; without a key it is an ordinary command.
func (t *term) offerOnce(ctx context.Context, p ledger.Packed, once *RequestKey) (ledger.Receipt, error) {
	return t.offerGuarded(ctx, p, once, nil)
}

// offerGuarded proposes a command of this store's own if its guard holds.
func (t *term) offerGuarded(ctx context.Context, p ledger.Packed, once *RequestKey, guard func(context.Context) bool) (ledger.Receipt, error) {
	in, err := p.Open()
	if err != nil {
		return ledger.Receipt{}, fault.Wrap(fault.Refused, err, "offer")
	}
	return t.put(ctx, &offer{cmd: p, in: in, once: once, guard: guard, back: make(chan done, 1)})
}

// put queues an offer and waits for what became of it.
func (t *term) put(ctx context.Context, o *offer) (ledger.Receipt, error) {
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
	var next *offer
	for {
		var batch []*offer
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
		for more := batch[0].guard == nil; more && len(batch) < 256 && size < t.s.P.Frame/8; {
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
		if !t.batch(ctx, batch) {
			return
		}
	}
}

// pick takes those offers of a batch that nobody took back and that are not
// too old: one that its sender has given up must not be done after what it did
// since. learn is held, so that nothing comes between this look and the proposal.
func pick(all []*offer) []*offer {
	var out []*offer
	now := time.Now()
	for _, o := range all {
		if !o.mine.CompareAndSwap(false, true) {
			continue
		}
		if !o.by.IsZero() && now.After(o.by) {
			o.back <- done{err: fault.New(fault.Refused, "too old when it was to be proposed")}
			continue
		}
		out = append(out, o)
	}
	return out
}

// guarded gives the offers whose guard holds now, and answers the others, and those
// that only asked. learn is held.
func (t *term) guarded(ctx context.Context, batch []*offer) (out []*offer) {
	for _, o := range batch {
		held := o.guard == nil || o.guard(ctx)
		switch {
		case !held:
			o.back <- done{r: ledger.Receipt{Code: ledger.Conflict, Say: "too few of the others hold all that is chosen"}}
		case o.in == nil:
			o.back <- done{r: ledger.Receipt{Code: ledger.OK}}
		default:
			out = append(out, o)
		}
	}
	return out
}

func (t *term) batch(ctx context.Context, all []*offer) bool {
	t.s.learn.Lock()
	batch := t.s.withinSize(t.guarded(ctx, pick(all)))
	t.shorten(batch)
	t.s.wrapRequests(batch)
	cmds, mine := t.s.plain(batch)
	if len(cmds) == 0 {
		t.s.learn.Unlock()
		return true
	}
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
	return t.still()
}
