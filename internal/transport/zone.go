package transport

import (
	"sync"
	"sync/atomic"
	"time"
)

// rateEstimator measures the rate of bulk while there is a backlog. It measures over at
// least one round trip, because acknowledgements may arrive in bursts.
type rateEstimator struct {
	windowStart    time.Duration // start of the measurement; 0 while there is no backlog
	acked          int           // bytes acknowledged since then
	lastAck        time.Duration // when bytes were last acknowledged
	bytesPerSecond float64       // 0 while unknown
}

// record adds bytes that were acknowledged after a round trip.
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
			// Transfers admitted by a rate have to be completed in time, so an increase is
			// adopted slowly.
			g.bytesPerSecond += (measured - g.bytesPerSecond) / rateSmoothing
		}
		g.windowStart, g.acked = now, 0
	}
	if !backlog {
		g.windowStart = 0
	}
}

// timeFor returns how long n bytes take; 0 if the rate is unknown or outdated.
func (g *rateEstimator) timeFor(n int, now, silenceTimeout time.Duration) time.Duration {
	if g.bytesPerSecond < 1 || now-g.lastAck > staleTimeouts*silenceTimeout {
		return 0
	}
	return time.Duration(float64(n) / g.bytesPerSecond * float64(time.Second))
}

// zoneScheduler schedules all bulk from this node to one zone. The links to a zone most
// likely share a bottleneck, be it this node's uplink or the connection between the zones:
// a transfer that has its link to itself still competes with those on the other links. So
// the links send their bulk in turns. Lock order: link.mu before zoneScheduler.mu.
type zoneScheduler struct {
	backlog  atomic.Int64 // bytes of bulk, reserved responses included
	sendable atomic.Int64 // the same without the reserved ones
	mu       sync.Mutex
	rate     rateEstimator
	active   []activeTurn // links whose turn it is
	waiting  []*link      // links that wait for a turn
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

// reportBacklog updates the zone's totals with the link's queued bulk. The link's lock is
// held.
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

// estimatedWait returns how long a body of bulk of the given size would take if it were
// queued now; 0 if unknown. The link's lock is held.
func (l *link) estimatedWait(size int) time.Duration {
	now, silenceTimeout := l.node.now(), l.node.SilenceTimeout
	return max(l.queue.congestion.rate.timeFor(l.queue.bulkBytes()+size, now, silenceTimeout), l.zone.timeFor(size, now, silenceTimeout))
}
