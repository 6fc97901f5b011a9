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

// stateRequest asks for the whole replica, whoever else does.
type stateRequest struct {
	AcceptsCompact bool `msgpack:"z,omitempty"` // it takes it in its short form
}

// refillRequest asks for the whole replica in its turn.
type refillRequest struct {
	InternalAddr string `msgpack:"f"` // the asker's inner address, to be named to others
}

// refillResponse brings it, or tells when to come again and who may have it too.
type refillResponse struct {
	State        ormap.Delta `msgpack:"a"`
	Denied       bool        `msgpack:"n,omitempty"`
	RetryAfterMS int64       `msgpack:"l,omitempty"` // ms, of a No; 0: there is nothing to be had here now
	Alternatives []string    `msgpack:"t,omitempty"`
	Limited      bool        `msgpack:"m,omitempty"` // there is no room for another
}

// Refill is what came of one.
type Refill struct {
	Done         bool
	RetryAfter   time.Duration // when to ask there again, if it wasn't
	Alternatives []string      // fellows that were filled there
	Limited      bool          // no more is handed out there in this beat
}

// encodedState gives the whole in its short form. It is packed once for all that come
// at nearly the same time, as after a loss of power: what is news since is no
// older than gossip on its way, and each compares right after its refill.
func (r *Replica) encodedState() ormap.Delta {
	r.stateCache.Lock()
	defer r.stateCache.Unlock()
	if r.stateCache.at.IsZero() || time.Since(r.stateCache.at) > r.heartbeat/4 {
		r.stateCache.at = time.Now()
		r.stateCache.all = r.entries.All().Encode()
	}
	return r.stateCache.all
}

func (r *Replica) handleState(_ context.Context, _ transport.Hello, request stateRequest) (ormap.Delta, error) {
	if !request.AcceptsCompact {
		return r.entries.All(), nil
	}
	return r.encodedState(), nil
}

// handleRefill hands out the whole replica, so many bytes in a beat. Who waits for it
// too, or has no session that stands, has none to give: it may be older than
// what graves are kept for.
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

// SetCompleteUntil says that until a time this replica is in touch with the mesh, and may
// fill others.
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

// Refill drops what others said long ago and pulls all from a fellow, if it is
// this node's turn there. Own entries stay.
func (r *Replica) Refill(ctx context.Context, addr string) (Refill, error) {
	response, err := transport.Call[refillResponse](ctx, r.node, addr, "replica.fill", refillRequest{InternalAddr: r.self.InternalAddr})
	if fault.Is(err, fault.Refused) {
		// One of an earlier version has no turns.
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

// HasRefillCapacity tells whether this node may hand out more in this beat.
func (r *Replica) HasRefillCapacity() bool { return r.budget.hasCapacity(time.Now()) }

// RecordRefillBytes notes how many bytes it handed out.
func (r *Replica) RecordRefillBytes(size int) { r.budget.spend(size) }

// RecordRefill notes whom it handed a refill, and in which area.
func (r *Replica) RecordRefill(addr, zone string) { r.budget.recordRecipient(addr, zone) }

// RefilledNodes names who was given what others still wait for, those of an area first.
func (r *Replica) RefilledNodes(zone, except string) []string {
	return r.budget.recentRecipients(zone, except)
}

// RandomProxy draws a proxy of an area, of any without one; empty when the draws
// found none.
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
