package transport

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	initialWindow   = maxChunk / 4      // bytes of bulk that may be in flight at first
	minWindow       = minStep / 2       // smallest window; while it is below minStep, sending pauses
	minStep         = initialWindow / 4 // smallest distance between two probes
	windowIncrement = minStep / 4       // growth of a window per tolerated delay
	maxWindow       = 64 * maxBatch
	delayDivisor    = 16 // bulk may delay other frames by this part of the silence timeout
	probesPerWindow = 4
	rateSmoothing   = 16 // number of measurements over which a rate is smoothed
	staleTimeouts   = 4  // a rate and a window expire after so many silence timeouts without bulk
	quietTimeouts   = 16 // a window may double again after so many silence timeouts without a delay
)

// congestion limits the bulk in flight on a link, so that bulk waits in this process,
// where urgent frames can overtake it, and not in socket buffers and on the way. Probes
// are pings that are sent behind some of the bulk: the response to a probe says that the
// peer has read everything before it, and how long that took. All links that share a
// bottleneck observe the same delay, so that each of them slows down. Guarded by the
// link's lock.
type congestion struct {
	enabled            bool
	window             int                            // bytes that may be in flight
	lastDelay          time.Duration                  // when a delay was last observed, 0: never
	slowStartThreshold int                            // the window up to which it doubles, set at the last delay
	hasTurn            bool                           // the link is among those of its zone that may send bulk
	awaitingTurn       bool                           // the link waits for its turn
	paused             bool                           // sending pauses, so that less than minStep is in flight on average
	inFlight           int                            // bytes in flight, as far as acknowledgements tell
	unprobed           int                            // the last bytes in flight, not yet followed by a probe
	probes             []probe                        // in flight, in order
	minRoundTrip       time.Duration                  // shortest round trip of a probe
	oneWay             transitDelay                   // delay of the way there alone, if the peer reports when probes arrived
	delays             [probesPerWindow]time.Duration // delays of the last probes, compared with an unloaded link
	delayCount         int
	rate               rateEstimator
	reserved           int // bytes of responses that are still being computed
}

// probe is a ping in flight behind size bytes of bulk.
type probe struct {
	id     uint64
	size   int
	sentAt time.Duration
}

// maySend reports whether bulk may be sent now.
func (w *congestion) maySend() bool {
	return !w.enabled || w.hasTurn && !w.paused && w.inFlight < w.window
}

// probeInterval returns the number of bytes between two probes.
func (w *congestion) probeInterval() int { return max(w.window/probesPerWindow, minStep) }

// limitChunk limits the size of one chunk.
func (w *congestion) limitChunk(n int) int {
	if !w.enabled {
		return n
	}
	return min(n, w.probeInterval())
}

func (w *congestion) recordSent(n int) {
	w.inFlight += n
	w.unprobed += n
}

// probeDue reports whether a probe has to follow the bytes in flight. Several probes are
// sent per window, so that bulk flows evenly and a closed window always has a probe in
// flight that reopens it.
func (w *congestion) probeDue() bool {
	return w.enabled && w.unprobed > 0 && (w.unprobed >= w.probeInterval() || len(w.probes) == 0 && w.inFlight >= w.window)
}

// resumeFromIdle prepares an idle link for new bulk: its old window says nothing about the
// present.
func (w *congestion) resumeFromIdle(now, silenceTimeout time.Duration) {
	if len(w.probes) == 0 && now-w.rate.lastAck > staleTimeouts*silenceTimeout {
		w.window, w.delayCount = min(w.window, initialWindow), 0
		// No probe followed the last bytes; they were delivered long ago.
		w.inFlight, w.unprobed = 0, 0
	}
}

func (w *congestion) probeSent(id uint64, now time.Duration) {
	w.probes = append(w.probes, probe{id, w.unprobed, now})
	w.unprobed = 0
}

// matchProbe reports whether a response belongs to a probe. It also acknowledges the
// earlier probes, in case their responses were lost.
func (w *congestion) matchProbe(id uint64) bool {
	index := slices.IndexFunc(w.probes, func(m probe) bool { return m.id == id })
	for range index {
		w.probes[1].size += w.probes[0].size
		w.probes = w.probes[1:]
	}
	return index >= 0
}

// probeAcked processes the response to the first probe. It adjusts the window so that the
// bytes in flight take little longer than on an unloaded link. arrived is the peer's time
// of the probe's arrival, 0 if the peer does not report it; with it, a link that is
// congested in the opposite direction is not taken for one congested in this direction.
// backlog says that bulk is queued. The result is how long bulk has to pause, because less
// than minStep may be in flight.
func (w *congestion) probeAcked(now, arrived, silenceTimeout time.Duration, backlog bool) time.Duration {
	first := w.probes[0]
	w.probes = w.probes[1:]
	roundTrip := max(now-first.sentAt, time.Microsecond)
	elapsed := min(now-w.rate.lastAck, roundTrip)
	// The minimum rises slowly; otherwise a link whose network path became longer would keep
	// a small window.
	if w.minRoundTrip += (now - w.rate.lastAck) / clockDriftDivisor; w.rate.lastAck == 0 || roundTrip < w.minRoundTrip {
		w.minRoundTrip = roundTrip
	}
	delay := roundTrip - w.minRoundTrip
	if arrived > 0 {
		delay = w.oneWay.excess(first.sentAt, arrived)
	}
	// Responses that arrive in a burst cause the next chunks to be sent in a burst, which
	// then queue behind each other. Only the delay that all recent probes met is caused by
	// other traffic.
	w.delays[w.delayCount%probesPerWindow] = delay
	w.delayCount++
	delay = slices.Min(w.delays[:min(w.delayCount, probesPerWindow)])
	w.inFlight -= first.size
	w.rate.record(now, roundTrip, roundTrip, first.size, backlog)
	// An idle period alone must not lift the threshold: all links that wait for their turns
	// would double their windows and take the capacity that the active transfers were
	// admitted with.
	if w.lastDelay == 0 || now-w.lastDelay >= quietTimeouts*silenceTimeout {
		w.slowStartThreshold = maxWindow
	}
	delayRatio := float64(delay) / float64(silenceTimeout/delayDivisor)
	w.adjustWindow(delayRatio, float64(elapsed)/float64(silenceTimeout/delayDivisor), min(first.size, w.window), backlog)
	if delayRatio > 0.5 {
		w.lastDelay, w.slowStartThreshold = now, w.window
	}
	if !backlog || w.window >= first.size {
		return 0
	}
	return min(time.Duration(float64(roundTrip)*float64(first.size)/float64(w.window))-roundTrip, silenceTimeout)
}

// adjustWindow adjusts the window after size acknowledged bytes. delayRatio is the delay
// and elapsed the time since the previous acknowledgement, both relative to the tolerated
// delay. The window grows by elapsed time and shrinks by a fraction, so that links that
// share a bottleneck converge to equal windows; below slowStartThreshold it doubles.
func (w *congestion) adjustWindow(delayRatio, elapsed float64, size int, backlog bool) {
	switch {
	case delayRatio > 1:
		w.window -= int(float64(size) * min(delayRatio-1, 1) / 2)
	case !backlog:
		// Without queued bulk, the absence of a delay says nothing about capacity.
	case delayRatio > 0.5 || w.window >= w.slowStartThreshold:
		w.window += int(math.Ceil((1 - delayRatio) * windowIncrement * elapsed))
	default:
		w.window = min(w.window+size, w.slowStartThreshold)
	}
	w.window = max(minWindow, min(w.window, maxWindow))
}

// bulkBytes returns the number of queued bytes of bulk, reserved responses included.
func (q *queue) bulkBytes() int {
	total := q.lanes[LaneBulk].size + q.congestion.reserved
	if first := q.lanes[LaneBulk].first; first != nil {
		total -= first.offset
	}
	return total
}

// retryDelay returns the time after which there may be capacity again, when half of the
// backlog is delivered. It is spread by a quarter to either side, so that rejected callers
// do not all return at once. The link's lock is held.
func (l *link) retryDelay() time.Duration {
	half := l.estimatedWait(0) / 2
	return half*3/4 + time.Duration(rand.Int64N(int64(half)/2+1))
}
