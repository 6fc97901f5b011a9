package transport

import (
	"context"
	"time"
)

// The lanes of a link, urgent first: what holds the mesh together, jobs by
// rank, and what may take as long as it takes.
const (
	LaneControl  = 0
	LaneRequests = 1 // the most urgent of the jobs
	LaneBulk     = 7
	laneCount    = LaneBulk + 1
)

const (
	maxChunk       = 16 << 10     // of a body, on a link that is slow less; another lane waits for one at most
	maxBatch       = 4 * maxChunk // written at once
	lowerLaneShare = 8            // one part in so many is kept for the lanes below
	frameOverhead  = 256          // what a frame takes besides its body
)

type laneKey struct{}

// WithLane makes calls and casts go by a lane; receipts come back on the same.
func WithLane(ctx context.Context, lane int) context.Context {
	return context.WithValue(ctx, laneKey{}, max(LaneControl, min(lane, LaneBulk)))
}

func contextLane(ctx context.Context) int {
	lane, _ := ctx.Value(laneKey{}).(int)
	return lane
}

// queuedFrame is a frame that waits to be written, whole or in pieces.
type queuedFrame struct {
	head
	responseTo   string // what a receipt answers, for the counts
	body         *buffer
	queuedAt     time.Duration // when it came, if bulk
	sendWithin   time.Duration // of a call: how long it may wait until it is out; 0: not bounded
	offset       int           // bytes of the body that were taken
	call         *pendingCall  // of a call of ours
	largeControl bool          // control over a piece, which takes turns with jobs
	expires      time.Duration // of a receipt: when nobody waits for it any more; 0: not known
	prev, next   *queuedFrame
}

func (i *queuedFrame) cost() int { return frameOverhead + i.body.size() }

// queue holds what waits on one link: a ring of items for each lane.
type queue struct {
	lanes [laneCount]struct {
		first, last *queuedFrame
		size        int
	}
	largeControlSize int // the cost of large control
	totalSize        int // the cost of all that wait
	count            int // how many
	upperBytes       int // bytes written while lower lanes waited
	lastLowerLane    int // the lower lane that had its part last
	congestion       congestion
}

// mayTake tells whether something of a lane may go out now.
func (q *queue) mayTake(lane int) bool {
	return q.lanes[lane].first != nil && (lane != LaneBulk || q.congestion.maySend())
}

// fits tells whether an item may wait. What is less urgent doesn't count
// against it, a lane with nothing in it takes one of any size, and all lanes
// together stay within twice the bound on a frame. Large control counts for
// itself: as long as it is on its way jobs must find room.
func (q *queue) fits(queued *queuedFrame, frameLimit int) bool {
	ahead, empty := queued.cost(), q.lanes[queued.lane].first == nil
	for _, l := range q.lanes[:queued.lane+1] {
		ahead += l.size
	}
	if queued.largeControl {
		ahead, empty = queued.cost()+q.largeControlSize, q.largeControlSize == 0
	}
	return (ahead <= frameLimit/4 || empty) && q.totalSize+queued.cost() <= frameLimit+frameLimit*(laneCount-queued.lane)/laneCount
}

// sizeCounter is where the cost of an item is added up.
func (q *queue) sizeCounter(queued *queuedFrame) *int {
	if queued.largeControl {
		return &q.largeControlSize
	}
	return &q.lanes[queued.lane].size
}

func (q *queue) push(queued *queuedFrame) {
	*q.sizeCounter(queued) += queued.cost()
	q.totalSize += queued.cost()
	q.count++
	q.append(queued)
}

func (q *queue) append(queued *queuedFrame) {
	lane := &q.lanes[queued.lane]
	if queued.prev, queued.next = lane.last, nil; lane.last != nil {
		lane.last.next = queued
	} else {
		lane.first = queued
	}
	lane.last = queued
}

func (q *queue) unlink(queued *queuedFrame) {
	lane := &q.lanes[queued.lane]
	if queued.prev != nil {
		queued.prev.next = queued.next
	} else {
		lane.first = queued.next
	}
	if queued.next != nil {
		queued.next.prev = queued.prev
	} else {
		lane.last = queued.prev
	}
	queued.prev, queued.next = nil, nil
}

// remove takes an item out for good.
func (q *queue) remove(queued *queuedFrame) {
	q.unlink(queued)
	*q.sizeCounter(queued) -= queued.cost()
	q.totalSize -= queued.cost()
	q.count--
}

// takeChunk gives the next item and how many bytes of its body go now; the body's
// rest waits behind the others of its lane, but bulk goes one body after the
// other: what was let in by the time that it would take must not be held up by
// what came later. Urgent lanes go first; while lower ones wait, one part in
// share is theirs, by turns. No more goes than cut; 0 takes bodies whole.
func (q *queue) takeChunk(maxSize int) (*queuedFrame, int) {
	upper, lower := -1, -1
	for l := range q.lanes {
		if q.mayTake(l) {
			upper = l
			break
		}
	}
	if upper < 0 {
		return nil, 0
	}
	for k := 1; k <= laneCount; k++ {
		if l := (q.lastLowerLane + k) % laneCount; l > upper && q.mayTake(l) {
			lower = l
			break
		}
	}
	// Both sides of the share are counted in pieces as they are now.
	chunk := maxChunk
	if maxSize > 0 {
		chunk = maxSize
	}
	picked := upper
	switch {
	case lower < 0:
		q.upperBytes = 0
	case q.upperBytes >= (lowerLaneShare-1)*chunk:
		picked, q.lastLowerLane, q.upperBytes = lower, lower, 0
	}
	queued := q.lanes[picked].first
	n := queued.body.size() - queued.offset
	if maxSize > 0 {
		n = min(n, maxSize)
		if picked == LaneBulk {
			n = q.congestion.limitChunk(n)
		}
	}
	if lower >= 0 && picked == upper {
		q.upperBytes += frameOverhead + n
	}
	switch queued.offset += n; {
	case queued.offset >= queued.body.size():
		q.remove(queued)
	case picked != LaneBulk:
		q.unlink(queued)
		q.append(queued)
	}
	return queued, n
}

// waitingCalls lists the calls of ours that wait.
func (q *queue) waitingCalls() []*queuedFrame {
	var calls []*queuedFrame
	for _, l := range q.lanes {
		for i := l.first; i != nil; i = i.next {
			if i.call != nil {
				calls = append(calls, i)
			}
		}
	}
	return calls
}
