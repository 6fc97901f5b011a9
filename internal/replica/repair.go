package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/ormap"
	"puffincrank/internal/transport"
)

type digestRequest struct {
	Combined   uint64   `msgpack:"t"`
	Ranges     []uint64 `msgpack:"a,omitempty"`
	HashesOnly bool     `msgpack:"f,omitempty"` // return the hashes of the entries in the ranges, not the entries
}

type digestResponse struct {
	Same       bool        `msgpack:"s"`
	Differ     []int       `msgpack:"d"`
	Delta      ormap.Delta `msgpack:"p"`
	HashesOnly bool        `msgpack:"f,omitempty"`
	Hashes     []uint64    `msgpack:"h,omitempty"`
	Busy       bool        `msgpack:"b,omitempty"` // set with Same: the transfer budget is exhausted, ask another peer
}

// encodedHashBytes is the approximate size of one hash on the wire.
const encodedHashBytes = 9

// errBusy is returned by Repair if the transfer budget of the peer is exhausted.
var errBusy = fault.New(fault.Refused, "the peer has exhausted its transfer budget for this heartbeat")

// exchangeRequest sends the entries that the peer lacks and requests those missing here.
type exchangeRequest struct {
	Want           []uint64    `msgpack:"w"`
	Give           ormap.Delta `msgpack:"g"`
	AcceptsCompact bool        `msgpack:"z,omitempty"` // the reply may be in compact form
}

func (r *Replica) handleDigest(_ context.Context, _ transport.Hello, request digestRequest) (digestResponse, error) {
	own := r.entries.Digests()
	// A replica that waits for a refill differs in everything; each peer would send it all.
	if ormap.CombineDigests(own) == request.Combined || r.isRefillPending() {
		return digestResponse{Same: true}, nil
	}
	// Without range digests the peer only asks whether the replicas are equal.
	if len(request.Ranges) != ormap.Ranges {
		return digestResponse{}, nil
	}
	// When many nodes start at once, each would fetch nearly everything from this replica.
	if !r.budget.hasCapacity(time.Now()) {
		return digestResponse{Same: true, Busy: true}, nil
	}
	var response digestResponse
	for i := range own {
		if own[i] != request.Ranges[i] {
			response.Differ = append(response.Differ, i)
		}
	}
	if request.HashesOnly {
		response.HashesOnly, response.Hashes = true, r.entries.Hashes(response.Differ)
		r.budget.spend(encodedHashBytes * len(response.Hashes))
	} else {
		response.Delta = r.entries.RangeDelta(response.Differ)
	}
	return response, nil
}

func (r *Replica) handleExchange(_ context.Context, _ transport.Hello, request exchangeRequest) (ormap.Delta, error) {
	received, err := request.Give.Decode()
	if err != nil {
		return ormap.Delta{}, err
	}
	// Applied first, so that the peer is answered with the tombstones of entries refused here.
	r.apply(received, true)
	reply := r.entries.Answer(request.Want, received.Adds)
	if request.AcceptsCompact {
		reply = reply.Encode()
		r.budget.spend(len(reply.Compact))
	}
	return reply, nil
}

// repair runs anti-entropy with one random peer. Two of three rounds choose a peer of the
// own zone, since traffic between zones is expensive; every third round chooses any.
func (r *Replica) repair(ctx context.Context) {
	r.Collect()
	r.mu.Lock()
	r.repairRound++
	zone, peers := r.self.Zone, r.peers
	if r.repairRound%3 == 0 {
		zone = ""
	}
	r.mu.Unlock()
	// Draw again if the draw hits this node, as is likely in a small zone.
	for range 4 {
		if peer := peers.Random(zone, rand.IntN); peer != nil && peer.Node != r.self.Node {
			ctx, cancel := context.WithTimeout(ctx, 5*r.heartbeat)
			defer cancel()
			_ = r.Repair(ctx, peer.InternalAddr)
			return
		}
	}
}

// Repair synchronizes this replica with one peer in both directions. It compares the
// combined digest, then the digests of the ranges, then the hashes of the entries in the
// ranges that differ; only entries that one side lacks are transferred.
func (r *Replica) Repair(ctx context.Context, addr string) error {
	if r.isRefillPending() {
		return nil
	}
	own := r.entries.Digests()
	combined := ormap.CombineDigests(own)
	response, err := transport.Call[digestResponse](ctx, r.node, addr, "replica.digest", digestRequest{Combined: combined})
	if err != nil || response.Same {
		return err
	}
	response, err = transport.Call[digestResponse](ctx, r.node, addr, "replica.digest", digestRequest{Combined: combined, Ranges: own, HashesOnly: true})
	if err == nil && response.Busy {
		err = errBusy
	}
	if err != nil || response.Same {
		return err
	}
	r.mu.Lock()
	r.RepairCount++
	r.mu.Unlock()
	if !response.HashesOnly {
		// Peers of an earlier version send all entries of the ranges.
		reply := r.entries.RangeDelta(response.Differ)
		r.apply(response.Delta, true)
		_, err = transport.Call[struct{}](ctx, r.node, addr, "replica.mend", reply)
		return err
	}
	var request exchangeRequest
	request.Want, request.Give = r.entries.Compare(response.Differ, response.Hashes)
	if len(request.Want) == 0 && request.Give.Empty() {
		return nil
	}
	request.AcceptsCompact = true
	reply, err := transport.Call[ormap.Delta](ctx, r.node, addr, "replica.swap", request)
	if err == nil {
		reply, err = reply.Decode()
	}
	if err == nil {
		r.apply(reply, true)
	}
	return err
}
