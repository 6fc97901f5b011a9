package props

import (
	"time"

	"puffincrank/internal/settings"
)

// The ratios. Each is a part of a bound, and parts checks the sums.

// Beat is how often sessions, writers and duties are renewed.
func (p Props) Beat() time.Duration { return p.Change / 10 }

// Lease is how long a duty stands without a beat.
func (p Props) Lease() time.Duration { return p.Change / 2 }

// Patience is how long one inner call may take.
func (p Props) Patience() time.Duration { return p.Change / 4 }

// Fresh is how old a confirmed configuration may be before a node asks anew.
func (p Props) Fresh() time.Duration { return p.Change * 6 / 10 }

// Gap is a pause in the ticks that counts as having been frozen.
func (p Props) Gap() time.Duration { return p.Change / 4 }

// Session is how long a session stands without a beat.
func (p Props) Session() time.Duration { return p.Change }

// Absent is how long a node may be out of touch before its replica must be
// refilled rather than merged.
func (p Props) Absent() time.Duration { return p.Retire * 2 }

// Bury is how long tombstones are kept: longer than any absence after which a
// replica may still merge.
func (p Props) Bury() time.Duration { return p.Absent() * 3 }

// Repair is how often a replica compares digests with a fellow.
func (p Props) Repair() time.Duration { return p.Return / 5 }

// WorkerBeat is how often a worker should tell that it lives.
func (p Props) WorkerBeat() time.Duration { return p.Leave / 8 }

// Missed is how long a worker may be mute before it counts as down.
func (p Props) Missed() time.Duration { return p.Leave * 5 / 8 }

// SlowSync is the sync time over which a writer gives up its duty.
func (p Props) SlowSync() time.Duration { return p.Change / 8 }

func (p Props) parts() []settings.Fault {
	var bad []settings.Fault
	say := func(place, wrong string) { bad = append(bad, settings.Fault{Place: place, Wrong: wrong}) }
	if p.Fresh()+p.Patience()+p.Beat() > p.Change {
		say("change_ms", "confirmation, call and beat add up to more than the bound")
	}
	if p.Missed()+p.WorkerBeat() > p.Leave {
		say("leave_ms", "missed beats and a beat add up to more than the bound")
	}
	// A vacant duty is noticed, voted on and taken up within the return bound.
	if p.Lease()*3+p.Session() > p.Return {
		say("return_ms", "must be at least two and a half times change_ms")
	}
	if p.Retire < p.Session()*2 {
		say("retire_ms", "must be at least twice change_ms, which is how long a session stands")
	}
	if p.Replace < p.Lease()*3 {
		say("replace_ms", "must be at least one and a half times change_ms")
	}
	return bad
}
