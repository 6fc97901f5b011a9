package admission

import (
	"math"
	"time"
)

// holdTimeSamples is over how many ended jobs a pace is smoothed: enough that one long
// job among short ones doesn't look like a slow worker, few enough that a
// worker's new speed shows within two or three rounds of its slots.
const holdTimeSamples = 32

// holdTime is how long a class's jobs hold a slot, smoothed.
type holdTime struct {
	meanMicros float64 // us
	samples    float64 // jobs, memory at the most
}

func (h *holdTime) add(held time.Duration) {
	h.samples = min(h.samples+1, holdTimeSamples)
	h.meanMicros += (float64(held.Microseconds()) - h.meanMicros) / h.samples
}

// holdMicros is the time in us that a job of a lot holds a slot, as far as is known
// at a moment. Ended jobs alone would say nothing of a worker that has come to
// a stop, so jobs inside count too once they are older than usual.
func (s *classState) holdMicros(nowMicros int64) float64 {
	if s.used == 0 {
		return s.holdTime.meanMicros
	}
	age := float64(nowMicros) - float64(s.startSum)/float64(s.used)
	if s.holdTime.samples == 0 {
		return age
	}
	// Of jobs of any one length the ages inside are half of it, of mixed ones
	// as much as the mean and more: only twice the mean is a sign.
	if excess := age - 2*s.holdTime.meanMicros; excess > 0 {
		return s.holdTime.meanMicros + excess*float64(s.used)/s.holdTime.samples
	}
	return s.holdTime.meanMicros
}

// estimateWait guesses how long it takes until a class's waiter with so many ahead of
// it has a slot: the turns that must come, by the pace at which they come.
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
	// Up to its share a class has whatever slot comes free; it divides those
	// only with others that lack as well.
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
		// Beyond that it has its part of what those who don't wait leave over,
		// and its own jobs' ends bring its turns.
		slotShare := float64(c.slots - settledUse)
		if guaranteedSum > 0 {
			slotShare *= float64(state.guaranteed) / float64(guaranteedSum)
		}
		waitMicros += turns * holdMicros / max(slotShare, 1)
	}
	return time.Duration(min(waitMicros*1e3, float64(time.Hour)))
}

// estimateWaitWithMargin is a hope with a margin. In a full room each one let in is the last that
// just fits, so by the mean alone every second one could be too late; the
// fewer turns there are, the further off is the mean of them.
func (c *Controller) estimateWaitWithMargin(state *classState, ahead int) time.Duration {
	return time.Duration(float64(c.estimateWait(state, ahead)) * (1 + 0.25/math.Sqrt(float64(ahead+1))))
}

// meanHoldMicros is the pace of the whole room, for a class that has none yet.
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

// EstimateWait guesses how long a new job of a class would wait now; 0 with a slot
// free or nothing known.
func (c *Controller) EstimateWait(class string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.classes[class]
	if state == nil || c.inUse < c.slots && state.waiting() == 0 {
		return 0
	}
	return c.estimateWait(state, state.waiting())
}

// EstimateDrain guesses when a class's queue will have let in all who wait now and one
// more, spread by a quarter to either side at random: a crowd that was turned away
// together must not come back as one.
func (c *Controller) EstimateDrain(class string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.classes[class]
	if state == nil {
		return 0
	}
	return time.Duration(float64(c.estimateWait(state, state.waiting())) * (3 + 2*c.random()) / 4)
}
