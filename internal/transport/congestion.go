package transport

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	initialWindow   = maxChunk / 4      // bytes of bulk that may be under way at first
	minWindow       = minStep / 2       // and the fewest; below a step there are pauses
	minStep         = initialWindow / 4 // the shortest step
	windowIncrement = minStep / 4       // by so much a window grows in the time of a delay that is put up with
	maxWindow       = 64 * maxBatch
	delayDivisor    = 16 // the part of the patience by which bulk may hold up the rest
	probesPerWindow = 4  // marks to a window
	rateSmoothing   = 16 // a speed is smoothed over so many measurements
	staleTimeouts   = 4  // after so many patiences at rest a speed and a window say nothing any more
	quietTimeouts   = 16 // after so many patiences without a delay a window doubles again
)

// congestion bounds the bulk that is under way on a link, so that it waits here,
// where what is urgent passes it, and not in sockets and on the way. Behind
// some of it goes a mark, which is a ping: its receipt says that the fellow has
// read all before it, and how long that took. All that share a thin link see
// the same delay, so that each holds back. Guarded by the link's lock.
type congestion struct {
	enabled            bool
	window             int                            // bytes that may be under way
	lastDelay          time.Duration                  // when there was a delay last, 0: never
	slowStartThreshold int                            // the window after it: up to there it doubles
	hasTurn            bool                           // it has the turn among the links to its area
	awaitingTurn       bool                           // it waits for the turn
	paused             bool                           // a pause, so that less than a step is under way on average
	inFlight           int                            // bytes under way, as far as marks tell
	unprobed           int                            // the last of them, with no mark behind them yet
	probes             []probe                        // under way, in order
	minRoundTrip       time.Duration                  // the least time that a mark took
	oneWay             transitDelay                   // of the way there alone, where the fellow tells when a mark came
	delays             [probesPerWindow]time.Duration // what the last marks took beyond an empty link's time
	delayCount         int
	rate               rateEstimator
	reserved           int // bytes of answers that are still being worked out
}

// probe is a ping, a mark, under way behind some bytes of bulk.
type probe struct {
	id     uint64
	size   int
	sentAt time.Duration
}

// maySend tells whether bulk may go out now.
func (w *congestion) maySend() bool {
	return !w.enabled || w.hasTurn && !w.paused && w.inFlight < w.window
}

// probeInterval is how much lies between two marks.
func (w *congestion) probeInterval() int { return max(w.window/probesPerWindow, minStep) }

// limitChunk bounds one piece.
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

// probeDue tells whether a mark must follow what is under way. Several do before
// the window is full, so that bulk goes out evenly and never waits for nothing.
func (w *congestion) probeDue() bool {
	return w.enabled && w.unprobed > 0 && (w.unprobed >= w.probeInterval() || len(w.probes) == 0 && w.inFlight >= w.window)
}

// resumeFromIdle readies a link at rest for bulk that comes: what its window was says
// nothing of now.
func (w *congestion) resumeFromIdle(now, silenceTimeout time.Duration) {
	if len(w.probes) == 0 && now-w.rate.lastAck > staleTimeouts*silenceTimeout {
		w.window, w.delayCount = min(w.window, initialWindow), 0
		// The last bytes had no mark behind them; they are long there.
		w.inFlight, w.unprobed = 0, 0
	}
}

func (w *congestion) probeSent(id uint64, now time.Duration) {
	w.probes = append(w.probes, probe{id, w.unprobed, now})
	w.unprobed = 0
}

// matchProbe tells whether a receipt is a mark's. It says as much of the marks before
// it, should theirs not have come.
func (w *congestion) matchProbe(id uint64) bool {
	index := slices.IndexFunc(w.probes, func(m probe) bool { return m.id == id })
	for range index {
		w.probes[1].size += w.probes[0].size
		w.probes = w.probes[1:]
	}
	return index >= 0
}

// probeAcked takes in a mark's receipt. The window is set so that what is under way
// takes little longer than an empty link does. There is the fellow's time of
// the mark's coming, 0 for one that doesn't tell; by that a link that is full
// the other way isn't taken for one that is full this way. More tells that bulk
// waits. It gives how long bulk must pause, since less than a step may be under
// way.
func (w *congestion) probeAcked(now, arrived, silenceTimeout time.Duration, backlog bool) time.Duration {
	acked := w.probes[0]
	w.probes = w.probes[1:]
	roundTrip := max(now-acked.sentAt, time.Microsecond)
	elapsed := min(now-w.rate.lastAck, roundTrip)
	// The least rises slowly, else a link that became longer would stay thin.
	if w.minRoundTrip += (now - w.rate.lastAck) / clockDriftDivisor; w.rate.lastAck == 0 || roundTrip < w.minRoundTrip {
		w.minRoundTrip = roundTrip
	}
	delay := roundTrip - w.minRoundTrip
	if arrived > 0 {
		delay = w.oneWay.excess(acked.sentAt, arrived)
	}
	// Receipts that come in a bunch send the next bytes in one, which then wait
	// for each other: only what all of them met is others' delay.
	w.delays[w.delayCount%probesPerWindow] = delay
	w.delayCount++
	delay = slices.Min(w.delays[:min(w.delayCount, probesPerWindow)])
	w.inFlight -= acked.size
	w.rate.record(now, roundTrip, roundTrip, acked.size, backlog)
	// Not sooner, though the link rested: those that wait for their turns would
	// each double, and take from the ones that go what they were let in by.
	if w.lastDelay == 0 || now-w.lastDelay >= quietTimeouts*silenceTimeout {
		w.slowStartThreshold = maxWindow
	}
	delayRatio := float64(delay) / float64(silenceTimeout/delayDivisor)
	w.adjustWindow(delayRatio, float64(elapsed)/float64(silenceTimeout/delayDivisor), min(acked.size, w.window), backlog)
	if delayRatio > 0.5 {
		w.lastDelay, w.slowStartThreshold = now, w.window
	}
	if !backlog || w.window >= acked.size {
		return 0
	}
	return min(time.Duration(float64(roundTrip)*float64(acked.size)/float64(w.window))-roundTrip, silenceTimeout)
}

// adjustWindow sets the window anew after some bytes of it, by the delay as a ratio to
// what is put up with, and by the time since the last bytes, in the same. It
// grows by that time and shrinks by parts, so that links which share a thin one
// come to equal windows; it doubles up to the brink.
func (w *congestion) adjustWindow(delayRatio, elapsed float64, size int, backlog bool) {
	switch {
	case delayRatio > 1:
		w.window -= int(float64(size) * min(delayRatio-1, 1) / 2)
	case !backlog:
		// Without need it says nothing that there is no delay.
	case delayRatio > 0.5 || w.window >= w.slowStartThreshold:
		w.window += int(math.Ceil((1 - delayRatio) * windowIncrement * elapsed))
	default:
		w.window = min(w.window+size, w.slowStartThreshold)
	}
	w.window = max(minWindow, min(w.window, maxWindow))
}

// bulkBytes is how many bytes of bulk wait, with answers that will.
func (q *queue) bulkBytes() int {
	total := q.lanes[LaneBulk].size + q.congestion.reserved
	if first := q.lanes[LaneBulk].first; first != nil {
		total -= first.offset
	}
	return total
}

// retryDelay is when there may be room again: half of what waits is gone then. It is
// spread by a quarter to either side, so that a crowd doesn't come back as one.
// The link's lock is held.
func (l *link) retryDelay() time.Duration {
	half := l.estimatedWait(0) / 2
	return half*3/4 + time.Duration(rand.Int64N(int64(half)/2+1))
}
