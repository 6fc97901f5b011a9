package controlclient

import (
	"context"
	"math/rand/v2"
	"time"

	"puffincrank/internal/replica"
	"puffincrank/internal/task"
)

// refillOutcome is what came of an attempt to have the replica filled.
type refillOutcome int

const (
	refillFailed   refillOutcome = iota // the control node gave no answer
	refillDeferred                      // it is not this node's turn yet
	refillDone
)

// repairsAfterRefill is how often a replica that was filled is compared soon after.
const repairsAfterRefill = 3

// refill has the replica filled: by a fellow of the own area, if the control node
// is elsewhere, since bytes between areas are dear; by the control node in its
// turn; and while that is to come, by those who were filled meanwhile.
func (t *Client) refill(ctx context.Context, controlNode string) refillOutcome {
	ctx, cancel := context.WithTimeout(ctx, t.answerTimeout())
	defer cancel()
	t.mu.Lock()
	due, member := !time.Now().Before(t.refillAt), t.members.ByAddr(controlNode)
	var first, last []string
	if len(t.refillAlternatives) > 0 {
		first = append(first, t.refillAlternatives[rand.IntN(len(t.refillAlternatives))])
	}
	t.mu.Unlock()
	switch {
	case !due:
		last = append(last, t.deps.Replica.RandomProxy(t.deps.Self.Zone), t.deps.Replica.RandomProxy(""))
	case member == nil || member.Zone != t.deps.Self.Zone:
		first = append(first, t.deps.Replica.RandomProxy(t.deps.Self.Zone))
	}
	for _, addr := range first {
		if t.refillFromPeer(ctx, addr, controlNode) {
			return refillDone
		}
	}
	if due {
		result, err := t.deps.Replica.Refill(ctx, controlNode)
		switch {
		case err != nil:
			return refillFailed
		case result.Done:
			t.completeRefill(controlNode, controlNode, result.Limited)
			return refillDone
		}
		t.recordRetry(result)
		if len(result.Alternatives) > 0 {
			last = append(last, result.Alternatives[rand.IntN(len(result.Alternatives))])
		}
	}
	for _, addr := range last {
		if t.refillFromPeer(ctx, addr, controlNode) {
			return refillDone
		}
	}
	// Until then nothing old goes to others.
	t.deps.Replica.SetRefillPending(true)
	return refillDeferred
}

// refillFromPeer asks a fellow. One that says nothing costs a part of the wait only.
func (t *Client) refillFromPeer(ctx context.Context, addr, controlNode string) bool {
	if addr == "" || addr == controlNode {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, t.deps.Settings.CallTimeout()/4)
	defer cancel()
	result, err := t.deps.Replica.Refill(ctx, addr)
	if err == nil && result.Done {
		t.completeRefill(addr, controlNode, result.Limited)
		return true
	}
	t.mu.Lock()
	t.refillAlternatives = result.Alternatives
	t.mu.Unlock()
	return false
}

// recordRetry notes when it is this node's turn, and who may fill it before.
func (t *Client) recordRetry(result replica.Refill) {
	t.mu.Lock()
	t.refillAt, t.refillAlternatives = time.Now().Add(result.RetryAfter), result.Alternatives
	t.mu.Unlock()
}

// completeRefill goes on with a filled replica. Own entries made before there was anybody
// to tell go out now, and those that crossed with this one's start are fetched
// soon after. A control node that has handed out what it may in a beat gives
// nothing then: gossip brings what is missing, and bytes that a fellow would
// send in its place are dearer.
func (t *Client) completeRefill(source, controlNode string, limited bool) {
	t.mu.Lock()
	t.refillAt, t.refillAlternatives = time.Time{}, nil
	t.mu.Unlock()
	interval := t.deps.Settings.HeartbeatInterval()
	if source != controlNode && !limited {
		// A fellow may know less than the control node does.
		ctx, cancel := context.WithTimeout(t.deps.Group.Context(), t.answerTimeout())
		_ = t.deps.Replica.Repair(ctx, controlNode)
		cancel()
	}
	t.host.ReplicaRefilled()
	if limited {
		t.deps.Replica.AnnounceOwn()
	}
	t.deps.Group.Go("mend-soon", func(ctx context.Context) {
		for range repairsAfterRefill {
			_ = t.deps.Replica.Repair(ctx, controlNode)
			task.Sleep(ctx, 2*interval)
		}
	})
}
