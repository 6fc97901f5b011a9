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
	HashesOnly bool     `msgpack:"f,omitempty"` // the hashes of what is in the ranges, not the entries
}

type digestResponse struct {
	Same       bool        `msgpack:"s"`
	Differ     []int       `msgpack:"d"`
	Delta      ormap.Delta `msgpack:"p"`
	HashesOnly bool        `msgpack:"f,omitempty"`
	Hashes     []uint64    `msgpack:"h,omitempty"`
	Busy       bool        `msgpack:"b,omitempty"` // with Same: more was handed out than there is room for, ask another
}

// encodedHashBytes is about the bytes of one hash as it travels.
const encodedHashBytes = 9

// errBusy says that a fellow has handed out all that it may in this beat.
var errBusy = fault.New(fault.Refused, "more was asked for than is handed out in a beat")

// exchangeRequest gives a fellow what it lacks and asks for what is lacking here.
type exchangeRequest struct {
	Want           []uint64    `msgpack:"w"`
	Give           ormap.Delta `msgpack:"g"`
	AcceptsCompact bool        `msgpack:"z,omitempty"` // it takes the answer in its short form
}

func (r *Replica) handleDigest(_ context.Context, _ transport.Hello, request digestRequest) (digestResponse, error) {
	own := r.entries.Digests()
	// Who waits for its refill lacks all, and would be given it by each fellow.
	if ormap.CombineDigests(own) == request.Combined || r.isRefillPending() {
		return digestResponse{Same: true}, nil
	}
	// Without the ranges the asker only wanted to know whether all is equal.
	if len(request.Ranges) != ormap.Ranges {
		return digestResponse{}, nil
	}
	// Many that start would each be told nearly all by the same one.
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
	reply := r.entries.Answer(request.Want, received.Adds)
	r.apply(received, true)
	if request.AcceptsCompact {
		reply = reply.Encode()
		r.budget.spend(len(reply.Compact))
	}
	return reply, nil
}

// repair compares digests with one fellow at a time: mostly one of the own
// area, now and then any, since bytes between areas are dear.
func (r *Replica) repair(ctx context.Context) {
	r.Collect()
	r.mu.Lock()
	r.repairRound++
	zone, peers := r.self.Zone, r.peers
	if r.repairRound%3 == 0 {
		zone = ""
	}
	r.mu.Unlock()
	// One that draws itself in a small area draws again.
	for range 4 {
		if peer := peers.Random(zone, rand.IntN); peer != nil && peer.Node != r.self.Node {
			ctx, cancel := context.WithTimeout(ctx, 5*r.heartbeat)
			defer cancel()
			_ = r.Repair(ctx, peer.InternalAddr)
			return
		}
	}
}

// Repair compares with one fellow and merges what differs, both ways: digests of
// all, then of the ranges, then the names of what is in those that differ, and
// only what one of the two lacks travels whole.
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
		// A fellow of an earlier version sends the ranges whole.
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
