package transport

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	start  = piece / 4 // bytes of bulk that may be under way at first
	least  = short / 2 // and the fewest; below a step there are pauses
	short  = start / 4 // the shortest step
	grow   = short / 4 // by so much a window grows in the time of a delay that is put up with
	widest = 64 * batch
	ease   = 16 // the part of the patience by which bulk may hold up the rest
	often  = 4  // marks to a window
	smooth = 16 // a speed is smoothed over so many measurements
	stale  = 4  // after so many patiences at rest a speed and a window say nothing any more
	lull   = 16 // after so many patiences without a delay a window doubles again
)

// flow bounds the bulk that is under way on a link, so that it waits here,
// where what is urgent passes it, and not in sockets and on the way. Behind
// some of it goes a mark, which is a ping: its receipt says that the fellow has
// read all before it, and how long that took. All that share a thin link see
// the same delay, so that each holds back. Guarded by the link's lock.
type flow struct {
	on     bool
	win    int                  // bytes that may be under way
	met    time.Duration        // when there was a delay last, 0: never
	brink  int                  // the window after it: up to there it doubles
	let    bool                 // it has the turn among the links to its area
	asks   bool                 // it waits for the turn
	rest   bool                 // a pause, so that less than a step is under way on average
	out    int                  // bytes under way, as far as marks tell
	bare   int                  // the last of them, with no mark behind them yet
	marks  []buoy               // under way, in order
	base   time.Duration        // the least time that a mark took
	age    age                  // of the way there alone, where the fellow tells when a mark came
	last   [often]time.Duration // what the last marks took beyond an empty link's time
	turn   int
	gauge  gauge
	booked int // bytes of answers that are still being worked out
}

// buoy is a ping, a mark, under way behind some bytes of bulk.
type buoy struct {
	id   uint64
	size int
	at   time.Duration
}

// open tells whether bulk may go out now.
func (w *flow) open() bool { return !w.on || w.let && !w.rest && w.out < w.win }

// step is how much lies between two marks.
func (w *flow) step() int { return max(w.win/often, short) }

// cut bounds one piece.
func (w *flow) cut(n int) int {
	if !w.on {
		return n
	}
	return min(n, w.step())
}

func (w *flow) went(n int) {
	w.out += n
	w.bare += n
}

// due tells whether a mark must follow what is under way. Several do before
// the window is full, so that bulk goes out evenly and never waits for nothing.
func (w *flow) due() bool {
	return w.on && w.bare > 0 && (w.bare >= w.step() || len(w.marks) == 0 && w.out >= w.win)
}

// wake readies a link at rest for bulk that comes: what its window was says
// nothing of now.
func (w *flow) wake(now, patience time.Duration) {
	if len(w.marks) == 0 && now-w.gauge.seen > stale*patience {
		w.win, w.turn = min(w.win, start), 0
		// The last bytes had no mark behind them; they are long there.
		w.out, w.bare = 0, 0
	}
}

func (w *flow) sent(id uint64, now time.Duration) {
	w.marks = append(w.marks, buoy{id, w.bare, now})
	w.bare = 0
}

// passed tells whether a receipt is a mark's. It says as much of the marks before
// it, should theirs not have come.
func (w *flow) passed(id uint64) bool {
	k := slices.IndexFunc(w.marks, func(m buoy) bool { return m.id == id })
	for range k {
		w.marks[1].size += w.marks[0].size
		w.marks = w.marks[1:]
	}
	return k >= 0
}

// acked takes in a mark's receipt. The window is set so that what is under way
// takes little longer than an empty link does. There is the fellow's time of
// the mark's coming, 0 for one that doesn't tell; by that a link that is full
// the other way isn't taken for one that is full this way. More tells that bulk
// waits. It gives how long bulk must pause, since less than a step may be under
// way.
func (w *flow) acked(now, there, patience time.Duration, more bool) time.Duration {
	m := w.marks[0]
	w.marks = w.marks[1:]
	took := max(now-m.at, time.Microsecond)
	since := min(now-w.gauge.seen, took)
	// The least rises slowly, else a link that became longer would stay thin.
	if w.base += (now - w.gauge.seen) / slack; w.gauge.seen == 0 || took < w.base {
		w.base = took
	}
	over := took - w.base
	if there > 0 {
		over = w.age.of(m.at, there)
	}
	// Receipts that come in a bunch send the next bytes in one, which then wait
	// for each other: only what all of them met is others' delay.
	w.last[w.turn%often] = over
	w.turn++
	over = slices.Min(w.last[:min(w.turn, often)])
	w.out -= m.size
	w.gauge.note(now, took, took, m.size, more)
	// Not sooner, though the link rested: those that wait for their turns would
	// each double, and take from the ones that go what they were let in by.
	if w.met == 0 || now-w.met >= lull*patience {
		w.brink = widest
	}
	late := float64(over) / float64(patience/ease)
	w.turns(late, float64(since)/float64(patience/ease), min(m.size, w.win), more)
	if late > 0.5 {
		w.met, w.brink = now, w.win
	}
	if !more || w.win >= m.size {
		return 0
	}
	return min(time.Duration(float64(took)*float64(m.size)/float64(w.win))-took, patience)
}

// turns sets the window anew after some bytes of it, by the delay as a ratio to
// what is put up with, and by the time since the last bytes, in the same. It
// grows by that time and shrinks by parts, so that links which share a thin one
// come to equal windows; it doubles up to the brink.
func (w *flow) turns(late, since float64, size int, more bool) {
	switch {
	case late > 1:
		w.win -= int(float64(size) * min(late-1, 1) / 2)
	case !more:
		// Without need it says nothing that there is no delay.
	case late > 0.5 || w.win >= w.brink:
		w.win += int(math.Ceil((1 - late) * grow * since))
	default:
		w.win = min(w.win+size, w.brink)
	}
	w.win = max(least, min(w.win, widest))
}

// waits is how many bytes of bulk wait, with answers that will.
func (q *queue) waits() int {
	n := q.lane[LaneBulk].size + q.flow.booked
	if i := q.lane[LaneBulk].first; i != nil {
		n -= i.off
	}
	return n
}

// come is when there may be room again: half of what waits is gone then. It is
// spread by a quarter to either side, so that a crowd doesn't come back as one.
// The link's lock is held.
func (l *link) come() time.Duration {
	t := l.hope(0) / 2
	return t*3/4 + time.Duration(rand.Int64N(int64(t)/2+1))
}
