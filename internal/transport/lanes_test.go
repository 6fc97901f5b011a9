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
		got := map[*item][]byte{}
		want := map[*item][]byte{}
		passed := map[int]int{}  // and of lower ones while it is the top
		since := map[int]int{}   // bytes of others since a lane that waits had its turn
		count := [lanes]int{}    // how many wait in a lane
		turns := map[*item]int{} // by which step of its lane it is taken again
		step := [lanes]int{}
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				b := bytes.Repeat([]byte{byte(n)}, rapid.IntRange(0, 4*piece).Draw(t, "size"))
				i := &item{head: head{lane: rapid.IntRange(0, LaneBulk).Draw(t, "lane")}, body: &room{b}}
				q.push(i)
				size += i.cost()
				want[i] = b
				count[i.lane]++
				continue
			}
			// On a slow link the pieces are smaller, as it is at the time.
			cut := rapid.IntRange(short, piece).Draw(t, "cut")
			i, n := q.take(cut)
			if i == nil {
				if size != 0 || q.size != 0 || q.n != 0 {
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
				since[l] += n + toll
				if passed[l] += n + toll; !top || l > i.lane {
					passed[l] = 0
				}
				top = false
				if since[l] > lanes*(share+1)*(piece+toll) || passed[l] > piece+toll {
					t.Fatalf("lane %d waited for %d bytes, %d of lower ones", l, since[l], passed[l])
				}
			}
			got[i] = append(got[i], i.body.b[i.off-n:i.off]...)
			if i.off == len(i.body.b) {
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
	for _, cut := range []int{short, piece / 4, piece} {
		var q queue
		q.push(&item{head: head{lane: LaneBulk}, body: &room{make([]byte, 20*piece)}})
		bulk, all := 0, 0
		for q.lane[LaneBulk].first != nil && all < 400*piece {
			q.push(&item{head: head{lane: LaneRequests}, body: &room{make([]byte, 1000)}})
			i, n := q.take(cut)
			all += n
			if i.lane == LaneBulk {
				bulk += n
			}
		}
		if part := float64(bulk) / float64(all); q.lane[LaneBulk].first != nil || part < 0.08 || part > 0.2 {
			t.Errorf("bulk in pieces of %d had %.3f of the link", cut, part)
		}
	}
}

// TestBound: what is less urgent takes no room from what is more, an empty
// lane takes one item of any size, and all together are bounded.
func TestBound(t *testing.T) {
	const frame = 400 * toll
	fill := func(lane, size int, q *queue) int {
		n := 0
		for ; n < 1000; n++ {
			i := &item{head: head{lane: lane}, body: &room{make([]byte, size)}}
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
	if q.size > 2*frame {
		t.Errorf("%d wait, with a frame of %d", q.size, frame)
	}
	q = queue{}
	fill(LaneControl, 0, &q)
	if n := fill(LaneBulk, 0, &q); n != 1 {
		t.Errorf("%d of bulk behind a full lane", n)
	}
	q = queue{}
	for lane := LaneBulk; lane >= LaneRequests; lane-- {
		fill(lane, frame-toll, &q)
	}
	if n := fill(LaneControl, 0, &q); q.size > 2*frame || n < 50 {
		t.Errorf("%d wait, with a frame of %d; %d urgent ones fitted", q.size, frame, n)
	}
}
