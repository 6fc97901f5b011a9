package settings

import (
	"time"

	"puffincrank/internal/schema"
)

// The ratios. Each is a part of a bound, and parts checks the sums.

// Pace is what beats, leases and sessions are parts of: the bound on a change,
// or less where another bound needs them sooner. A deployment sets its bounds
// without a thought to each other; a node that called them at odds and did not
// start would break all of them.
func (p Props) Pace() time.Duration {
	pace := p.Change
	// A lost writer is missed and another one won, by the third to stand at the
	// latest, in two thirds of Touch. A vacant duty is noticed, voted on and taken
	// up within Return. A replacement, which may have to wait for a new writer,
	// ends within CatchUp. A bound that is not there yet limits nothing.
	for _, most := range []time.Duration{p.Touch * 4 / 3, p.Return * 2 / 5, p.CatchUp * 5 / 8} {
		if most > 0 {
			pace = min(pace, most)
		}
	}
	return pace
}

// Beat is how often sessions, writers and duties are renewed.
func (p Props) Beat() time.Duration { return p.Pace() / 10 }

// Parting is how long one goodbye may take at the end of a polite stop: a beat,
// and no more than what two of them leave of the grace.
func (p Props) Parting() time.Duration { return min(p.Beat(), p.Grace/30) }

// Links is how many links to fellows are kept that aren't in use, 0 for any
// number: an eighth of the descriptors, as fellows keep as many to here, callers
// have three quarters and files and workers need some.
func (p Props) Links() int { return p.Files / 8 }

// Lease is how long a duty stands without a beat.
func (p Props) Lease() time.Duration { return p.Pace() / 2 }

// Vacant is how long a writer may be mute before its duty counts as vacant:
// three beats, so that one late by a slow disk or a busy processor keeps it.
func (p Props) Vacant() time.Duration { return p.Pace() * 3 / 10 }

// Patience is how long one inner call may take.
func (p Props) Patience() time.Duration { return p.Pace() / 4 }

// Fresh is how old a confirmed configuration may be before a node asks anew. It
// outlasts a beat's pause, a call that nobody answers and the round that finds
// the whole core gone, counted from a receipt that is a beat old; what is left of
// the bound is for the job's way.
func (p Props) Fresh() time.Duration { return p.Pace() * 8 / 10 }

// Gap is a pause in the ticks that counts as having been frozen.
func (p Props) Gap() time.Duration { return p.Pace() / 4 }

// Session is how long a session stands without a beat.
func (p Props) Session() time.Duration { return p.Pace() }

// Absent is how long a node may be out of touch before its replica must be
// refilled rather than merged.
func (p Props) Absent() time.Duration { return p.Retire * 2 }

// Bury is how long tombstones are kept: longer than any absence after which a
// replica may still merge.
func (p Props) Bury() time.Duration { return p.Absent() * 3 }

// Repair is how often a replica compares digests with a fellow.
func (p Props) Repair() time.Duration { return p.Return / 5 }

// WorkerBeat is how often a worker should tell that it lives, or does so by its
// own plan.
func (p Props) WorkerBeat() time.Duration {
	if p.Told > 0 {
		return p.Told
	}
	return min(p.Leave, p.Return) / 8
}

// Missed is how long a worker may be mute before it counts as down. One that
// beats by its own plan may be late by half a beat and miss one; where service
// must be back sooner than that and a beat, it may only be late.
func (p Props) Missed() time.Duration {
	if p.Told > 0 {
		late := p.Told*3/2 + p.Patience()/2
		return max(late, min(late+p.Told, p.Return-p.Told))
	}
	return min(p.Leave, p.Return) * 5 / 8
}

// Late is how old an application's call may be when it is proposed. Its sender
// turns elsewhere after a silence, and what it does there must come after this
// call in the log, or this call must never be done. The rest of the silence is
// for the way to us and for a freeze that is too short to be noticed.
func (p Props) Late() time.Duration { return p.Silence * 5 / 8 }

// Doze is the longest freeze between two ticks that goes unnoticed where calls
// are read, besides the tick itself.
func (p Props) Doze() time.Duration { return p.Silence / 16 }

// SlowSync is the sync time over which a writer gives up its duty.
func (p Props) SlowSync() time.Duration { return p.Pace() / 8 }

// The bound on the replicated state where neither memory nor disk is told, and the
// part of either that it may take where they are: a process that installs a
// snapshot holds it packed, opened and packed again for the disk, and a disk holds
// the old one, the new one and the room kept free for the next.
const (
	stateBytesUntold = 64 << 20
	statePart        = 8
)

// StateBytes bounds the replicated state, in bytes.
func (p Props) StateBytes() int {
	if p.State > 0 {
		return p.State
	}
	bound := 0
	for _, told := range []int{p.Memory, p.Disk} {
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
func (p *Props) derive() {
	if p.Touch == 0 {
		p.Touch = max(3*time.Second, p.Change*3/2)
	}
	if p.CatchUp == 0 {
		// As long as a replacement was given, or ever took.
		if p.Replace == 0 {
			p.Replace = 8 * time.Second
		}
		if p.Retire == 0 {
			p.Retire = 10 * time.Second
		}
		p.CatchUp = p.Replace * 3
	}
	if p.Replace == 0 {
		// A lease and a beat pass before a mute store is more than late.
		p.Replace = max(p.CatchUp/3, p.Lease()+p.Beat())
	}
	if p.Retire == 0 {
		p.Retire = max(p.CatchUp*5/12, p.Session()*2)
	}
}

func (p Props) parts() []schema.Fault {
	var bad []schema.Fault
	say := func(place, wrong string) { bad = append(bad, schema.Fault{Place: place, Wrong: wrong}) }
	if p.Missed() > p.Return {
		say("beat_ms", "a beat that is late is missed after more than return_ms")
	}
	if p.Retire < p.Session()*2 {
		say("retire_ms", "must be at least twice the time for which a session stands")
	}
	if p.Replace < p.Lease()+p.Beat() {
		say("replace_ms", "must be at least a lease and a beat")
	}
	// Out of touch, then swapped by one version, which may have to wait for a
	// new writer.
	if p.Replace+p.Lease()+p.Patience()*2 > p.CatchUp {
		say("catch_up_ms", "replace_ms, a lease and two calls add up to more than the bound")
	}
	return bad
}
