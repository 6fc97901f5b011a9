package transport

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/fault"
)

// LocalNetwork carries calls and casts between nodes of one process without
// connections: thousands of nodes in one process can't each have the buffers
// and goroutines of their links. What travels is packed, measured and unpacked
// as on a link; only the link itself is not there.
type LocalNetwork struct {
	mu    sync.RWMutex
	at    map[string]*Node
	delay func(from, to string) time.Duration // between two areas, one way
	cut   func(from, to string) bool          // between two areas
	dark  map[string]bool                     // addresses of machines that say nothing
	watch func(role, kind string, run func())
}

// side is what a node on a road has in place of links.
type side struct {
	road  *LocalNetwork // nil: over links
	calls atomic.Uint64
	addr  string
	met   map[string]bool
	heard atomic.Int64
}

// NewLocalNetwork makes a road with its delays.
func NewLocalNetwork(delay func(from, to string) time.Duration) *LocalNetwork {
	return &LocalNetwork{at: map[string]*Node{}, dark: map[string]bool{}, delay: delay}
}

// SetPartition sets which areas can't reach each other; nil: all can.
func (r *LocalNetwork) SetPartition(cut func(from, to string) bool) {
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
}

// SetUnresponsive sets whether the machine at an address says nothing, not even that nobody
// stands there.
func (r *LocalNetwork) SetUnresponsive(addr string, on bool) {
	r.mu.Lock()
	r.dark[addr] = on
	r.mu.Unlock()
}

// SetObserver sets who runs the takers, to measure them; set before any node joins.
func (r *LocalNetwork) SetObserver(watch func(role, kind string, run func())) { r.watch = watch }

// LocalNet is the road as one process's network; other ports go over Net.
type LocalNet struct {
	env.Net
	Network *LocalNetwork
}

func (r *LocalNetwork) join(addr string, n *Node) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at[addr] != nil {
		return fault.New(fault.Closed, "address in use: %s", addr)
	}
	r.at[addr] = n
	n.addr = addr
	return nil
}

// Nodes lists who stands on the road.
func (r *LocalNetwork) Nodes() []*Node {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []*Node
	for _, n := range r.at {
		out = append(out, n)
	}
	return out
}

// NodeAt gives who stands at an address, nil for nobody.
func (r *LocalNetwork) NodeAt(addr string) *Node {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.at[addr]
}

func (r *LocalNetwork) leave(n *Node) {
	r.mu.Lock()
	if r.at[n.addr] == n {
		delete(r.at, n.addr)
	}
	r.mu.Unlock()
}

// way waits for as long as a message takes to addr and gives who stands there.
func (r *LocalNetwork) way(ctx context.Context, n *Node, addr string) (*Node, error) {
	r.mu.RLock()
	far, cut, dark := r.at[addr], r.cut, r.dark[addr]
	r.mu.RUnlock()
	if dark {
		rest(ctx, n.SilenceTimeout)
		return nil, fault.New(fault.Unsent, "no link to %s in time", addr)
	}
	if far == nil {
		return nil, fault.New(fault.Unsent, "connection refused: %s", addr)
	}
	if cut != nil && cut(n.Self.Zone, far.Self.Zone) {
		rest(ctx, n.SilenceTimeout)
		return nil, fault.New(fault.Unsent, "no link to %s in time", addr)
	}
	n.meets(addr)
	far.meets(n.addr)
	if !rest(ctx, r.delay(n.Self.Zone, far.Self.Zone)) {
		return nil, fault.New(fault.Unknown, "no receipt from %s in time", addr)
	}
	return far, nil
}

func rest(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (n *Node) meets(addr string) {
	n.mu.Lock()
	if n.met == nil {
		n.met = map[string]bool{}
	}
	n.met[addr] = true
	n.mu.Unlock()
}

// weigh packs a frame as a link would, to count its bytes at both ends.
func (n *Node) weigh(i *item, far *Node) error {
	if n.over(i) {
		i.body.free()
		return fault.New(fault.Unsent, "%s: frame over the bound", i.kind+i.of)
	}
	sum, r := Traffic{}, rooms.Get().(*room)
	defer r.free()
	for size := i.body.size(); ; {
		cut := min(size-i.off, piece)
		h := i.head
		if cut < size {
			if h.part = 1; i.off > 0 {
				h = head{part: 1}
			}
			h.rest = int64(size - i.off - cut)
		}
		r.b = h.write(r.b[:0], i.body.bytes(i.off, cut), cut < size)
		sum.Frames++
		sum.Bytes += int64(len(r.b))
		if i.off += cut; i.off >= size {
			break
		}
	}
	k := Flow{Kind: i.kind + i.of, OtherZone: far.Self.Zone != n.Self.Zone}
	n.mu.Lock()
	n.sizes[k] = Traffic{n.sizes[k].Frames + sum.Frames, n.sizes[k].Bytes + sum.Bytes}
	n.mu.Unlock()
	far.heard.Add(sum.Bytes)
	return nil
}

// drive sends one message over the road; id 0 is a cast.
func (r *LocalNetwork) drive(ctx context.Context, n *Node, addr, kind string, body *room, id uint64) (*frame, error) {
	i := &item{head: head{kind: kind, id: id, lane: laneOf(ctx)}, body: body}
	if end, ok := ctx.Deadline(); ok && id > 0 {
		i.left = time.Until(end).Milliseconds()
		if i.left <= 0 {
			body.free()
			return nil, fault.New(fault.Unsent, "no time left for %s", kind)
		}
		i.at = 1 + n.now().Milliseconds()
	}
	far, err := r.way(ctx, n, addr)
	if err != nil {
		body.free()
		return nil, err
	}
	if err := n.weigh(i, far); err != nil {
		return nil, err
	}
	t := far.takers[kind]
	if t == nil {
		t = &taker{kind: kind, run: func(_ context.Context, _ Hello, f *frame) (*room, error) {
			f.free()
			return nil, fault.New(fault.Refused, "kind %q is not spoken here", kind)
		}}
	}
	under, stop := far.heeds(ctx, n, t)
	defer stop()
	if i.left > 0 {
		var end context.CancelFunc
		under, end = context.WithTimeout(under, time.Duration(i.left)*time.Millisecond)
		defer end()
	}
	far.under.Add(1)
	var out *room
	run := func() { out, err = t.run(under, n.Self, &frame{head: i.head, body: body.b, room: body}) }
	if r.watch != nil {
		r.watch(far.Self.Role, kind, run)
	} else {
		run()
	}
	far.under.Add(-1)
	if id == 0 {
		out.free()
		return nil, nil
	}
	back := far.reply(i.head, kind, out, err)
	if err := far.weigh(back, n); err != nil {
		return nil, err
	}
	// A process that ended meanwhile answers no more.
	if far.g.Context().Err() != nil || !rest(ctx, r.delay(far.Self.Zone, n.Self.Zone)) {
		back.body.free()
		return nil, fault.New(fault.Unknown, "no receipt of %s in time", kind)
	}
	f := &frame{head: back.head, room: back.body}
	f.body = f.room.bytes(0, f.room.size())
	return f.done(kind)
}

// PeerCount counts the fellows that there was a message to or from on the road.
func (n *Node) PeerCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.met)
}

// BytesReceived gives the bytes that came in over the road.
func (n *Node) BytesReceived() int64 { return n.heard.Load() }
