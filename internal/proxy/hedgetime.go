package proxy

import "time"

// When a second attempt starts, in multiples of the usual run time. Beside a run that its node
// will end: when hedgeLatest times are left before that end, or up to hedgeEarliest times
// before it if the run has lasted for hedgeOverdue. At an ingress that is shutting down: beside
// any run that has lasted for hedgeOverdueInStop, if at least hedgeLeast is left, since a run
// that it waits for in vain is lost.
const (
	hedgeLatest        = 1.5
	hedgeEarliest      = 3
	hedgeOverdue       = 2
	hedgeOverdueInStop = 1.5
	hedgeLeast         = 0.75
)

// usualTimes multiplies the usual run time.
func usualTimes(n float64, usual time.Duration) time.Duration {
	return time.Duration(n * float64(usual))
}

// hedgeBeforeEnd is when a second attempt starts beside a run that its node will end. A run
// that is not overdue most likely finishes before that; a second one needs its own time.
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

// hedgeInStop is when a second attempt starts beside a run that a stopping ingress waits for
// until a given time. A run that is not overdue has as good a chance as a second one. It
// returns false if none should start.
func hedgeInStop(startedAt, waitUntil time.Time, usual time.Duration) (at time.Time, ok bool) {
	at = startedAt.Add(usualTimes(hedgeOverdueInStop, usual))
	return at, usual > 0 && !at.After(waitUntil.Add(-usualTimes(hedgeLeast, usual)))
}
