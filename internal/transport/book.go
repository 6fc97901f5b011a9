package transport

import (
	"context"
	"time"

	"puffincrank/internal/fault"
)

// full says that a link takes no more of a lane.
type full struct {
	error
	come time.Duration
}

func (f *full) Unwrap() error { return f.error }

// IsLinkFull tells whether a call was not sent for want of room on its link alone,
// and when there may be some, 0 if that is not known.
func IsLinkFull(err error) (time.Duration, bool) {
	f, ok := err.(*full)
	if !ok {
		return 0, false
	}
	return f.come, true
}

// patient is the part of its time left that may pass until bulk is through; the
// rest is for what it is sent for.
func patient(left time.Duration) time.Duration { return left / 2 }

// timely tells whether bulk of a size would be through in a time, by the speed of
// now. What waits before it may take two thirds of that: speeds vary by half from
// second to second where links share a way, and a shorter line keeps it as full.
// The link's lock is held.
func (l *link) timely(size int, most time.Duration) bool {
	return l.hope(size) <= most && l.hope(0) <= most*2/3
}

// late tells that a bulk call would not be through in time. The link's lock is
// held.
func (l *link) late(i *item) bool {
	if i.lane != LaneBulk || i.left <= 0 {
		return false
	}
	most := patient(time.Duration(i.left) * time.Millisecond)
	if i.soon > 0 {
		most = min(most, i.soon)
	}
	return !l.timely(i.cost(), most)
}

// stuffed is the error of a call without room. The link's lock is held.
func (l *link) stuffed() error {
	return &full{fault.New(fault.Unsent, "link to %s takes no more", l.hail.Node), l.come()}
}

// pace sends a mark when one is due. The link's lock is held.
func (l *link) pace() {
	w := &l.q.flow
	if !w.due() {
		return
	}
	id, now := l.next.Add(1), l.n.now()
	w.sent(id, now)
	l.hush.ask(now, time.Duration(l.conn.seen.Load()))
	// The most urgent lane: it goes out right behind what it is to confirm.
	l.q.push(&item{head: head{kind: alive, id: id}})
	l.n.rouse()
}

// marked takes in a mark's receipt, and tells whether the caller is to write
// now. The link's lock is held.
func (l *link) marked(f *frame) bool {
	w := &l.q.flow
	if !w.passed(f.id) {
		return false
	}
	there := time.Duration(0)
	if f.at > 0 {
		there = time.Duration(f.at-1)*time.Millisecond + l.conn.said
	}
	l.track.note(l.n.now(), l.n.now()-w.marks[0].at, l.n.SilenceTimeout, w.marks[0].size)
	gap := w.acked(l.n.now(), there, l.n.SilenceTimeout, l.q.lane[LaneBulk].first != nil)
	l.pace()
	w.rest = w.rest || gap > 0 && l.n.g.Go("bulk-pause", func(ctx context.Context) {
		l.n.rest(ctx, gap)
		l.mu.Lock()
		w.rest = false
		mine := l.mine()
		l.mu.Unlock()
		if mine {
			l.flush()
		}
	})
	return l.mine()
}

// prune drops answers at the head of the bulk that nobody waits for any more:
// they would only hold up the others. The link's lock is held.
func (l *link) prune() {
	for {
		i := l.q.lane[LaneBulk].first
		if i == nil || i.end == 0 || l.n.now() < i.end {
			return
		}
		l.q.drop(i)
		i.body.free()
		if i.off > 0 {
			l.q.push(&item{head: head{lane: LaneControl, part: i.part, rest: -1}, of: i.of})
		}
		l.tell()
		l.spent()
	}
}

// mine makes the caller the one who writes, if something waits and nobody does.
// The link's lock is held.
func (l *link) mine() bool {
	if l.busy || l.over || l.q.n == 0 {
		return false
	}
	l.busy = true
	return true
}

// came is the call that a taker handles.
type came struct {
	l    *link
	lane int
}

type cameKey struct{}

// LaneOf gives the lane of the call that is being handled, or else the one
// that calls of the context go by.
func LaneOf(ctx context.Context) int {
	if c, ok := ctx.Value(cameKey{}).(*came); ok {
		return c.lane
	}
	return laneOf(ctx)
}

// ReserveResponse keeps room for the receipt of the bulk call that is being handled, by
// its expected bytes and the time until it is there. False means that it could
// not be through in time; then come is when there may be room. The room is
// held until free is called, right before the receipt goes out.
func ReserveResponse(ctx context.Context, size int, run time.Duration) (free func(), come time.Duration, ok bool) {
	free = func() {}
	c, is := ctx.Value(cameKey{}).(*came)
	// A small one passes the bulk that waits.
	if !is || c.lane != LaneBulk || size <= start || !c.l.q.flow.on {
		return free, 0, true
	}
	l := c.l
	l.mu.Lock()
	defer l.mu.Unlock()
	waits := l.q.waits()
	// Answers that wait are bounded in bytes like calls that do.
	ok = waits == 0 || waits+size <= l.n.MaxFrameBytes/4
	if end, set := ctx.Deadline(); set {
		ok = ok && l.timely(size, patient(time.Until(end))-run)
	}
	if !ok {
		return free, l.come(), false
	}
	l.q.flow.booked += size
	l.tell()
	return func() {
		l.mu.Lock()
		l.q.flow.booked -= size
		l.tell()
		l.mu.Unlock()
	}, 0, true
}

// BulkDelay is how long bulk of a size would take to a fellow now, by the speed
// measured on the link to it; 0 when nothing waits there or nothing is known.
func (n *Node) BulkDelay(addr string, size int) time.Duration {
	n.mu.Lock()
	d := n.links[addr]
	var l *link
	if d != nil {
		l = d.l
	}
	n.mu.Unlock()
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hope(size)
}
