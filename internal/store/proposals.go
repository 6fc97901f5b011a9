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
	packed     statemachine.Packed
	command    statemachine.Command // the same, unpacked
	notAfter   time.Time            // when it may last be proposed; zero: no limit
	requestKey *RequestKey          // set for a request that its sender may retry
	// guard, if set, must return true right before the proposal, with nothing
	// decided in between. A proposal without a command only asks for that.
	guard   func(context.Context) bool
	result  chan outcome
	claimed atomic.Bool // set by the first to claim the proposal: the proposing loop or the waiting caller
}

type outcome struct {
	result statemachine.Result
	err    error
}

// propose proposes a command of this store itself.
func (t *leadership) propose(ctx context.Context, packed statemachine.Packed) (statemachine.Result, error) {
	return t.proposeOnce(ctx, packed, nil)
}

// proposeOnce proposes a command of this store for a request that may be
// retried; without a key it is an ordinary command.
func (t *leadership) proposeOnce(ctx context.Context, packed statemachine.Packed, key *RequestKey) (statemachine.Result, error) {
	return t.proposeGuarded(ctx, packed, key, nil)
}

// proposeGuarded proposes a command of this store if its guard holds.
func (t *leadership) proposeGuarded(ctx context.Context, packed statemachine.Packed, key *RequestKey, guard func(context.Context) bool) (statemachine.Result, error) {
	command, err := packed.Unpack()
	if err != nil {
		return statemachine.Result{}, fault.Wrap(fault.Refused, err, "offer")
	}
	return t.submit(ctx, &proposal{packed: packed, command: command, requestKey: key, guard: guard, result: make(chan outcome, 1)})
}

// submit queues a proposal and waits for its outcome.
func (t *leadership) submit(ctx context.Context, queued *proposal) (statemachine.Result, error) {
	t.pending.Add(1)
	defer t.pending.Add(-1)
	if t.ended() || t.closed.Load() {
		return statemachine.Result{}, fault.New(fault.Refused, "no longer the writer")
	}
	select {
	case t.proposals <- queued:
	default:
		return statemachine.Result{}, fault.New(fault.Refused, "the writer's queue is full")
	}
	select {
	case decided := <-queued.result:
		return decided.result, decided.err
	case <-ctx.Done():
	case <-t.tasks.Context().Done():
	}
	// Not yet claimed by the loop: it can be withdrawn, and is certainly not
	// applied.
	if queued.claimed.CompareAndSwap(false, true) {
		return statemachine.Result{}, fault.New(fault.Refused, "never proposed")
	}
	// The term ended or the caller gave up: the loop may have sent an outcome,
	// otherwise it is unknown.
	select {
	case decided := <-queued.result:
		return decided.result, decided.err
	default:
		return statemachine.Result{}, fault.New(fault.Unknown, "not decided in time")
	}
}

// proposeLoop turns waiting proposals into entries. While one entry is synced,
// the next batch forms.
func (t *leadership) proposeLoop(ctx context.Context) {
	var next *proposal
	for {
		var batch []*proposal
		if next != nil {
			batch, next = append(batch, next), nil
		} else {
			select {
			case <-ctx.Done():
				return
			case o := <-t.proposals:
				batch = append(batch, o)
			}
		}
		size := len(batch[0].packed.Body)
		for more := batch[0].guard == nil; more && len(batch) < 256 && size < t.store.Settings.MaxFrameBytes/8; {
			select {
			case o := <-t.proposals:
				if o.guard != nil {
					// A guarded proposal gets a batch of its own, after the
					// earlier ones.
					next = o
					more = false
					continue
				}
				batch = append(batch, o)
				size += len(o.packed.Body)
			default:
				more = false
			}
		}
		if !t.decideBatch(ctx, batch) {
			return
		}
	}
}

// claimProposals claims the proposals of a batch that were neither withdrawn
// nor are past their deadline: a command that its sender has given up must not
// be applied after the sender's later ones. applyLock is held, so that nothing
// is decided between this check and the proposal.
func claimProposals(queued []*proposal) []*proposal {
	var claimed []*proposal
	now := time.Now()
	for _, o := range queued {
		if !o.claimed.CompareAndSwap(false, true) {
			continue
		}
		if !o.notAfter.IsZero() && now.After(o.notAfter) {
			o.result <- outcome{err: fault.New(fault.Refused, "too old when it was to be proposed")}
			continue
		}
		claimed = append(claimed, o)
	}
	return claimed
}

// checkGuards returns the proposals whose guard holds now. It answers the
// others, and those that only ask for the guard. applyLock is held.
func (t *leadership) checkGuards(ctx context.Context, batch []*proposal) (allowed []*proposal) {
	for _, o := range batch {
		held := o.guard == nil || o.guard(ctx)
		switch {
		case !held:
			o.result <- outcome{result: statemachine.Result{Code: statemachine.Conflict, Message: "too few of the others hold all that is chosen"}}
		case o.command == nil:
			o.result <- outcome{result: statemachine.Result{Code: statemachine.OK}}
		default:
			allowed = append(allowed, o)
		}
	}
	return allowed
}

func (t *leadership) decideBatch(ctx context.Context, queued []*proposal) bool {
	t.store.applyLock.Lock()
	batch := t.store.dropOversized(t.checkGuards(ctx, claimProposals(queued)))
	t.usePatch(batch)
	t.store.wrapRequests(batch)
	commands, positions := t.store.batchCommands(batch)
	if len(commands) == 0 {
		t.store.applyLock.Unlock()
		return true
	}
	encoded, err := commands.Pack()
	var results []statemachine.Result
	if err == nil {
		results, err = t.decide(ctx, encoded)
		if err == nil {
			t.store.snapshotIfDue()
		}
	}
	t.store.applyLock.Unlock()
	for i, o := range batch {
		if err != nil {
			o.result <- outcome{err: fault.Wrap(fault.Unknown, err, "decide")}
		} else {
			o.result <- outcome{result: results[positions[i]]}
		}
	}
	if err != nil {
		t.store.stepDown("a version could not be decided: " + err.Error())
		return false
	}
	return t.checkMembers()
}
