package admission

import (
	"math"
	"time"
)

// holdTimeSamples is the number of requests over which hold times are smoothed:
// enough that one long request among short ones does not look like a slow worker,
// and few enough that a change of the worker's speed shows after two or three
// rounds through its slots.
const holdTimeSamples = 32

// holdTime is the smoothed time for which a class's requests hold a slot.
type holdTime struct {
	meanMicros float64
	samples    float64 // at most holdTimeSamples
}

func (h *holdTime) add(held time.Duration) {
	h.samples = min(h.samples+1, holdTimeSamples)
	h.meanMicros += (float64(held.Microseconds()) - h.meanMicros) / h.samples
}

// holdMicros estimates how long a request of the class holds a slot, in
// microseconds. Ended requests alone do not reveal a worker that has stalled, so
// running requests count as well once they are older than usual.
func (s *classState) holdMicros(nowMicros int64) float64 {
	if s.used == 0 {
		return s.holdTime.meanMicros
	}
	age := float64(nowMicros) - float64(s.startSum)/float64(s.used)
	if s.holdTime.samples == 0 {
		return age
	}
	// The mean age of running requests is half their hold time if all take equally
	// long, and up to the mean hold time or more if they vary. Only an age beyond
	// twice the mean is therefore a sign of a stall.
	if excess := age - 2*s.holdTime.meanMicros; excess > 0 {
		return s.holdTime.meanMicros + excess*float64(s.used)/s.holdTime.samples
	}
	return s.holdTime.meanMicros
}

// estimateWait estimates how long a class's waiter with so many others ahead of it
// waits for a slot: the number of slots that must be assigned first, times the
// interval at which slots become free.
func (c *Controller) estimateWait(state *classState, ahead int) time.Duration {
	nowMicros := c.nowMicros()
	holdMicros := state.holdMicros(nowMicros)
	if holdMicros == 0 && state.holdTime.samples == 0 {
		holdMicros = c.meanHoldMicros(nowMicros)
	}
	if holdMicros == 0 {
		return 0
	}
	turns := float64(ahead + 1)
	// Up to its share a class gets every slot that becomes free, and competes only
	// with other waiting classes below their shares.
	deficit, othersDeficit, releaseRate := state.guaranteed-state.used, 0, 0.0
	guaranteedSum, settledUse := 0, 0
	for _, other := range c.classes {
		if other.used > 0 {
			if otherMicros := other.holdMicros(nowMicros); otherMicros > 0 {
				releaseRate += float64(other.used) / otherMicros
			}
		}
		switch {
		case other != state && other.waiting() == 0:
			settledUse += min(other.used, other.guaranteed)
			continue
		case other != state:
			othersDeficit += min(max(other.guaranteed-other.used, 0), other.waiting())
		}
		guaranteedSum += other.guaranteed
	}
	waitMicros := 0.0
	if deficit > 0 && releaseRate > 0 {
		guaranteedTurns := min(turns, float64(deficit))
		waitMicros += guaranteedTurns / releaseRate * float64(deficit+othersDeficit) / float64(deficit)
		turns -= guaranteedTurns
	}
	if turns > 0 {
		// Beyond its share it has a proportional part of the slots that classes
		// without waiters do not use, and gets a slot as its own requests end.
		slotShare := float64(c.slots - settledUse)
		if guaranteedSum > 0 {
			slotShare *= float64(state.guaranteed) / float64(guaranteedSum)
		}
		waitMicros += turns * holdMicros / max(slotShare, 1)
	}
	return time.Duration(min(waitMicros*1e3, float64(time.Hour)))
}

// estimateWaitWithMargin adds a safety margin to estimateWait. At saturation every
// admitted request is one that just fits, so by the mean alone every second one
// could be too late. The relative error of the mean grows as the number of slots to
// wait for falls, and so does the margin.
func (c *Controller) estimateWaitWithMargin(state *classState, ahead int) time.Duration {
	return time.Duration(float64(c.estimateWait(state, ahead)) * (1 + 0.25/math.Sqrt(float64(ahead+1))))
}

// meanHoldMicros is the mean hold time of all classes, for a class without samples.
func (c *Controller) meanHoldMicros(nowMicros int64) float64 {
	sum, weights := 0.0, 0.0
	for _, state := range c.classes {
		weight := max(state.holdTime.samples, float64(state.used))
		sum, weights = sum+weight*state.holdMicros(nowMicros), weights+weight
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// EstimateWait estimates how long a new request of a class would wait now. It
// returns 0 if a slot is free or nothing is known.
func (c *Controller) EstimateWait(class string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.classes[class]
	if state == nil || c.inUse < c.slots && state.waiting() == 0 {
		return 0
	}
	return c.estimateWait(state, state.waiting())
}

// EstimateDrain estimates when everyone now waiting in a class's queue, and one
// more, will have been admitted. The value is spread at random by up to a quarter
// in both directions, so that requests that were refused together are not retried
// together.
func (c *Controller) EstimateDrain(class string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.classes[class]
	if state == nil {
		return 0
	}
	return time.Duration(float64(c.estimateWait(state, state.waiting())) * (3 + 2*c.random()) / 4)
}
