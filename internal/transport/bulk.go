package transport

import (
	"context"
	"time"

	"puffincrank/internal/fault"
)

// linkFullError means that a link accepts no more frames of a lane for now.
type linkFullError struct {
	error
	retryAfter time.Duration
}

func (f *linkFullError) Unwrap() error { return f.error }

// IsLinkFull reports whether a call was not sent only because its link had no capacity,
// and after what time there may be some; 0 if that is unknown.
func IsLinkFull(err error) (time.Duration, bool) {
	full, ok := err.(*linkFullError)
	if !ok {
		return 0, false
	}
	return full.retryAfter, true
}

// bulkTimeBudget returns how much of a call's remaining time its transfer may take: half,
// so that the other half is left for the work.
func bulkTimeBudget(remaining time.Duration) time.Duration { return remaining / 2 }

// canDeliverWithin reports whether bulk of the given size would be delivered within the
// limit at the current rate. The backlog ahead of it may take at most two thirds of the
// limit: where links share a bottleneck the rate varies by half from second to second, and
// a shorter queue keeps the bottleneck just as busy. The link's lock is held.
func (l *link) canDeliverWithin(size int, limit time.Duration) bool {
	return l.estimatedWait(size) <= limit && l.estimatedWait(0) <= limit*2/3
}

// wouldMissDeadline reports whether a bulk call could not be delivered in time. The link's
// lock is held.
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

// fullError returns the error of a call that the link has no capacity for. The link's lock
// is held.
func (l *link) fullError() error {
	return &linkFullError{fault.New(fault.Unsent, "link to %s takes no more", l.peer.Node), l.retryDelay()}
}

// sendDueProbe queues a probe when one is due. The link's lock is held.
func (l *link) sendDueProbe() {
	congestion := &l.queue.congestion
	if !congestion.probeDue() {
		return
	}
	id, now := l.nextID.Add(1), l.node.now()
	congestion.probeSent(id, now)
	l.silence.callSent(now, time.Duration(l.conn.lastRead.Load()))
	// Probes use the most urgent lane, so that each goes out right behind the bytes that it
	// acknowledges.
	l.queue.push(&queuedFrame{head: head{kind: pingKind, id: id}})
	l.node.ensureWatching()
}

// handleProbeResponse processes the response to a probe and reports whether the caller is
// to write now. The link's lock is held.
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

// dropExpiredResponses removes bulk responses whose deadline has passed from the head of
// the queue, where they would only delay the others. The link's lock is held.
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

// claimWriter makes the caller the link's writer if frames are queued and nobody is
// writing. The link's lock is held.
func (l *link) claimWriter() bool {
	if l.writing || l.ended || l.queue.count == 0 {
		return false
	}
	l.writing = true
	return true
}

// inboundCall is the call that a handler is processing.
type inboundCall struct {
	link *link
	lane int
}

type inboundCallKey struct{}

// LaneOf returns the lane of the call that is being handled, or else the lane that calls
// with this context use.
func LaneOf(ctx context.Context) int {
	if call, ok := ctx.Value(inboundCallKey{}).(*inboundCall); ok {
		return call.lane
	}
	return contextLane(ctx)
}

// ReserveResponse reserves link capacity for the response of the bulk call that is being
// handled, given its expected size and the time until it is ready. If the response could
// not be delivered in time, ok is false and retryAfter says when there may be capacity.
// The reservation is held until release is called, right before the response is sent.
func ReserveResponse(ctx context.Context, size int, expected time.Duration) (release func(), retryAfter time.Duration, ok bool) {
	release = func() {}
	call, inbound := ctx.Value(inboundCallKey{}).(*inboundCall)
	// Small responses bypass the queued bulk.
	if !inbound || call.lane != LaneBulk || size <= initialWindow || !call.link.queue.congestion.enabled {
		return release, 0, true
	}
	l := call.link
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := l.queue.bulkBytes()
	// Responses in the queue are bounded in bytes, as calls are.
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

// BulkDelay returns how long bulk of the given size would take to a peer at the rate
// measured on its link; 0 if nothing is queued there or the rate is unknown.
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
