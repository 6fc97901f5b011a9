package transport

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// TestLanes checks that everything queued is taken whole and in order, that the urgent
// lane goes first except for the share of the lanes below, and that all frames within a
// lane make progress.
func TestLanes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue
		size := 0
		got := map[*queuedFrame][]byte{}
		want := map[*queuedFrame][]byte{}
		lowerBytes := map[int]int{}        // bytes of less urgent lanes while a lane was the most urgent that waited
		waitedBytes := map[int]int{}       // bytes of other lanes since a waiting lane was served
		waiting := [laneCount]int{}        // how many frames wait in a lane
		nextStep := map[*queuedFrame]int{} // step of its lane by which a frame must be taken again
		laneSteps := [laneCount]int{}
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				body := bytes.Repeat([]byte{byte(n)}, rapid.IntRange(0, 4*maxChunk).Draw(t, "size"))
				queued := &queuedFrame{head: head{lane: rapid.IntRange(0, LaneBulk).Draw(t, "lane")}, body: &buffer{body}}
				q.push(queued)
				size += queued.cost()
				want[queued] = body
				waiting[queued.lane]++
				continue
			}
			// On a slow link chunks are smaller, depending on its current rate.
			maxSize := rapid.IntRange(minStep, maxChunk).Draw(t, "cut")
			queued, n := q.takeChunk(maxSize)
			if queued == nil {
				if size != 0 || q.totalSize != 0 || q.count != 0 {
					t.Fatalf("no frame was taken, but %d bytes are queued", size)
				}
				continue
			}
			if n > maxSize {
				t.Fatalf("chunk of %d bytes, limit %d", n, maxSize)
			}
			laneSteps[queued.lane]++
			if latest, ok := nextStep[queued]; ok && laneSteps[queued.lane] > latest {
				t.Fatalf("a frame waited for %d steps too many", laneSteps[queued.lane]-latest)
			}
			nextStep[queued] = laneSteps[queued.lane] + waiting[queued.lane]
			mostUrgent := true
			for l := range waiting {
				if l == queued.lane || waiting[l] == 0 {
					waitedBytes[l], lowerBytes[l] = 0, 0
					continue
				}
				waitedBytes[l] += n + frameOverhead
				if lowerBytes[l] += n + frameOverhead; !mostUrgent || l > queued.lane {
					lowerBytes[l] = 0
				}
				mostUrgent = false
				if waitedBytes[l] > laneCount*(lowerLaneShare+1)*(maxChunk+frameOverhead) || lowerBytes[l] > maxChunk+frameOverhead {
					t.Fatalf("lane %d waited for %d bytes, %d of them of less urgent lanes", l, waitedBytes[l], lowerBytes[l])
				}
			}
			got[queued] = append(got[queued], queued.body.b[queued.offset-n:queued.offset]...)
			if queued.offset == len(queued.body.b) {
				size -= queued.cost()
				waiting[queued.lane]--
				if !bytes.Equal(got[queued], want[queued]) {
					t.Fatal("a body was changed")
				}
			}
		}
	})
}

// TestLowerLaneShare checks that bulk gets its share beside an endless stream of urgent
// frames, with chunks of any size.
func TestLowerLaneShare(t *testing.T) {
	for _, maxSize := range []int{minStep, maxChunk / 4, maxChunk} {
		var q queue
		q.push(&queuedFrame{head: head{lane: LaneBulk}, body: &buffer{make([]byte, 20*maxChunk)}})
		bulk, total := 0, 0
		for q.lanes[LaneBulk].first != nil && total < 400*maxChunk {
			q.push(&queuedFrame{head: head{lane: LaneRequests}, body: &buffer{make([]byte, 1000)}})
			queued, n := q.takeChunk(maxSize)
			total += n
			if queued.lane == LaneBulk {
				bulk += n
			}
		}
		if fraction := float64(bulk) / float64(total); q.lanes[LaneBulk].first != nil || fraction < 0.08 || fraction > 0.2 {
			t.Errorf("bulk in chunks of %d bytes had a share of %.3f", maxSize, fraction)
		}
	}
}

// TestQueueBounds checks that less urgent frames take no capacity from more urgent ones,
// that an empty lane accepts one frame of any size, and that the whole queue is bounded.
func TestQueueBounds(t *testing.T) {
	const frameLimit = 400 * frameOverhead
	fill := func(lane, size int, q *queue) int {
		n := 0
		for ; n < 1000; n++ {
			queued := &queuedFrame{head: head{lane: lane}, body: &buffer{make([]byte, size)}}
			if !q.fits(queued, frameLimit) {
				break
			}
			q.push(queued)
		}
		return n
	}
	var q queue
	for lane := LaneBulk; lane >= 0; lane-- {
		if n := fill(lane, 0, &q); n != 100 {
			t.Errorf("%d frames fit in lane %d", n, lane)
		}
	}
	if q.totalSize > 2*frameLimit {
		t.Errorf("%d bytes are queued, with a frame limit of %d", q.totalSize, frameLimit)
	}
	q = queue{}
	fill(LaneControl, 0, &q)
	if n := fill(LaneBulk, 0, &q); n != 1 {
		t.Errorf("%d bulk frames fit behind a full lane", n)
	}
	q = queue{}
	for lane := LaneBulk; lane >= LaneRequests; lane-- {
		fill(lane, frameLimit-frameOverhead, &q)
	}
	if n := fill(LaneControl, 0, &q); q.totalSize > 2*frameLimit || n < 50 {
		t.Errorf("%d bytes are queued, with a frame limit of %d; %d urgent frames fit", q.totalSize, frameLimit, n)
	}
}
