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

// allAsk asks for the whole replica, whoever else does.
type allAsk struct {
	Short bool `msgpack:"z,omitempty"` // it takes it in its short form
}

// fillAsk asks for the whole replica in its turn.
type fillAsk struct {
	From string `msgpack:"f"` // the asker's inner address, to be named to others
}

// fillGot brings it, or tells when to come again and who may have it too.
type fillGot struct {
	All   ormap.Delta `msgpack:"a"`
	No    bool        `msgpack:"n,omitempty"`
	Later int64       `msgpack:"l,omitempty"` // ms, of a No; 0: there is nothing to be had here now
	Try   []string    `msgpack:"t,omitempty"`
	Many  bool        `msgpack:"m,omitempty"` // there is no room for another
}

// Refill is what came of one.
type Refill struct {
	Done         bool
	RetryAfter   time.Duration // when to ask there again, if it wasn't
	Alternatives []string      // fellows that were filled there
	Limited      bool          // no more is handed out there in this beat
}

// packed gives the whole in its short form. It is packed once for all that come
// at nearly the same time, as after a loss of power: what is news since is no
// older than gossip on its way, and each compares right after its refill.
func (r *Replica) packed() ormap.Delta {
	r.full.Lock()
	defer r.full.Unlock()
	if r.full.at.IsZero() || time.Since(r.full.at) > r.beat/4 {
		r.full.at = time.Now()
		r.full.all = r.m.All().Encode()
	}
	return r.full.all
}

func (r *Replica) onAll(_ context.Context, _ transport.Hello, in allAsk) (ormap.Delta, error) {
	if !in.Short {
		return r.m.All(), nil
	}
	return r.packed(), nil
}

// onFill hands out the whole replica, so many bytes in a beat. Who waits for it
// too, or has no session that stands, has none to give: it may be older than
// what graves are kept for.
func (r *Replica) onFill(_ context.Context, from transport.Hello, in fillAsk) (fillGot, error) {
	if r.awaits() || !r.sound() {
		return fillGot{No: true}, nil
	}
	all := r.packed()
	ok, again, many := r.pace.ask(len(all.Compact), time.Now())
	if !ok {
		return fillGot{No: true, Later: again.Milliseconds() + 1, Try: r.pace.name(from.Zone, in.From), Many: many}, nil
	}
	r.pace.gave(in.From, from.Zone)
	return fillGot{All: all, Many: many}, nil
}

// SetCompleteUntil says that until a time this replica is in touch with the mesh, and may
// fill others.
func (r *Replica) SetCompleteUntil(until time.Time) {
	r.mu.Lock()
	r.good = until
	r.mu.Unlock()
}

func (r *Replica) sound() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.good)
}

// Refill drops what others said long ago and pulls all from a fellow, if it is
// this node's turn there. Own entries stay.
func (r *Replica) Refill(ctx context.Context, addr string) (Refill, error) {
	got, err := transport.Call[fillGot](ctx, r.n, addr, "replica.fill", fillAsk{From: r.self.InternalAddr})
	if fault.Is(err, fault.Refused) {
		// One of an earlier version has no turns.
		got = fillGot{}
		got.All, err = transport.Call[ormap.Delta](ctx, r.n, addr, "replica.all", allAsk{Short: true})
	}
	if err != nil {
		return Refill{}, fault.Wrap(fault.Refused, err, "refill")
	}
	out := Refill{RetryAfter: time.Duration(got.Later) * time.Millisecond, Alternatives: got.Try, Limited: got.Many}
	if got.No {
		return out, nil
	}
	all, err := got.All.Decode()
	if err != nil {
		return Refill{}, fault.Wrap(fault.Refused, err, "refill")
	}
	r.ReplaceRemote(all)
	r.SetRefillPending(false)
	r.log.Emit(event.Refilled, "from", addr, "entries", len(all.Adds))
	out.Done = true
	return out, nil
}

// HasRefillCapacity tells whether this node may hand out more in this beat.
func (r *Replica) HasRefillCapacity() bool { return r.pace.room(time.Now()) }

// RecordRefillBytes notes how many bytes it handed out.
func (r *Replica) RecordRefillBytes(size int) { r.pace.spend(size) }

// RecordRefill notes whom it handed a refill, and in which area.
func (r *Replica) RecordRefill(at, area string) { r.pace.gave(at, area) }

// RefilledNodes names who was given what others still wait for, those of an area first.
func (r *Replica) RefilledNodes(area, but string) []string { return r.pace.name(area, but) }

// RandomProxy draws a proxy of an area, of any without one; empty when the draws
// found none.
func (r *Replica) RandomProxy(area string) string {
	r.mu.Lock()
	peers := r.peers
	r.mu.Unlock()
	for range 4 {
		if f := peers.Random(area, rand.IntN); f != nil && f.Node != r.self.Node && f.Role == "proxy" {
			return f.InternalAddr
		}
	}
	return ""
}
