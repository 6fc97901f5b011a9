package balancer

import (
	"math/rand/v2"
	"sort"
	"time"

	"puffincrank/internal/ormap"
)

// roster is a service's workers by area, made anew when its entries change. A
// job draws from it by place, so that it costs the same at any size.
type roster struct {
	first     *ormap.Entry // of the list that it was made from, which is never changed
	size      int
	near, far []seat
	ill       int // whose owners doubt them
	mid       float64
	load      float64   // of its workers, smoothed over receipts
	till      time.Time // how long the middle counts
}

// seat is one worker in a roster.
type seat struct {
	e      ormap.Entry
	m      *mate
	slots  float64
	doubts int // its owner's, from 0 to Worst
	keen   int // how many times as often it is probed
}

// roster finds the lists of a service, and makes them if its entries changed.
func (n *Balancer) roster(all []ormap.Entry) *roster {
	r := n.lists[all[0].Service]
	if r != nil && r.first == &all[0] && r.size == len(all) {
		return r
	}
	old := r
	r = &roster{first: &all[0], size: len(all)}
	if old != nil {
		r.load = old.load
	}
	was := map[string]int{}
	if old != nil {
		for _, list := range [][]seat{old.near, old.far} {
			for _, s := range list {
				was[s.e.Worker] = s.doubts
			}
		}
	}
	for _, e := range all {
		if e.Meta["state"] == "draining" {
			continue
		}
		s := seat{e: e, m: n.mate(e.Worker), slots: float64(Slots(e)), doubts: SuspicionLevel(e), keen: 1}
		s.m.slots = s.slots
		// One that is cold will be well in its time, whatever probes show.
		if s.doubts == 1 && e.Meta["cold"] == "" {
			s.keen = keen
		}
		if s.doubts > 0 {
			r.ill++
		} else if was[e.Worker] > 0 {
			// Its owner sees all its jobs and found it well: older marks against
			// it here would only be taken back one probe at a time.
			s.m.fail, s.m.late, s.m.pace, s.m.slow, s.m.count = 0, 0, 0, 0, 0
		}
		if e.Zone == n.area {
			r.near = append(r.near, s)
		} else {
			r.far = append(r.far, s)
		}
	}
	// Services of older configurations must not pile up.
	if len(n.lists) >= 4096 {
		clear(n.lists)
	}
	n.lists[all[0].Service] = r
	return r
}

// share is what is left of a seat's weight by its owner's doubts. Where more
// than a quarter of a service is doubted, it isn't the workers, and the others
// could not take the jobs of so many.
func (r *roster) share(s *seat, once bool) float64 {
	if s.doubts == 0 || r.ill > max(r.size/4, 1) {
		return 1
	}
	w := 0.5
	if s.doubts >= MaxSuspicion {
		w = 0.1
	}
	if once {
		w *= w
	}
	return w
}

// sampled is how many workers a middle is taken of, at the most.
const sampled = 32

// middle is the median latency of a service's workers, worked out anew a few
// times in a beat, over so many of them as say enough.
func (n *Balancer) middle(r *roster, now time.Time) float64 {
	if r.till.After(now) {
		return r.mid
	}
	var l []float64
	for _, list := range [][]seat{r.near, r.far} {
		step := max(len(list)/sampled, 1)
		for i := rand.IntN(step); i < len(list); i += step {
			if m := list[i].m; m.count >= least {
				l = append(l, m.slow)
			}
		}
	}
	r.mid = 0
	if len(l) > 0 {
		sort.Float64s(l)
		r.mid = l[(len(l)-1)/2]
	}
	r.till = now.Add(n.fresh / 4)
	return r.mid
}

// looks is how many workers of an area are weighed for one job. All of a small
// service; of a large one two at random already avoid the crowded.
const looks = 3

// draw takes a few of a list by place, those that can be asked; in a list with
// many that can't, fewer or none.
func (n *Balancer) draw(got []*seat, list []seat, w *PickRequest, now time.Time) []*seat {
	size, want := len(list), len(got)+looks
	if size == 0 {
		return got
	}
	if size <= 2*looks {
		// All of a small one, from a random place on.
		for i, at := 0, rand.IntN(size); i < size && len(got) < want; i++ {
			if s := &list[(at+i)%size]; n.asked(s, w, now) {
				got = append(got, s)
			}
		}
		return got
	}
	var been [4 * looks]int
	for i := 0; i < len(been) && len(got) < want; i++ {
		at, again := rand.IntN(size), false
		for _, o := range been[:i] {
			again = again || o == at+1
		}
		been[i] = at + 1
		if s := &list[at]; !again && n.asked(s, w, now) {
			got = append(got, s)
		}
	}
	return got
}

// asked tells whether a worker may be asked: not tried yet, and its owner within
// reach. Of others the entries stay until they are retired, and each try would
// cost a repeat.
func (n *Balancer) asked(s *seat, w *PickRequest, now time.Time) bool {
	if w.Tried[s.e.Worker] {
		return false
	}
	if len(n.shun) > 0 && now.Before(n.shun[s.e.Owner]) {
		return false
	}
	return n.here == nil || n.here(s.e.Owner)
}

// last looks through all, for when a draw found nobody: one that can be asked,
// else one that is out of reach.
func (n *Balancer) last(r *roster, w *PickRequest, now time.Time) *seat {
	var lost *seat
	for _, list := range [][]seat{r.near, r.far} {
		if len(list) == 0 {
			continue
		}
		for i, at := 0, rand.IntN(len(list)); i < len(list); i++ {
			s := &list[(at+i)%len(list)]
			if n.asked(s, w, now) {
				return s
			}
			if lost == nil && !w.Tried[s.e.Worker] {
				lost = s
			}
		}
	}
	return lost
}
