package store

import (
	"context"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/fault"
	"puffincrank/internal/trace"
	"puffincrank/internal/transport"
)

// readRequest is a read that waits for a majority to confirm the leader.
type readRequest struct{ result chan error }

// confirmLeadership returns nil when a majority, asked after this call began, still holds
// this store's ballot the highest. All that was acknowledged before is then
// applied here.
func (t *leadership) confirmLeadership(ctx context.Context) error {
	c := &readRequest{result: make(chan error, 1)}
	if t.ended() {
		return fault.New(fault.Refused, "no longer the writer")
	}
	select {
	case t.reads <- c:
	default:
		return fault.New(fault.Refused, "too many reads wait")
	}
	select {
	case err := <-c.result:
		return err
	case <-ctx.Done():
		return fault.New(fault.Refused, "not confirmed in time")
	case <-t.g.Context().Done():
		return fault.New(fault.Refused, "no longer the writer")
	}
}

// confirmLoop is the loop of rounds: one for all reads that wait, and one at each
// beat, which also keeps the lease.
func (t *leadership) confirmLoop(ctx context.Context) {
	beat := time.NewTicker(t.s.Settings.HeartbeatInterval())
	defer beat.Stop()
	for {
		var wait []*readRequest
		select {
		case <-ctx.Done():
			return
		case c := <-t.reads:
			wait = append(wait, c)
		case <-beat.C:
		}
		for more := true; more; {
			select {
			case c := <-t.reads:
				wait = append(wait, c)
			default:
				more = false
			}
		}
		err := t.heartbeat(ctx)
		for _, c := range wait {
			c.result <- err
		}
		if t.isOutbid() {
			t.s.stepDown("a member holds a higher promise: the ballot is run again")
			t.s.wakeLoop(true)
			return
		}
		if err != nil && (fault.Is(err, fault.Stale) || t.isStale()) {
			t.s.stepDown(err.Error())
			return
		}
	}
}

// noteHigher notes a member's promise that is higher than our ballot.
func (t *leadership) noteHigher(n ballot.Number) {
	t.s.mu.Lock()
	t.s.highestRound = max(t.s.highestRound, n.Round)
	t.s.mu.Unlock()
	t.mu.Lock()
	t.refusals++
	t.mu.Unlock()
}

// isOutbid tells that a member has refused us for a while: it would be left out
// of every entry, so the ballot is better run again above its promise.
func (t *leadership) isOutbid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusals >= 3
}

// isStale tells that no majority answered for a whole lease.
func (t *leadership) isStale() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.confirmedAt) > t.s.Settings.Lease()
}

// heartbeat is one round: every member says whether our ballot still stands.
func (t *leadership) heartbeat(ctx context.Context) error {
	s := t.s
	from, round := time.Now(), t.rounds.Add(1)
	s.e.Trace.Notify(trace.RoundBegan{Replica: s.acc.Identity().ID, Round: round})
	ask := t.beatOfNow()
	who, need := s.memberAddresses()
	yes, higher := 0, 0
	// A slow member's answer still counts as heard after the majority is in.
	ballot.Poll(ctx, s.g, who, func(_ context.Context, to string) (ack, error) {
		ctx, end := context.WithTimeout(s.g.Context(), s.Settings.Lease()/2)
		defer end()
		if to == s.Settings.InternalAddr {
			vow, _ := s.voter.Promised()
			ok := vow == t.num
			if ok {
				_, _, _ = s.voter.Heartbeat(t.num)
			}
			return ack{Yes: ok, ID: s.acc.Identity().ID, Seen: vow}, nil
		}
		a, err := transport.Call[ack](ctx, s.n, to, "store.beat", ask)
		if err == nil && a.Yes {
			t.recordContact(a)
		}
		return a, err
	}, func(_ string, a ack, err error) bool {
		if err != nil {
			return false
		}
		if t.num.Less(a.Seen) {
			higher++
			t.noteHigher(a.Seen)
		}
		s.mu.Lock()
		member := s.isMember(a.ID)
		s.mu.Unlock()
		if a.Yes && member {
			yes++
		}
		return higher >= need || yes >= need
	})
	if yes >= need {
		t.mu.Lock()
		t.confirmedAt = from
		t.mu.Unlock()
		s.mu.Lock()
		s.e.Trace.Notify(trace.RoundConfirmed{Replica: s.acc.Identity().ID, Round: round, Index: s.slot})
		s.mu.Unlock()
		return nil
	}
	if higher >= need {
		return fault.New(fault.Stale, "a higher ballot was promised")
	}
	return fault.New(fault.Refused, "no majority confirms the writer")
}
