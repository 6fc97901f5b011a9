package transport

import (
	"context"
	"time"
)

// The lanes of a link, most urgent first: control traffic of the cluster, requests by
// rank, and bulk, which has no latency target.
const (
	LaneControl  = 0
	LaneRequests = 1 // the most urgent requests
	LaneBulk     = 7
	laneCount    = LaneBulk + 1
)

const (
	maxChunk       = 16 << 10     // largest chunk of a body, less on a slow link; another lane waits for one chunk at most
	maxBatch       = 4 * maxChunk // bytes written at once
	lowerLaneShare = 8            // one part in so many is kept for the lanes below
	frameOverhead  = 256          // bytes of a frame besides its body
)

type laneKey struct{}

// WithLane sets the lane of calls and one-way messages; responses use the same lane.
func WithLane(ctx context.Context, lane int) context.Context {
	return context.WithValue(ctx, laneKey{}, max(LaneControl, min(lane, LaneBulk)))
}

func contextLane(ctx context.Context) int {
	lane, _ := ctx.Value(laneKey{}).(int)
	return lane
}

// queuedFrame is a frame that waits to be written, whole or in chunks.
type queuedFrame struct {
	head
	responseTo   string // kind that a response answers, for the traffic counts
	body         *buffer
	queuedAt     time.Duration // when it was queued, if bulk
	sendWithin   time.Duration // of a call: how long it may wait until it is written; 0: no limit
	offset       int           // bytes of the body that were taken
	call         *pendingCall  // set if it is a call of this node
	largeControl bool          // control message larger than a chunk, scheduled with the requests
	expires      time.Duration // of a response: when its caller stops waiting; 0: unknown
	prev, next   *queuedFrame
}

func (i *queuedFrame) cost() int { return frameOverhead + i.body.size() }

// queue holds the frames that wait on one link, with a list for each lane.
type queue struct {
	lanes [laneCount]struct {
		first, last *queuedFrame
		size        int
	}
	largeControlSize int // size of the queued large control messages
	totalSize        int // size of all queued frames
	count            int // number of queued frames
	upperBytes       int // bytes written while lower lanes waited
	lastLowerLane    int // the lower lane that was served last
	congestion       congestion
}

// mayTake reports whether a frame of a lane may be sent now.
func (q *queue) mayTake(lane int) bool {
	return q.lanes[lane].first != nil && (lane != LaneBulk || q.congestion.maySend())
}

// fits reports whether a frame may be queued. Less urgent frames do not count against it,
// an empty lane accepts one frame of any size, and all lanes together stay within twice
// the frame limit. Large control messages are counted separately, so that requests find
// room while one is being sent.
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

// sizeCounter returns the counter that a frame's size is added to.
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

// remove takes a frame out of the queue for good.
func (q *queue) remove(queued *queuedFrame) {
	q.unlink(queued)
	*q.sizeCounter(queued) -= queued.cost()
	q.totalSize -= queued.cost()
	q.count--
}

// takeChunk returns the next frame and the number of bytes of its body to send now. The
// rest of the body is queued behind the other frames of its lane. Bulk is sent one body
// after the other, because later bodies must not delay one that was admitted with an
// estimated transfer time. Urgent lanes go first; while lower ones wait, one part in
// lowerLaneShare is theirs, in rotation. A chunk is at most maxSize bytes; with maxSize 0
// bodies are sent whole.
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
	// Both sides of the share are counted in chunks of the current size.
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

// waitingCalls returns this node's calls that are still in the queue.
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
