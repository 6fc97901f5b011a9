package controlclient

import (
	"context"
	"math/rand/v2"
	"time"

	"puffincrank/internal/replica"
	"puffincrank/internal/task"
)

// filling is what came of an attempt to have the replica filled.
type filling int

const (
	unfilled filling = iota // the control node gave no answer
	putOff                  // it is not this node's turn yet
	filled
)

// mends is how often a replica that was filled is compared soon after.
const mends = 3

// fill has the replica filled: by a fellow of the own area, if the control node
// is elsewhere, since bytes between areas are dear; by the control node in its
// turn; and while that is to come, by those who were filled meanwhile.
func (t *Client) fill(ctx context.Context, to string) filling {
	ctx, end := context.WithTimeout(ctx, t.leash())
	defer end()
	t.mu.Lock()
	due, f := !time.Now().Before(t.due), t.book.ByAddr(to)
	var first, last []string
	if len(t.tips) > 0 {
		first = append(first, t.tips[rand.IntN(len(t.tips))])
	}
	t.mu.Unlock()
	switch {
	case !due:
		last = append(last, t.x.Replica.RandomProxy(t.x.Self.Zone), t.x.Replica.RandomProxy(""))
	case f == nil || f.Zone != t.x.Self.Zone:
		first = append(first, t.x.Replica.RandomProxy(t.x.Self.Zone))
	}
	for _, a := range first {
		if t.pull(ctx, a, to) {
			return filled
		}
	}
	if due {
		got, err := t.x.Replica.Refill(ctx, to)
		switch {
		case err != nil:
			return unfilled
		case got.Done:
			t.full(to, to, got.Limited)
			return filled
		}
		t.off(got)
		if len(got.Alternatives) > 0 {
			last = append(last, got.Alternatives[rand.IntN(len(got.Alternatives))])
		}
	}
	for _, a := range last {
		if t.pull(ctx, a, to) {
			return filled
		}
	}
	// Until then nothing old goes to others.
	t.x.Replica.SetRefillPending(true)
	return putOff
}

// pull asks a fellow. One that says nothing costs a part of the wait only.
func (t *Client) pull(ctx context.Context, at, to string) bool {
	if at == "" || at == to {
		return false
	}
	ctx, end := context.WithTimeout(ctx, t.x.Settings.CallTimeout()/4)
	defer end()
	got, err := t.x.Replica.Refill(ctx, at)
	if err == nil && got.Done {
		t.full(at, to, got.Limited)
		return true
	}
	t.mu.Lock()
	t.tips = got.Alternatives
	t.mu.Unlock()
	return false
}

// off notes when it is this node's turn, and who may fill it before.
func (t *Client) off(got replica.Refill) {
	t.mu.Lock()
	t.due, t.tips = time.Now().Add(got.RetryAfter), got.Alternatives
	t.mu.Unlock()
}

// full goes on with a filled replica. Own entries made before there was anybody
// to tell go out now, and those that crossed with this one's start are fetched
// soon after. A control node that has handed out what it may in a beat gives
// nothing then: gossip brings what is missing, and bytes that a fellow would
// send in its place are dearer.
func (t *Client) full(at, to string, many bool) {
	t.mu.Lock()
	t.due, t.tips = time.Time{}, nil
	t.mu.Unlock()
	beat := t.x.Settings.HeartbeatInterval()
	if at != to && !many {
		// A fellow may know less than the control node does.
		ctx, end := context.WithTimeout(t.x.Group.Context(), t.leash())
		_ = t.x.Replica.Repair(ctx, to)
		end()
	}
	t.host.ReplicaRefilled()
	if many {
		t.x.Replica.AnnounceOwn()
	}
	t.x.Group.Go("mend-soon", func(ctx context.Context) {
		for range mends {
			_ = t.x.Replica.Repair(ctx, to)
			task.Sleep(ctx, 2*beat)
		}
	})
}
