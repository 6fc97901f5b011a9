package transport

import (
	"sync"
	"sync/atomic"
	"time"
)

// rateEstimator measures how fast bulk goes while some waits, over round trips or more:
// receipts of marks may come in bunches.
type rateEstimator struct {
	windowStart    time.Duration // since when bytes are counted; 0 as long as nothing waits
	acked          int           // bytes confirmed since then
	lastAck        time.Duration // when some were confirmed last
	bytesPerSecond float64       // bytes a second; 0 as long as it's not known
}

// record takes in bytes that were confirmed after a time under way.
func (g *rateEstimator) record(now, roundTrip, minSpan time.Duration, size int, backlog bool) {
	g.lastAck = now
	if g.acked += size; g.windowStart == 0 {
		g.windowStart, g.acked = now-roundTrip, size
	}
	if span := now - g.windowStart; span >= minSpan && span > 0 {
		switch measured := float64(g.acked) / span.Seconds(); {
		case g.bytesPerSecond == 0:
			g.bytesPerSecond = measured
		case measured < g.bytesPerSecond:
			g.bytesPerSecond += (measured - g.bytesPerSecond) / 2
		default:
			// What was let in by a speed must be through, so it is believed late.
			g.bytesPerSecond += (measured - g.bytesPerSecond) / rateSmoothing
		}
		g.windowStart, g.acked = now, 0
	}
	if !backlog {
		g.windowStart = 0
	}
}

// timeFor is how long bytes take; 0 if the speed isn't known, or isn't of now.
func (g *rateEstimator) timeFor(n int, now, silenceTimeout time.Duration) time.Duration {
	if g.bytesPerSecond < 1 || now-g.lastAck > staleTimeouts*silenceTimeout {
		return 0
	}
	return time.Duration(float64(n) / g.bytesPerSecond * float64(time.Second))
}

// zoneScheduler is all that goes from here to one area. Its links most likely share what
// is thin, be it the way out of here or between the areas: a transfer that has
// its link to itself still waits for those of the others. So they send their
// bulk by turns. Lock order: a link's before this one's.
type zoneScheduler struct {
	backlog  atomic.Int64 // bytes of bulk, with booked answers
	sendable atomic.Int64 // without them
	mu       sync.Mutex
	rate     rateEstimator
	active   []activeTurn // the links whose turn it is
	waiting  []*link      // those that wait for one
}

func (n *Node) zone(name string) *zoneScheduler {
	n.mu.Lock()
	defer n.mu.Unlock()
	scheduler := n.zones[name]
	if scheduler == nil {
		scheduler = &zoneScheduler{}
		n.zones[name] = scheduler
	}
	return scheduler
}

func (s *zoneScheduler) recordAck(now, roundTrip, silenceTimeout time.Duration, size int) {
	s.mu.Lock()
	minSpan := silenceTimeout / 4
	if s.rate.bytesPerSecond == 0 {
		minSpan = roundTrip
	}
	s.rate.record(now, roundTrip, minSpan, size, s.sendable.Load() > 0)
	s.mu.Unlock()
}

func (s *zoneScheduler) timeFor(size int, now, silenceTimeout time.Duration) time.Duration {
	backlog := int(s.backlog.Load())
	if backlog <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rate.timeFor(backlog+size, now, silenceTimeout)
}

// reportBacklog notes what waits on a link. The link's lock is held.
func (l *link) reportBacklog() {
	waiting, ready := 0, 0
	if !l.ended {
		waiting = l.queue.bulkBytes()
		ready = waiting - l.queue.congestion.reserved
	}
	l.zone.backlog.Add(int64(waiting - l.reported[0]))
	l.zone.sendable.Add(int64(ready - l.reported[1]))
	l.reported = [2]int{waiting, ready}
	if first := l.queue.lanes[LaneBulk].first; first != nil && first.offset == 0 {
		l.oldestBulk.Store(int64(first.queuedAt))
	}
}

// estimatedWait is when a body of bulk would be through if it came now, 0 if that is not
// known. The link's lock is held.
func (l *link) estimatedWait(size int) time.Duration {
	now, silenceTimeout := l.node.now(), l.node.SilenceTimeout
	return max(l.queue.congestion.rate.timeFor(l.queue.bulkBytes()+size, now, silenceTimeout), l.zone.timeFor(size, now, silenceTimeout))
}
