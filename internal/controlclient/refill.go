package controlclient

import (
	"context"
	"math/rand/v2"
	"time"

	"puffincrank/internal/replica"
	"puffincrank/internal/task"
)

// refillOutcome is the outcome of an attempt to refill the replica.
type refillOutcome int

const (
	refillFailed   refillOutcome = iota // the control node gave no answer
	refillDeferred                      // it is not yet this node's turn
	refillDone
)

// repairsAfterRefill is how many repairs follow soon after a refill.
const repairsAfterRefill = 3

// refill refills the replica. If the control node is in another zone, a peer of this node's
// own zone is tried first, since traffic between zones is expensive. Then the control node
// is asked, when it is this node's turn there. Until then, peers that were refilled
// meanwhile are tried.
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
	// Until the refill, no outdated entries are passed on to others.
	t.deps.Replica.SetRefillPending(true)
	return refillDeferred
}

// refillFromPeer requests a refill from a peer. A peer that doesn't answer costs only a
// quarter of the call timeout.
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

// recordRetry records when it is this node's turn, and which peers may refill it earlier.
func (t *Client) recordRetry(result replica.Refill) {
	t.mu.Lock()
	t.refillAt, t.refillAlternatives = time.Now().Add(result.RetryAfter), result.Alternatives
	t.mu.Unlock()
}

// completeRefill resumes operation with a refilled replica. Own entries that were made
// while there was no peer to send them to are announced now, and entries that crossed with
// this node's start are fetched by repairs soon after. If the control node has used up its
// refill capacity, no repair is requested first: gossip delivers the missing entries, and a
// transfer from a peer in its place would cost more.
func (t *Client) completeRefill(source, controlNode string, limited bool) {
	t.mu.Lock()
	t.refillAt, t.refillAlternatives = time.Time{}, nil
	t.mu.Unlock()
	interval := t.deps.Settings.HeartbeatInterval()
	if source != controlNode && !limited {
		// A peer may hold less than the control node does.
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
