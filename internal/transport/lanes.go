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
	lanes        = LaneBulk + 1
)

const (
	piece = 16 << 10  // of a body, on a link that is slow less; another lane waits for one at most
	batch = 4 * piece // written at once
	share = 8         // one part in so many is kept for the lanes below
	toll  = 256       // what a frame takes besides its body
)

type laneKey struct{}

// WithLane makes calls and casts go by a lane; receipts come back on the same.
func WithLane(ctx context.Context, lane int) context.Context {
	return context.WithValue(ctx, laneKey{}, max(LaneControl, min(lane, LaneBulk)))
}

func laneOf(ctx context.Context) int {
	n, _ := ctx.Value(laneKey{}).(int)
	return n
}

// item is a frame that waits to be written, whole or in pieces.
type item struct {
	head
	of         string // what a receipt answers, for the counts
	body       *room
	born       time.Duration // when it came, if bulk
	soon       time.Duration // of a call: how long it may wait until it is out; 0: not bounded
	off        int           // bytes of the body that were taken
	turn       *turn         // of a call of ours
	vast       bool          // control over a piece, which takes turns with jobs
	end        time.Duration // of a receipt: when nobody waits for it any more; 0: not known
	prev, next *item
}

func (i *item) cost() int { return toll + i.body.size() }

// queue holds what waits on one link: a ring of items for each lane.
type queue struct {
	lane [lanes]struct {
		first, last *item
		size        int
	}
	vast int // the cost of large control
	size int // the cost of all that wait
	n    int // how many
	debt int // bytes written while lower lanes waited
	turn int // the lower lane that had its part last
	flow flow
}

// ready tells whether something of a lane may go out now.
func (q *queue) ready(lane int) bool {
	return q.lane[lane].first != nil && (lane != LaneBulk || q.flow.open())
}

// fits tells whether an item may wait. What is less urgent doesn't count
// against it, a lane with nothing in it takes one of any size, and all lanes
// together stay within twice the bound on a frame. Large control counts for
// itself: as long as it is on its way jobs must find room.
func (q *queue) fits(i *item, frame int) bool {
	before, none := i.cost(), q.lane[i.lane].first == nil
	for _, l := range q.lane[:i.lane+1] {
		before += l.size
	}
	if i.vast {
		before, none = i.cost()+q.vast, q.vast == 0
	}
	return (before <= frame/4 || none) && q.size+i.cost() <= frame+frame*(lanes-i.lane)/lanes
}

// sum is where the cost of an item is added up.
func (q *queue) sum(i *item) *int {
	if i.vast {
		return &q.vast
	}
	return &q.lane[i.lane].size
}

func (q *queue) push(i *item) {
	*q.sum(i) += i.cost()
	q.size += i.cost()
	q.n++
	q.append(i)
}

func (q *queue) append(i *item) {
	l := &q.lane[i.lane]
	if i.prev, i.next = l.last, nil; l.last != nil {
		l.last.next = i
	} else {
		l.first = i
	}
	l.last = i
}

func (q *queue) unlink(i *item) {
	l := &q.lane[i.lane]
	if i.prev != nil {
		i.prev.next = i.next
	} else {
		l.first = i.next
	}
	if i.next != nil {
		i.next.prev = i.prev
	} else {
		l.last = i.prev
	}
	i.prev, i.next = nil, nil
}

// drop takes an item out for good.
func (q *queue) drop(i *item) {
	q.unlink(i)
	*q.sum(i) -= i.cost()
	q.size -= i.cost()
	q.n--
}

// take gives the next item and how many bytes of its body go now; the body's
// rest waits behind the others of its lane, but bulk goes one body after the
// other: what was let in by the time that it would take must not be held up by
// what came later. Urgent lanes go first; while lower ones wait, one part in
// share is theirs, by turns. No more goes than cut; 0 takes bodies whole.
func (q *queue) take(cut int) (*item, int) {
	top, low := -1, -1
	for l := range q.lane {
		if q.ready(l) {
			top = l
			break
		}
	}
	if top < 0 {
		return nil, 0
	}
	for k := 1; k <= lanes; k++ {
		if l := (q.turn + k) % lanes; l > top && q.ready(l) {
			low = l
			break
		}
	}
	// Both sides of the share are counted in pieces as they are now.
	unit := piece
	if cut > 0 {
		unit = cut
	}
	pick := top
	switch {
	case low < 0:
		q.debt = 0
	case q.debt >= (share-1)*unit:
		pick, q.turn, q.debt = low, low, 0
	}
	i := q.lane[pick].first
	n := i.body.size() - i.off
	if cut > 0 {
		n = min(n, cut)
		if pick == LaneBulk {
			n = q.flow.cut(n)
		}
	}
	if low >= 0 && pick == top {
		q.debt += toll + n
	}
	switch i.off += n; {
	case i.off >= i.body.size():
		q.drop(i)
	case pick != LaneBulk:
		q.unlink(i)
		q.append(i)
	}
	return i, n
}

// calls lists the calls of ours that wait.
func (q *queue) calls() []*item {
	var all []*item
	for _, l := range q.lane {
		for i := l.first; i != nil; i = i.next {
			if i.turn != nil {
				all = append(all, i)
			}
		}
	}
	return all
}
