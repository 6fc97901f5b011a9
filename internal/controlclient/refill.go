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
func (c *Client) refill(ctx context.Context, controlNode string) refillOutcome {
	ctx, cancel := context.WithTimeout(ctx, c.answerTimeout())
	defer cancel()
	c.mu.Lock()
	due, member := !time.Now().Before(c.refillAt), c.members.ByAddr(controlNode)
	var first, last []string
	if len(c.refillAlternatives) > 0 {
		first = append(first, c.refillAlternatives[rand.IntN(len(c.refillAlternatives))])
	}
	c.mu.Unlock()
	switch {
	case !due:
		last = append(last, c.deps.Replica.RandomProxy(c.deps.Self.Zone), c.deps.Replica.RandomProxy(""))
	case member == nil || member.Zone != c.deps.Self.Zone:
		first = append(first, c.deps.Replica.RandomProxy(c.deps.Self.Zone))
	}
	for _, addr := range first {
		if c.refillFromPeer(ctx, addr, controlNode) {
			return refillDone
		}
	}
	if due {
		result, err := c.deps.Replica.Refill(ctx, controlNode)
		switch {
		case err != nil:
			return refillFailed
		case result.Done:
			c.completeRefill(controlNode, controlNode, result.Limited)
			return refillDone
		}
		c.recordRetry(result)
		if len(result.Alternatives) > 0 {
			last = append(last, result.Alternatives[rand.IntN(len(result.Alternatives))])
		}
	}
	for _, addr := range last {
		if c.refillFromPeer(ctx, addr, controlNode) {
			return refillDone
		}
	}
	// Until the refill, no outdated entries are passed on to others.
	c.deps.Replica.SetRefillPending(true)
	return refillDeferred
}

// refillFromPeer requests a refill from a peer. A peer that doesn't answer costs only a
// quarter of the call timeout.
func (c *Client) refillFromPeer(ctx context.Context, addr, controlNode string) bool {
	if addr == "" || addr == controlNode {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.deps.Settings.CallTimeout()/4)
	defer cancel()
	result, err := c.deps.Replica.Refill(ctx, addr)
	if err == nil && result.Done {
		c.completeRefill(addr, controlNode, result.Limited)
		return true
	}
	c.mu.Lock()
	c.refillAlternatives = result.Alternatives
	c.mu.Unlock()
	return false
}

// recordRetry records when it is this node's turn, and which peers may refill it earlier.
func (c *Client) recordRetry(result replica.Refill) {
	c.mu.Lock()
	c.refillAt, c.refillAlternatives = time.Now().Add(result.RetryAfter), result.Alternatives
	c.mu.Unlock()
}

// completeRefill resumes operation with a refilled replica. Own entries that were made
// while there was no peer to send them to are announced now, and entries that crossed with
// this node's start are fetched by repairs soon after. If the control node has used up its
// refill capacity, no repair is requested first: gossip delivers the missing entries, and a
// transfer from a peer in its place would cost more.
func (c *Client) completeRefill(source, controlNode string, limited bool) {
	c.mu.Lock()
	c.refillAt, c.refillAlternatives = time.Time{}, nil
	c.mu.Unlock()
	interval := c.deps.Settings.HeartbeatInterval()
	if source != controlNode && !limited {
		// A peer may hold less than the control node does.
		ctx, cancel := context.WithTimeout(c.deps.Group.Context(), c.answerTimeout())
		_ = c.deps.Replica.Repair(ctx, controlNode)
		cancel()
	}
	c.host.ReplicaRefilled()
	if limited {
		c.deps.Replica.AnnounceOwn()
	}
	c.deps.Group.Go("mend-soon", func(ctx context.Context) {
		for range repairsAfterRefill {
			_ = c.deps.Replica.Repair(ctx, controlNode)
			task.Sleep(ctx, 2*interval)
		}
	})
}
