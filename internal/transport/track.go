package transport

import (
	"sync"
	"sync/atomic"
	"time"
)

// gauge measures how fast bulk goes while some waits, over round trips or more:
// receipts of marks may come in bunches.
type gauge struct {
	from  time.Duration // since when bytes are counted; 0 as long as nothing waits
	done  int           // bytes confirmed since then
	seen  time.Duration // when some were confirmed last
	speed float64       // bytes a second; 0 as long as it's not known
}

// note takes in bytes that were confirmed after a time under way.
func (g *gauge) note(now, took, least time.Duration, size int, more bool) {
	g.seen = now
	if g.done += size; g.from == 0 {
		g.from, g.done = now-took, size
	}
	if span := now - g.from; span >= least && span > 0 {
		switch s := float64(g.done) / span.Seconds(); {
		case g.speed == 0:
			g.speed = s
		case s < g.speed:
			g.speed += (s - g.speed) / 2
		default:
			// What was let in by a speed must be through, so it is believed late.
			g.speed += (s - g.speed) / smooth
		}
		g.from, g.done = now, 0
	}
	if !more {
		g.from = 0
	}
}

// takes is how long bytes take; 0 if the speed isn't known, or isn't of now.
func (g *gauge) takes(n int, now, patience time.Duration) time.Duration {
	if g.speed < 1 || now-g.seen > stale*patience {
		return 0
	}
	return time.Duration(float64(n) / g.speed * float64(time.Second))
}

// track is all that goes from here to one area. Its links most likely share what
// is thin, be it the way out of here or between the areas: a transfer that has
// its link to itself still waits for those of the others. So they send their
// bulk by turns. Lock order: a link's before this one's.
type track struct {
	waits atomic.Int64 // bytes of bulk, with booked answers
	ready atomic.Int64 // without them
	mu    sync.Mutex
	gauge gauge
	have  []stint // the links whose turn it is
	line  []*link // those that wait for one
}

func (n *Node) track(area string) *track {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.tracks[area]
	if s == nil {
		s = &track{}
		n.tracks[area] = s
	}
	return s
}

func (s *track) note(now, took, patience time.Duration, size int) {
	s.mu.Lock()
	least := patience / 4
	if s.gauge.speed == 0 {
		least = took
	}
	s.gauge.note(now, took, least, size, s.ready.Load() > 0)
	s.mu.Unlock()
}

func (s *track) takes(size int, now, patience time.Duration) time.Duration {
	waits := int(s.waits.Load())
	if waits <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gauge.takes(waits+size, now, patience)
}

// tell notes what waits on a link. The link's lock is held.
func (l *link) tell() {
	waits, ready := 0, 0
	if !l.over {
		waits = l.q.waits()
		ready = waits - l.q.flow.booked
	}
	l.track.waits.Add(int64(waits - l.told[0]))
	l.track.ready.Add(int64(ready - l.told[1]))
	l.told = [2]int{waits, ready}
	if i := l.q.lane[LaneBulk].first; i != nil && i.off == 0 {
		l.since.Store(int64(i.born))
	}
}

// hope is when a body of bulk would be through if it came now, 0 if that is not
// known. The link's lock is held.
func (l *link) hope(size int) time.Duration {
	now, patience := l.n.now(), l.n.SilenceTimeout
	return max(l.q.flow.gauge.takes(l.q.waits()+size, now, patience), l.track.takes(size, now, patience))
}
