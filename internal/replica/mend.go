package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/ormap"
	"puffincrank/internal/transport"
)

type digestAsk struct {
	Total uint64   `msgpack:"t"`
	All   []uint64 `msgpack:"a,omitempty"`
	Fine  bool     `msgpack:"f,omitempty"` // the hashes of what is in the ranges, not the entries
}

type digestGot struct {
	Same   bool        `msgpack:"s"`
	Differ []int       `msgpack:"d"`
	Part   ormap.Delta `msgpack:"p"`
	Fine   bool        `msgpack:"f,omitempty"`
	Dots   []uint64    `msgpack:"h,omitempty"`
	Busy   bool        `msgpack:"b,omitempty"` // with Same: more was handed out than there is room for, ask another
}

// word is about the bytes of one hash as it travels.
const word = 9

// errBusy says that a fellow has handed out all that it may in this beat.
var errBusy = fault.New(fault.Refused, "more was asked for than is handed out in a beat")

// swapAsk gives a fellow what it lacks and asks for what is lacking here.
type swapAsk struct {
	Want  []uint64    `msgpack:"w"`
	Give  ormap.Delta `msgpack:"g"`
	Short bool        `msgpack:"z,omitempty"` // it takes the answer in its short form
}

func (r *Replica) onDigest(_ context.Context, _ transport.Hello, in digestAsk) (digestGot, error) {
	own := r.m.Digests()
	// Who waits for its refill lacks all, and would be given it by each fellow.
	if ormap.CombineDigests(own) == in.Total || r.awaits() {
		return digestGot{Same: true}, nil
	}
	// Without the ranges the asker only wanted to know whether all is equal.
	if len(in.All) != ormap.Ranges {
		return digestGot{}, nil
	}
	// Many that start would each be told nearly all by the same one.
	if !r.pace.room(time.Now()) {
		return digestGot{Same: true, Busy: true}, nil
	}
	var got digestGot
	for i := range own {
		if own[i] != in.All[i] {
			got.Differ = append(got.Differ, i)
		}
	}
	if in.Fine {
		got.Fine, got.Dots = true, r.m.Hashes(got.Differ)
		r.pace.spend(word * len(got.Dots))
	} else {
		got.Part = r.m.RangeDelta(got.Differ)
	}
	return got, nil
}

func (r *Replica) onSwap(_ context.Context, _ transport.Hello, in swapAsk) (ormap.Delta, error) {
	give, err := in.Give.Decode()
	if err != nil {
		return ormap.Delta{}, err
	}
	back := r.m.Answer(in.Want, give.Adds)
	r.take(give, true)
	if in.Short {
		back = back.Encode()
		r.pace.spend(len(back.Compact))
	}
	return back, nil
}

// repair compares digests with one fellow at a time: mostly one of the own
// area, now and then any, since bytes between areas are dear.
func (r *Replica) repair(ctx context.Context) {
	r.Collect()
	r.mu.Lock()
	r.turn++
	area, peers := r.self.Zone, r.peers
	if r.turn%3 == 0 {
		area = ""
	}
	r.mu.Unlock()
	// One that draws itself in a small area draws again.
	for range 4 {
		if f := peers.Random(area, rand.IntN); f != nil && f.Node != r.self.Node {
			ctx, end := context.WithTimeout(ctx, 5*r.beat)
			defer end()
			_ = r.Repair(ctx, f.InternalAddr)
			return
		}
	}
}

// Repair compares with one fellow and merges what differs, both ways: digests of
// all, then of the ranges, then the names of what is in those that differ, and
// only what one of the two lacks travels whole.
func (r *Replica) Repair(ctx context.Context, addr string) error {
	if r.awaits() {
		return nil
	}
	own := r.m.Digests()
	total := ormap.CombineDigests(own)
	got, err := transport.Call[digestGot](ctx, r.n, addr, "replica.digest", digestAsk{Total: total})
	if err != nil || got.Same {
		return err
	}
	got, err = transport.Call[digestGot](ctx, r.n, addr, "replica.digest", digestAsk{Total: total, All: own, Fine: true})
	if err == nil && got.Busy {
		err = errBusy
	}
	if err != nil || got.Same {
		return err
	}
	r.mu.Lock()
	r.RepairCount++
	r.mu.Unlock()
	if !got.Fine {
		// A fellow of an earlier version sends the ranges whole.
		back := r.m.RangeDelta(got.Differ)
		r.take(got.Part, true)
		_, err = transport.Call[struct{}](ctx, r.n, addr, "replica.mend", back)
		return err
	}
	var in swapAsk
	in.Want, in.Give = r.m.Compare(got.Differ, got.Dots)
	if len(in.Want) == 0 && in.Give.Empty() {
		return nil
	}
	in.Short = true
	back, err := transport.Call[ormap.Delta](ctx, r.n, addr, "replica.swap", in)
	if err == nil {
		back, err = back.Decode()
	}
	if err == nil {
		r.take(back, true)
	}
	return err
}
