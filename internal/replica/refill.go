package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/ormap"
	"puffincrank/internal/transport"
)

// stateRequest requests the full state, without regard to the transfer budget.
type stateRequest struct {
	AcceptsCompact bool `msgpack:"z,omitempty"` // the reply may be in compact form
}

// refillRequest requests the full state, subject to the transfer budget.
type refillRequest struct {
	InternalAddr string `msgpack:"f"` // address of the requesting node, to which others can be referred
}

// refillResponse holds the full state, or the time to retry and nodes to try instead.
type refillResponse struct {
	State        ormap.Delta `msgpack:"a"`
	Denied       bool        `msgpack:"n,omitempty"`
	RetryAfterMS int64       `msgpack:"l,omitempty"` // milliseconds, set if Denied; 0: this node cannot serve a refill now
	Alternatives []string    `msgpack:"t,omitempty"`
	Limited      bool        `msgpack:"m,omitempty"` // no further refill can be served now
}

// Refill is the result of a refill attempt.
type Refill struct {
	Done         bool
	RetryAfter   time.Duration // if not Done: when to ask the same node again
	Alternatives []string      // nodes that were refilled by the asked node
	Limited      bool          // the asked node serves no more refills in this heartbeat
}

// encodedState returns the full state in compact form. The encoding is cached for a
// quarter of a heartbeat, so that it is computed once for requests that arrive together,
// as after a power loss. Updates missing from the cached state are no older than gossip
// in flight, and each node runs a repair right after its refill.
func (r *Replica) encodedState() ormap.Delta {
	r.stateCache.Lock()
	defer r.stateCache.Unlock()
	if r.stateCache.encodedAt.IsZero() || time.Since(r.stateCache.encodedAt) > r.heartbeat/4 {
		r.stateCache.encodedAt = time.Now()
		r.stateCache.delta = r.entries.All().Encode()
	}
	return r.stateCache.delta
}

func (r *Replica) handleState(_ context.Context, _ transport.Hello, request stateRequest) (ormap.Delta, error) {
	if !request.AcceptsCompact {
		return r.entries.All(), nil
	}
	return r.encodedState(), nil
}

// handleRefill serves the full state within the transfer budget. A replica that waits for
// a refill itself, or whose node has no valid session, serves none: its state may be older
// than the tombstone TTL.
func (r *Replica) handleRefill(_ context.Context, from transport.Hello, request refillRequest) (refillResponse, error) {
	if r.isRefillPending() || !r.isComplete() {
		return refillResponse{Denied: true}, nil
	}
	state := r.encodedState()
	ok, retryAfter, limited := r.budget.reserve(len(state.Compact), time.Now())
	if !ok {
		return refillResponse{Denied: true, RetryAfterMS: retryAfter.Milliseconds() + 1, Alternatives: r.budget.recentRecipients(from.Zone, request.InternalAddr), Limited: limited}, nil
	}
	r.budget.recordRecipient(request.InternalAddr, from.Zone)
	return refillResponse{State: state, Limited: limited}, nil
}

// SetCompleteUntil sets the time until which this replica counts as connected to the
// cluster and may serve refills.
func (r *Replica) SetCompleteUntil(until time.Time) {
	r.mu.Lock()
	r.completeUntil = until
	r.mu.Unlock()
}

func (r *Replica) isComplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.completeUntil)
}

// Refill fetches the full state from a peer and replaces the entries of other nodes with
// it, if the transfer budget of the peer allows. Entries of this node are kept.
func (r *Replica) Refill(ctx context.Context, addr string) (Refill, error) {
	response, err := transport.Call[refillResponse](ctx, r.node, addr, "replica.fill", refillRequest{InternalAddr: r.self.InternalAddr})
	if fault.Is(err, fault.Refused) {
		// Peers of an earlier version have no transfer budget.
		response = refillResponse{}
		response.State, err = transport.Call[ormap.Delta](ctx, r.node, addr, "replica.all", stateRequest{AcceptsCompact: true})
	}
	if err != nil {
		return Refill{}, fault.Wrap(fault.Refused, err, "refill")
	}
	result := Refill{RetryAfter: time.Duration(response.RetryAfterMS) * time.Millisecond, Alternatives: response.Alternatives, Limited: response.Limited}
	if response.Denied {
		return result, nil
	}
	state, err := response.State.Decode()
	if err != nil {
		return Refill{}, fault.Wrap(fault.Refused, err, "refill")
	}
	r.ReplaceRemote(state)
	r.SetRefillPending(false)
	r.log.Emit(event.Refilled, "from", addr, "entries", len(state.Adds))
	result.Done = true
	return result, nil
}

// HasRefillCapacity reports whether any of the transfer budget is left.
func (r *Replica) HasRefillCapacity() bool { return r.budget.hasCapacity(time.Now()) }

// RecordRefillBytes subtracts bytes sent by the caller from the transfer budget.
func (r *Replica) RecordRefillBytes(size int) { r.budget.spend(size) }

// RecordRefill records a node that the caller refilled, and its zone.
func (r *Replica) RecordRefill(addr, zone string) { r.budget.recordRecipient(addr, zone) }

// RefilledNodes returns addresses of recently refilled nodes, those of the zone first.
func (r *Replica) RefilledNodes(zone, except string) []string {
	return r.budget.recentRecipients(zone, except)
}

// RandomProxy returns the address of a random proxy in a zone, or in any zone for "". It
// returns "" if four draws found none.
func (r *Replica) RandomProxy(zone string) string {
	r.mu.Lock()
	peers := r.peers
	r.mu.Unlock()
	for range 4 {
		if peer := peers.Random(zone, rand.IntN); peer != nil && peer.Node != r.self.Node && peer.Role == "proxy" {
			return peer.InternalAddr
		}
	}
	return ""
}
