package transport

import (
	"context"
	"slices"
	"time"
)

// maxActiveLinks is how many links to one zone send bulk at the same time. With two, one
// keeps sending while the other waits for an acknowledgement. More would only make all
// transfers late together and put more bytes ahead of urgent frames.
const maxActiveLinks = 2

// activeTurn is a link's turn to send bulk: it sends its next body, and then the turn
// passes to the next link that waits.
type activeTurn struct {
	link    *link
	started time.Duration
}

// requestTurn requests a turn if bulk is queued. The link's lock is held.
func (l *link) requestTurn() {
	congestion, zone := &l.queue.congestion, l.zone
	if !congestion.enabled || congestion.hasTurn || congestion.awaitingTurn || l.ended || l.queue.lanes[LaneBulk].first == nil {
		return
	}
	zone.mu.Lock()
	defer zone.mu.Unlock()
	if len(zone.active) < maxActiveLinks {
		zone.active = append(zone.active, activeTurn{l, l.node.now()})
		congestion.hasTurn = true
		return
	}
	zone.waiting = append(zone.waiting, l)
	congestion.awaitingTurn = l.node.tasks.Go("bulk-turn", l.awaitTurn)
}

// awaitTurn waits for the link's turn. A link that holds a turn and makes no progress for
// two silence timeouts loses it: its peer is most likely unreachable and must not delay
// the others.
func (l *link) awaitTurn(ctx context.Context) {
	for ctx.Err() == nil {
		l.node.sleep(ctx, l.node.SilenceTimeout)
		l.mu.Lock()
		waiting := l.queue.congestion.awaitingTurn
		l.mu.Unlock()
		if !waiting {
			return
		}
		var slow []*link
		l.zone.mu.Lock()
		for _, s := range l.zone.active {
			if l.node.now()-s.started >= 2*l.node.SilenceTimeout {
				slow = append(slow, s.link)
			}
		}
		l.zone.mu.Unlock()
		for _, s := range slow {
			s.mu.Lock()
			if now := s.node.now(); now-s.queue.congestion.rate.lastAck >= 2*s.node.SilenceTimeout {
				s.oldestBulk.Store(int64(now))
				s.passTurn()
			}
			s.mu.Unlock()
		}
	}
}

// passTurn passes the turn on, if the link has it and others wait or it has nothing left
// to send. The link's lock is held.
func (l *link) passTurn() {
	congestion, zone := &l.queue.congestion, l.zone
	if !congestion.hasTurn {
		return
	}
	zone.mu.Lock()
	idle := l.ended || l.queue.lanes[LaneBulk].first == nil
	if len(zone.waiting) == 0 && !idle {
		zone.mu.Unlock()
		return
	}
	congestion.hasTurn = false
	zone.active = slices.DeleteFunc(zone.active, func(s activeTurn) bool { return s.link == l })
	var next *link
	if len(zone.waiting) > 0 {
		next = slices.MinFunc(zone.waiting, compareTurns)
		zone.waiting = slices.DeleteFunc(zone.waiting, func(other *link) bool { return other == next })
		zone.active = append(zone.active, activeTurn{next, l.node.now()})
	}
	zone.mu.Unlock()
	if next != nil {
		// In a goroutine of its own, because the lock of that link must not be acquired
		// while this link's lock is held.
		l.node.tasks.Go("bulk-turn", func(context.Context) { next.takeTurn() })
	}
	l.requestTurn()
}

// takeTurn starts the link's turn.
func (l *link) takeTurn() {
	l.mu.Lock()
	l.queue.congestion.awaitingTurn, l.queue.congestion.hasTurn = false, true
	l.passTurnIfIdle()
	claimed := l.claimWriter()
	l.mu.Unlock()
	if claimed {
		l.flush()
	}
}

// QueuedBulkLinks counts the links with queued bulk: among it are computed responses that
// must not be lost in a shutdown.
func (n *Node) QueuedBulkLinks() (count int64) {
	for _, l := range n.listLinks() {
		l.mu.Lock()
		if !l.ended && l.queue.lanes[LaneBulk].first != nil {
			count++
		}
		l.mu.Unlock()
	}
	return count
}

// passTurnIfIdle gives the turn back when nothing is left to send. The link's lock is held.
func (l *link) passTurnIfIdle() {
	if l.ended || l.queue.lanes[LaneBulk].first == nil {
		l.passTurn()
	}
}
