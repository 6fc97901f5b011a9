package settings

import (
	"time"

	"puffincrank/internal/schema"
)

// The ratios. Each is a part of a bound, and parts checks the sums.

// BaseInterval is what beats, leases and sessions are parts of: the bound on a change,
// or less where another bound needs them sooner. A deployment sets its bounds
// without a thought to each other; a node that called them at odds and did not
// start would break all of them.
func (p Settings) BaseInterval() time.Duration {
	pace := p.ConfigBound
	// A lost writer is missed and another one won, by the third to stand at the
	// latest, in two thirds of Touch. A vacant duty is noticed, voted on and taken
	// up within Return. A replacement, which may have to wait for a new writer,
	// ends within CatchUp. A bound that is not there yet limits nothing.
	for _, most := range []time.Duration{p.ContactTime * 4 / 3, p.RecoveryBound * 2 / 5, p.CatchUpBound * 5 / 8} {
		if most > 0 {
			pace = min(pace, most)
		}
	}
	return pace
}

// HeartbeatInterval is how often sessions, writers and duties are renewed.
func (p Settings) HeartbeatInterval() time.Duration { return p.BaseInterval() / 10 }

// GoodbyeTimeout is how long one goodbye may take at the end of a polite stop: a beat,
// and no more than what two of them leave of the grace.
func (p Settings) GoodbyeTimeout() time.Duration {
	return min(p.HeartbeatInterval(), p.GracePeriod/30)
}

// MaxIdleLinks is how many links to fellows are kept that aren't in use, 0 for any
// number: an eighth of the descriptors, as fellows keep as many to here, callers
// have three quarters and files and workers need some.
func (p Settings) MaxIdleLinks() int { return p.FileLimit / 8 }

// Lease is how long a duty stands without a beat.
func (p Settings) Lease() time.Duration { return p.BaseInterval() / 2 }

// LeaderTimeout is how long a writer may be mute before its duty counts as vacant:
// three beats, so that one late by a slow disk or a busy processor keeps it.
func (p Settings) LeaderTimeout() time.Duration { return p.BaseInterval() * 3 / 10 }

// CallTimeout is how long one inner call may take.
func (p Settings) CallTimeout() time.Duration { return p.BaseInterval() / 4 }

// ConfirmationTTL is how old a confirmed configuration may be before a node asks anew. It
// outlasts a beat's pause, a call that nobody answers and the round that finds
// the whole core gone, counted from a receipt that is a beat old; what is left of
// the bound is for the job's way.
func (p Settings) ConfirmationTTL() time.Duration { return p.BaseInterval() * 8 / 10 }

// PauseThreshold is a pause in the ticks that counts as having been frozen.
func (p Settings) PauseThreshold() time.Duration { return p.BaseInterval() / 4 }

// SessionTTL is how long a session stands without a beat.
func (p Settings) SessionTTL() time.Duration { return p.BaseInterval() }

// MaxAbsence is how long a node may be out of touch before its replica must be
// refilled rather than merged.
func (p Settings) MaxAbsence() time.Duration { return p.RetireAfter * 2 }

// TombstoneTTL is how long tombstones are kept: longer than any absence after which a
// replica may still merge.
func (p Settings) TombstoneTTL() time.Duration { return p.MaxAbsence() * 3 }

// RepairInterval is how often a replica compares digests with a fellow.
func (p Settings) RepairInterval() time.Duration { return p.RecoveryBound / 5 }

// WorkerHeartbeat is how often a worker should tell that it lives, or does so by its
// own plan.
func (p Settings) WorkerHeartbeat() time.Duration {
	if p.ConfiguredHeartbeat > 0 {
		return p.ConfiguredHeartbeat
	}
	return min(p.LeaveBound, p.RecoveryBound) / 8
}

// WorkerTimeout is how long a worker may be mute before it counts as down. One that
// beats by its own plan may be late by half a beat and miss one; where service
// must be back sooner than that and a beat, it may only be late.
func (p Settings) WorkerTimeout() time.Duration {
	if p.ConfiguredHeartbeat > 0 {
		late := p.ConfiguredHeartbeat*3/2 + p.CallTimeout()/2
		return max(late, min(late+p.ConfiguredHeartbeat, p.RecoveryBound-p.ConfiguredHeartbeat))
	}
	return min(p.LeaveBound, p.RecoveryBound) * 5 / 8
}

// MaxCallAge is how old an application's call may be when it is proposed. Its sender
// turns elsewhere after a silence, and what it does there must come after this
// call in the log, or this call must never be done. The rest of the silence is
// for the way to us and for a freeze that is too short to be noticed.
func (p Settings) MaxCallAge() time.Duration { return p.ClientTimeout * 5 / 8 }

// UnnoticedPause is the longest freeze between two ticks that goes unnoticed where calls
// are read, besides the tick itself.
func (p Settings) UnnoticedPause() time.Duration { return p.ClientTimeout / 16 }

// MaxSyncTime is the sync time over which a writer gives up its duty.
func (p Settings) MaxSyncTime() time.Duration { return p.BaseInterval() / 8 }

// The bound on the replicated state where neither memory nor disk is told, and the
// part of either that it may take where they are: a process that installs a
// snapshot holds it packed, opened and packed again for the disk, and a disk holds
// the old one, the new one and the room kept free for the next.
const (
	stateBytesUntold = 64 << 20
	statePart        = 8
)

// StateBytes bounds the replicated state, in bytes.
func (p Settings) StateBytes() int {
	if p.ConfiguredStateBytes > 0 {
		return p.ConfiguredStateBytes
	}
	bound := 0
	for _, told := range []int{p.MemoryBytes, p.DiskBytes} {
		if told > 0 && (bound == 0 || told/statePart < bound) {
			bound = told / statePart
		}
	}
	if bound == 0 {
		return stateBytesUntold
	}
	return bound
}

// derive fills in the bounds that follow from others when they were not given.
func (p *Settings) derive() {
	if p.ContactTime == 0 {
		p.ContactTime = max(3*time.Second, p.ConfigBound*3/2)
	}
	if p.CatchUpBound == 0 {
		// As long as a replacement was given, or ever took.
		if p.ReplaceAfter == 0 {
			p.ReplaceAfter = 8 * time.Second
		}
		if p.RetireAfter == 0 {
			p.RetireAfter = 10 * time.Second
		}
		p.CatchUpBound = p.ReplaceAfter * 3
	}
	if p.ReplaceAfter == 0 {
		// A lease and a beat pass before a mute store is more than late.
		p.ReplaceAfter = max(p.CatchUpBound/3, p.Lease()+p.HeartbeatInterval())
	}
	if p.RetireAfter == 0 {
		p.RetireAfter = max(p.CatchUpBound*5/12, p.SessionTTL()*2)
	}
}

func (p Settings) parts() []schema.Problem {
	var bad []schema.Problem
	say := func(place, wrong string) { bad = append(bad, schema.Problem{Place: place, Message: wrong}) }
	if p.WorkerTimeout() > p.RecoveryBound {
		say("beat_ms", "a beat that is late is missed after more than return_ms")
	}
	if p.RetireAfter < p.SessionTTL()*2 {
		say("retire_ms", "must be at least twice the time for which a session stands")
	}
	if p.ReplaceAfter < p.Lease()+p.HeartbeatInterval() {
		say("replace_ms", "must be at least a lease and a beat")
	}
	// Out of touch, then swapped by one version, which may have to wait for a
	// new writer.
	if p.ReplaceAfter+p.Lease()+p.CallTimeout()*2 > p.CatchUpBound {
		say("catch_up_ms", "replace_ms, a lease and two calls add up to more than the bound")
	}
	return bad
}
