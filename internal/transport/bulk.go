package transport

import (
	"context"
	"time"

	"puffincrank/internal/fault"
)

// linkFullError says that a link takes no more of a lane.
type linkFullError struct {
	error
	retryAfter time.Duration
}

func (f *linkFullError) Unwrap() error { return f.error }

// IsLinkFull tells whether a call was not sent for want of room on its link alone,
// and when there may be some, 0 if that is not known.
func IsLinkFull(err error) (time.Duration, bool) {
	full, ok := err.(*linkFullError)
	if !ok {
		return 0, false
	}
	return full.retryAfter, true
}

// bulkTimeBudget is the part of its time left that may pass until bulk is through; the
// rest is for what it is sent for.
func bulkTimeBudget(remaining time.Duration) time.Duration { return remaining / 2 }

// canDeliverWithin tells whether bulk of a size would be through in a time, by the speed of
// now. What waits before it may take two thirds of that: speeds vary by half from
// second to second where links share a way, and a shorter line keeps it as full.
// The link's lock is held.
func (l *link) canDeliverWithin(size int, limit time.Duration) bool {
	return l.estimatedWait(size) <= limit && l.estimatedWait(0) <= limit*2/3
}

// wouldMissDeadline tells that a bulk call would not be through in time. The link's lock is
// held.
func (l *link) wouldMissDeadline(queued *queuedFrame) bool {
	if queued.lane != LaneBulk || queued.timeoutMS <= 0 {
		return false
	}
	limit := bulkTimeBudget(time.Duration(queued.timeoutMS) * time.Millisecond)
	if queued.sendWithin > 0 {
		limit = min(limit, queued.sendWithin)
	}
	return !l.canDeliverWithin(queued.cost(), limit)
}

// fullError is the error of a call without room. The link's lock is held.
func (l *link) fullError() error {
	return &linkFullError{fault.New(fault.Unsent, "link to %s takes no more", l.peer.Node), l.retryDelay()}
}

// sendDueProbe sends a mark when one is due. The link's lock is held.
func (l *link) sendDueProbe() {
	congestion := &l.queue.congestion
	if !congestion.probeDue() {
		return
	}
	id, now := l.nextID.Add(1), l.node.now()
	congestion.probeSent(id, now)
	l.silence.callSent(now, time.Duration(l.conn.lastRead.Load()))
	// The most urgent lane: it goes out right behind what it is to confirm.
	l.queue.push(&queuedFrame{head: head{kind: pingKind, id: id}})
	l.node.wakeWatch()
}

// handleProbeResponse takes in a mark's receipt, and tells whether the caller is to write
// now. The link's lock is held.
func (l *link) handleProbeResponse(f *frame) bool {
	congestion := &l.queue.congestion
	if !congestion.matchProbe(f.id) {
		return false
	}
	arrived := time.Duration(0)
	if f.sentAtMS > 0 {
		arrived = time.Duration(f.sentAtMS-1)*time.Millisecond + l.conn.helloSent
	}
	l.zone.recordAck(l.node.now(), l.node.now()-congestion.probes[0].sentAt, l.node.SilenceTimeout, congestion.probes[0].size)
	pause := congestion.probeAcked(l.node.now(), arrived, l.node.SilenceTimeout, l.queue.lanes[LaneBulk].first != nil)
	l.sendDueProbe()
	congestion.paused = congestion.paused || pause > 0 && l.node.tasks.Go("bulk-pause", func(ctx context.Context) {
		l.node.sleep(ctx, pause)
		l.mu.Lock()
		congestion.paused = false
		claimed := l.claimWriter()
		l.mu.Unlock()
		if claimed {
			l.flush()
		}
	})
	return l.claimWriter()
}

// dropExpiredResponses drops answers at the head of the bulk that nobody waits for any more:
// they would only hold up the others. The link's lock is held.
func (l *link) dropExpiredResponses() {
	for {
		queued := l.queue.lanes[LaneBulk].first
		if queued == nil || queued.expires == 0 || l.node.now() < queued.expires {
			return
		}
		l.queue.remove(queued)
		queued.body.release()
		if queued.offset > 0 {
			l.queue.push(&queuedFrame{head: head{lane: LaneControl, bodyID: queued.bodyID, remaining: -1}, responseTo: queued.responseTo})
		}
		l.reportBacklog()
		l.passTurnIfIdle()
	}
}

// claimWriter makes the caller the one who writes, if something waits and nobody does.
// The link's lock is held.
func (l *link) claimWriter() bool {
	if l.writing || l.ended || l.queue.count == 0 {
		return false
	}
	l.writing = true
	return true
}

// inboundCall is the call that a taker handles.
type inboundCall struct {
	link *link
	lane int
}

type inboundCallKey struct{}

// LaneOf gives the lane of the call that is being handled, or else the one
// that calls of the context go by.
func LaneOf(ctx context.Context) int {
	if call, ok := ctx.Value(inboundCallKey{}).(*inboundCall); ok {
		return call.lane
	}
	return contextLane(ctx)
}

// ReserveResponse keeps room for the receipt of the bulk call that is being handled, by
// its expected bytes and the time until it is there. False means that it could
// not be through in time; then come is when there may be room. The room is
// held until free is called, right before the receipt goes out.
func ReserveResponse(ctx context.Context, size int, expected time.Duration) (release func(), retryAfter time.Duration, ok bool) {
	release = func() {}
	call, inbound := ctx.Value(inboundCallKey{}).(*inboundCall)
	// A small one passes the bulk that waits.
	if !inbound || call.lane != LaneBulk || size <= initialWindow || !call.link.queue.congestion.enabled {
		return release, 0, true
	}
	l := call.link
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := l.queue.bulkBytes()
	// Answers that wait are bounded in bytes like calls that do.
	ok = waiting == 0 || waiting+size <= l.node.MaxFrameBytes/4
	if end, hasDeadline := ctx.Deadline(); hasDeadline {
		ok = ok && l.canDeliverWithin(size, bulkTimeBudget(time.Until(end))-expected)
	}
	if !ok {
		return release, l.retryDelay(), false
	}
	l.queue.congestion.reserved += size
	l.reportBacklog()
	return func() {
		l.mu.Lock()
		l.queue.congestion.reserved -= size
		l.reportBacklog()
		l.mu.Unlock()
	}, 0, true
}

// BulkDelay is how long bulk of a size would take to a fellow now, by the speed
// measured on the link to it; 0 when nothing waits there or nothing is known.
func (n *Node) BulkDelay(addr string, size int) time.Duration {
	n.mu.Lock()
	dial := n.dialed[addr]
	var l *link
	if dial != nil {
		l = dial.link
	}
	n.mu.Unlock()
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimatedWait(size)
}
