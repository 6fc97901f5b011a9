package transport

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// TestLanes: whatever is pushed comes out whole and in order; the urgent lane
// goes first, but for the part of those below; within a lane all move on.
func TestLanes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue
		size := 0
		got := map[*queuedFrame][]byte{}
		want := map[*queuedFrame][]byte{}
		passed := map[int]int{}         // and of lower ones while it is the top
		since := map[int]int{}          // bytes of others since a lane that waits had its turn
		count := [laneCount]int{}       // how many wait in a lane
		turns := map[*queuedFrame]int{} // by which step of its lane it is taken again
		step := [laneCount]int{}
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				b := bytes.Repeat([]byte{byte(n)}, rapid.IntRange(0, 4*maxChunk).Draw(t, "size"))
				i := &queuedFrame{head: head{lane: rapid.IntRange(0, LaneBulk).Draw(t, "lane")}, body: &buffer{b}}
				q.push(i)
				size += i.cost()
				want[i] = b
				count[i.lane]++
				continue
			}
			// On a slow link the pieces are smaller, as it is at the time.
			cut := rapid.IntRange(minStep, maxChunk).Draw(t, "cut")
			i, n := q.takeChunk(cut)
			if i == nil {
				if size != 0 || q.totalSize != 0 || q.count != 0 {
					t.Fatalf("nothing is given, but %d wait", size)
				}
				continue
			}
			if n > cut {
				t.Fatalf("a piece of %d, %d asked", n, cut)
			}
			step[i.lane]++
			if by, ok := turns[i]; ok && step[i.lane] > by {
				t.Fatalf("an item waited for %d turns too many", step[i.lane]-by)
			}
			turns[i] = step[i.lane] + count[i.lane]
			top := true
			for l := range count {
				if l == i.lane || count[l] == 0 {
					since[l], passed[l] = 0, 0
					continue
				}
				since[l] += n + frameOverhead
				if passed[l] += n + frameOverhead; !top || l > i.lane {
					passed[l] = 0
				}
				top = false
				if since[l] > laneCount*(lowerLaneShare+1)*(maxChunk+frameOverhead) || passed[l] > maxChunk+frameOverhead {
					t.Fatalf("lane %d waited for %d bytes, %d of lower ones", l, since[l], passed[l])
				}
			}
			got[i] = append(got[i], i.body.b[i.offset-n:i.offset]...)
			if i.offset == len(i.body.b) {
				size -= i.cost()
				count[i.lane]--
				if !bytes.Equal(got[i], want[i]) {
					t.Fatal("a body came out changed")
				}
			}
		}
	})
}

// TestShare: bulk gets its part beside an endless stream of urgent frames, in
// pieces of any size.
func TestShare(t *testing.T) {
	for _, cut := range []int{minStep, maxChunk / 4, maxChunk} {
		var q queue
		q.push(&queuedFrame{head: head{lane: LaneBulk}, body: &buffer{make([]byte, 20*maxChunk)}})
		bulk, all := 0, 0
		for q.lanes[LaneBulk].first != nil && all < 400*maxChunk {
			q.push(&queuedFrame{head: head{lane: LaneRequests}, body: &buffer{make([]byte, 1000)}})
			i, n := q.takeChunk(cut)
			all += n
			if i.lane == LaneBulk {
				bulk += n
			}
		}
		if part := float64(bulk) / float64(all); q.lanes[LaneBulk].first != nil || part < 0.08 || part > 0.2 {
			t.Errorf("bulk in pieces of %d had %.3f of the link", cut, part)
		}
	}
}

// TestBound: what is less urgent takes no room from what is more, an empty
// lane takes one item of any size, and all together are bounded.
func TestBound(t *testing.T) {
	const frame = 400 * frameOverhead
	fill := func(lane, size int, q *queue) int {
		n := 0
		for ; n < 1000; n++ {
			i := &queuedFrame{head: head{lane: lane}, body: &buffer{make([]byte, size)}}
			if !q.fits(i, frame) {
				break
			}
			q.push(i)
		}
		return n
	}
	var q queue
	for lane := LaneBulk; lane >= 0; lane-- {
		if n := fill(lane, 0, &q); n != 100 {
			t.Errorf("%d in lane %d", n, lane)
		}
	}
	if q.totalSize > 2*frame {
		t.Errorf("%d wait, with a frame of %d", q.totalSize, frame)
	}
	q = queue{}
	fill(LaneControl, 0, &q)
	if n := fill(LaneBulk, 0, &q); n != 1 {
		t.Errorf("%d of bulk behind a full lane", n)
	}
	q = queue{}
	for lane := LaneBulk; lane >= LaneRequests; lane-- {
		fill(lane, frame-frameOverhead, &q)
	}
	if n := fill(LaneControl, 0, &q); q.totalSize > 2*frame || n < 50 {
		t.Errorf("%d wait, with a frame of %d; %d urgent ones fitted", q.totalSize, frame, n)
	}
}
