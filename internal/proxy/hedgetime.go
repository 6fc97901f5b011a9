package proxy

import "time"

// When a second attempt is begun, in usual times of such requests: beside a run that its
// node will end, when so much is left of it, and earlier if it has lasted for
// hedgeOverdue; and beside any run that has lasted for hedgeOverdueInStop, at a front
// that was told to end and still has hedgeLeast: what it waits for in vain is lost.
const (
	hedgeLatest        = 1.5
	hedgeEarliest      = 3
	hedgeOverdue       = 2
	hedgeOverdueInStop = 1.5
	hedgeLeast         = 0.75
)

// usualTimes is so many times what a request usually takes.
func usualTimes(n float64, usual time.Duration) time.Duration {
	return time.Duration(n * float64(usual))
}

// hedgeBeforeEnd is when a second attempt is begun beside a run that began at a time and
// that its node ends at another. A run that is not overdue most likely ends by itself
// before that; a second one needs its own time.
func hedgeBeforeEnd(startedAt, endsAt time.Time, usual time.Duration) time.Time {
	if usual <= 0 {
		return startedAt
	}
	at := endsAt.Add(-usualTimes(hedgeLatest, usual))
	if overdue := startedAt.Add(usualTimes(hedgeOverdue, usual)); overdue.Before(at) {
		at = overdue
	}
	if earliest := endsAt.Add(-usualTimes(hedgeEarliest, usual)); earliest.After(at) {
		at = earliest
	}
	return at
}

// hedgeInStop is when a second attempt is begun beside a run that is waited for until a
// time. One that is not overdue has as good a chance as another. False: not at all.
func hedgeInStop(startedAt, waitUntil time.Time, usual time.Duration) (at time.Time, ok bool) {
	at = startedAt.Add(usualTimes(hedgeOverdueInStop, usual))
	return at, usual > 0 && !at.After(waitUntil.Add(-usualTimes(hedgeLeast, usual)))
}
