package transport

import (
	"context"
	"slices"
	"time"
)

// atOnce is how many links to one area send bulk at the same time. Two, so that
// one goes on while the other waits for a receipt; more would only make all
// late at once, and more would stand before what is urgent.
const atOnce = 2

// stint is a turn: a link that has it sends its next body; then it is the next
// one's, if others wait.
type stint struct {
	l    *link
	from time.Duration
}

// claim asks for a turn if bulk waits. The link's lock is held.
func (l *link) claim() {
	w, t := &l.q.flow, l.track
	if !w.on || w.let || w.asks || l.over || l.q.lane[LaneBulk].first == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.have) < atOnce {
		t.have = append(t.have, stint{l, l.n.now()})
		w.let = true
		return
	}
	t.line = append(t.line, l)
	w.asks = l.n.g.Go("bulk-turn", l.stand)
}

// stand waits for the turn. Whoever has it and makes no progress for two
// patiences loses it: its fellow is most likely gone, which must not hold up
// the rest.
func (l *link) stand(ctx context.Context) {
	for ctx.Err() == nil {
		l.n.rest(ctx, l.n.SilenceTimeout)
		l.mu.Lock()
		asks := l.q.flow.asks
		l.mu.Unlock()
		if !asks {
			return
		}
		var slow []*link
		l.track.mu.Lock()
		for _, s := range l.track.have {
			if l.n.now()-s.from >= 2*l.n.SilenceTimeout {
				slow = append(slow, s.l)
			}
		}
		l.track.mu.Unlock()
		for _, s := range slow {
			s.mu.Lock()
			if now := s.n.now(); now-s.q.flow.gauge.seen >= 2*s.n.SilenceTimeout {
				s.since.Store(int64(now))
				s.pass()
			}
			s.mu.Unlock()
		}
	}
}

// pass gives the turn on, if there is one and others wait or nothing is left to
// send. The link's lock is held.
func (l *link) pass() {
	w, t := &l.q.flow, l.track
	if !w.let {
		return
	}
	t.mu.Lock()
	idle := l.over || l.q.lane[LaneBulk].first == nil
	if len(t.line) == 0 && !idle {
		t.mu.Unlock()
		return
	}
	w.let = false
	t.have = slices.DeleteFunc(t.have, func(s stint) bool { return s.l == l })
	var next *link
	if len(t.line) > 0 {
		next = slices.MinFunc(t.line, sooner)
		t.line = slices.DeleteFunc(t.line, func(o *link) bool { return o == next })
		t.have = append(t.have, stint{next, l.n.now()})
	}
	t.mu.Unlock()
	if next != nil {
		// Not here: its lock must not be taken under this one's.
		l.n.g.Go("bulk-turn", func(context.Context) { next.resume() })
	}
	l.claim()
}

// resume takes the turn up.
func (l *link) resume() {
	l.mu.Lock()
	l.q.flow.asks, l.q.flow.let = false, true
	l.spent()
	mine := l.mine()
	l.mu.Unlock()
	if mine {
		l.flush()
	}
}

// QueuedBulkLinks counts the links on which bulk waits: an answer under it has been
// worked out and must not be lost to a stop.
func (n *Node) QueuedBulkLinks() (many int64) {
	for _, l := range n.standing() {
		l.mu.Lock()
		if !l.over && l.q.lane[LaneBulk].first != nil {
			many++
		}
		l.mu.Unlock()
	}
	return many
}

// spent gives back a turn when nothing is left to send. The link's lock is held.
func (l *link) spent() {
	if l.over || l.q.lane[LaneBulk].first == nil {
		l.pass()
	}
}
