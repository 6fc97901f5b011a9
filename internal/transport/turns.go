package transport

import (
	"context"
	"slices"
	"time"
)

// maxActiveLinks is how many links to one area send bulk at the same time. Two, so that
// one goes on while the other waits for a receipt; more would only make all
// late at once, and more would stand before what is urgent.
const maxActiveLinks = 2

// activeTurn is a turn: a link that has it sends its next body; then it is the next
// one's, if others wait.
type activeTurn struct {
	link    *link
	started time.Duration
}

// requestTurn asks for a turn if bulk waits. The link's lock is held.
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

// awaitTurn waits for the turn. Whoever has it and makes no progress for two
// patiences loses it: its fellow is most likely gone, which must not hold up
// the rest.
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

// passTurn gives the turn on, if there is one and others wait or nothing is left to
// send. The link's lock is held.
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
		// Not here: its lock must not be taken under this one's.
		l.node.tasks.Go("bulk-turn", func(context.Context) { next.takeTurn() })
	}
	l.requestTurn()
}

// takeTurn takes the turn up.
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

// QueuedBulkLinks counts the links on which bulk waits: an answer under it has been
// worked out and must not be lost to a stop.
func (n *Node) QueuedBulkLinks() (many int64) {
	for _, l := range n.listLinks() {
		l.mu.Lock()
		if !l.ended && l.queue.lanes[LaneBulk].first != nil {
			many++
		}
		l.mu.Unlock()
	}
	return many
}

// passTurnIfIdle gives back a turn when nothing is left to send. The link's lock is held.
func (l *link) passTurnIfIdle() {
	if l.ended || l.queue.lanes[LaneBulk].first == nil {
		l.passTurn()
	}
}
