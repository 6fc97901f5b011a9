package admission

import (
	"math"
	"time"
)

// memory is over how many ended jobs a pace is smoothed: enough that one long
// job among short ones doesn't look like a slow worker, few enough that a
// worker's new speed shows within two or three rounds of its slots.
const memory = 32

// pace is how long a class's jobs hold a slot, smoothed.
type pace struct {
	mean float64 // us
	seen float64 // jobs, memory at the most
}

func (p *pace) note(took time.Duration) {
	p.seen = min(p.seen+1, memory)
	p.mean += (float64(took.Microseconds()) - p.mean) / p.seen
}

// each is the time in us that a job of a lot holds a slot, as far as is known
// at a moment. Ended jobs alone would say nothing of a worker that has come to
// a stop, so jobs inside count too once they are older than usual.
func (l *lot) each(now int64) float64 {
	if l.used == 0 {
		return l.pace.mean
	}
	age := float64(now) - float64(l.starts)/float64(l.used)
	if l.pace.seen == 0 {
		return age
	}
	// Of jobs of any one length the ages inside are half of it, of mixed ones
	// as much as the mean and more: only twice the mean is a sign.
	if over := age - 2*l.pace.mean; over > 0 {
		return l.pace.mean + over*float64(l.used)/l.pace.seen
	}
	return l.pace.mean
}

// hope guesses how long it takes until a class's waiter with so many ahead of
// it has a slot: the turns that must come, by the pace at which they come.
func (r *Controller) hope(l *lot, ahead int) time.Duration {
	now := r.now()
	each := l.each(now)
	if each == 0 && l.pace.seen == 0 {
		each = r.mean(now)
	}
	if each == 0 {
		return 0
	}
	turns := float64(ahead + 1)
	// Up to its share a class has whatever slot comes free; it divides those
	// only with others that lack as well.
	lack, all, rate := l.floor-l.used, 0, 0.0
	floors, held := 0, 0
	for _, o := range r.lots {
		if o.used > 0 {
			if e := o.each(now); e > 0 {
				rate += float64(o.used) / e
			}
		}
		switch {
		case o != l && o.waits() == 0:
			held += min(o.used, o.floor)
			continue
		case o != l:
			all += min(max(o.floor-o.used, 0), o.waits())
		}
		floors += o.floor
	}
	wait := 0.0
	if lack > 0 && rate > 0 {
		fast := min(turns, float64(lack))
		wait += fast / rate * float64(lack+all) / float64(lack)
		turns -= fast
	}
	if turns > 0 {
		// Beyond that it has its part of what those who don't wait leave over,
		// and its own jobs' ends bring its turns.
		part := float64(r.slots - held)
		if floors > 0 {
			part *= float64(l.floor) / float64(floors)
		}
		wait += turns * each / max(part, 1)
	}
	return time.Duration(min(wait*1e3, float64(time.Hour)))
}

// fear is a hope with a margin. In a full room each one let in is the last that
// just fits, so by the mean alone every second one could be too late; the
// fewer turns there are, the further off is the mean of them.
func (r *Controller) fear(l *lot, ahead int) time.Duration {
	return time.Duration(float64(r.hope(l, ahead)) * (1 + 0.25/math.Sqrt(float64(ahead+1))))
}

// mean is the pace of the whole room, for a class that has none yet.
func (r *Controller) mean(now int64) float64 {
	sum, n := 0.0, 0.0
	for _, l := range r.lots {
		w := max(l.pace.seen, float64(l.used))
		sum, n = sum+w*l.each(now), n+w
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// EstimateWait guesses how long a new job of a class would wait now; 0 with a slot
// free or nothing known.
func (r *Controller) EstimateWait(class string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lots[class]
	if l == nil || r.total < r.slots && l.waits() == 0 {
		return 0
	}
	return r.hope(l, l.waits())
}

// EstimateDrain guesses when a class's queue will have let in all who wait now and one
// more, spread by a quarter to either side at random: a crowd that was turned away
// together must not come back as one.
func (r *Controller) EstimateDrain(class string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lots[class]
	if l == nil {
		return 0
	}
	return time.Duration(float64(r.hope(l, l.waits())) * (3 + 2*r.dice()) / 4)
}
