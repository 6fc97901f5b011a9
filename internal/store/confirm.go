package store

import (
	"context"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/fault"
	"puffincrank/internal/trace"
	"puffincrank/internal/transport"
)

// readRequest is a read that waits until a majority has confirmed the leader.
type readRequest struct{ result chan error }

// confirmLeadership returns nil when a majority, asked after this call began,
// has promised no ballot above this store's. Everything that was acknowledged
// before the call is then applied here.
func (t *leadership) confirmLeadership(ctx context.Context) error {
	read := &readRequest{result: make(chan error, 1)}
	if t.ended() {
		return fault.New(fault.Refused, "no longer the writer")
	}
	select {
	case t.reads <- read:
	default:
		return fault.New(fault.Refused, "too many reads wait")
	}
	select {
	case err := <-read.result:
		return err
	case <-ctx.Done():
		return fault.New(fault.Refused, "not confirmed in time")
	case <-t.tasks.Context().Done():
		return fault.New(fault.Refused, "no longer the writer")
	}
}

// confirmLoop runs the heartbeat rounds: one for all reads that wait, and one
// at each heartbeat interval, which also keeps the lease.
func (t *leadership) confirmLoop(ctx context.Context) {
	ticker := time.NewTicker(t.store.Settings.HeartbeatInterval())
	defer ticker.Stop()
	for {
		var waiting []*readRequest
		select {
		case <-ctx.Done():
			return
		case read := <-t.reads:
			waiting = append(waiting, read)
		case <-ticker.C:
		}
		for more := true; more; {
			select {
			case read := <-t.reads:
				waiting = append(waiting, read)
			default:
				more = false
			}
		}
		err := t.heartbeat(ctx)
		for _, read := range waiting {
			read.result <- err
		}
		if t.isRefused() {
			t.store.stepDown("a member holds a higher promise: the ballot is run again")
			t.store.wakeLoop(true)
			return
		}
		if err != nil && (fault.Is(err, fault.Stale) || t.isStale()) {
			t.store.stepDown(err.Error())
			return
		}
	}
}

// recordRefusal records a member's promise above this leader's ballot.
func (t *leadership) recordRefusal(promised ballot.Number) {
	t.store.mu.Lock()
	t.store.highestRound = max(t.store.highestRound, promised.Round)
	t.store.mu.Unlock()
	t.mu.Lock()
	t.refusals++
	t.mu.Unlock()
}

// isRefused reports whether members have refused this ballot 3 times. Such a
// member would accept no entry of this term, so a new election above its
// promise is better.
func (t *leadership) isRefused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusals >= 3
}

// isStale reports whether no majority has answered for a whole lease.
func (t *leadership) isStale() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.confirmedAt) > t.store.Settings.Lease()
}

// heartbeat is one round: every member answers whether this leader's ballot is
// still the highest that it has promised.
func (t *leadership) heartbeat(ctx context.Context) error {
	store := t.store
	started, round := time.Now(), t.rounds.Add(1)
	store.env.Trace.Notify(trace.RoundBegan{Replica: store.acceptor.Identity().ID, Round: round})
	request := t.currentHeartbeat()
	addresses, majority := store.memberAddresses()
	granted, higher := 0, 0
	// The answer of a slow member still counts as contact after the majority
	// has answered.
	ballot.Poll(ctx, store.tasks, addresses, func(_ context.Context, to string) (ack, error) {
		ctx, cancel := context.WithTimeout(store.tasks.Context(), store.Settings.Lease()/2)
		defer cancel()
		if to == store.Settings.InternalAddr {
			promised, _ := store.voter.Promised()
			ok := promised == t.ballot
			if ok {
				_, _, _ = store.voter.Heartbeat(t.ballot)
			}
			return ack{OK: ok, ID: store.acceptor.Identity().ID, Promised: promised}, nil
		}
		reply, err := transport.Call[ack](ctx, store.node, to, "store.beat", request)
		if err == nil && reply.OK {
			t.recordContact(reply)
		}
		return reply, err
	}, func(_ string, reply ack, err error) bool {
		if err != nil {
			return false
		}
		if t.ballot.Less(reply.Promised) {
			higher++
			t.recordRefusal(reply.Promised)
		}
		store.mu.Lock()
		member := store.isMember(reply.ID)
		store.mu.Unlock()
		if reply.OK && member {
			granted++
		}
		return higher >= majority || granted >= majority
	})
	if granted >= majority {
		t.mu.Lock()
		t.confirmedAt = started
		t.mu.Unlock()
		store.mu.Lock()
		store.env.Trace.Notify(trace.RoundConfirmed{Replica: store.acceptor.Identity().ID, Round: round, Index: store.appliedIndex})
		store.mu.Unlock()
		return nil
	}
	if higher >= majority {
		return fault.New(fault.Stale, "a higher ballot was promised")
	}
	return fault.New(fault.Refused, "no majority confirms the writer")
}
