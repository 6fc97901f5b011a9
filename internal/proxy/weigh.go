package proxy

import (
	"context"
	"time"

	"puffincrank/internal/protocol"
)

// spare is how many owners without room are passed over, beyond a path's tries.
const spare = 2

// weigh decides what follows an attempt.
func (x *Proxy) weigh(ctx context.Context, j *job) verb {
	// What came to no worker is no traffic there, and allows no repeats.
	if j.fresh && !j.back.ReachedWorker && j.back.Outcome != protocol.Done {
		x.again.RecordUndelivered(j.service, j.part)
	}
	// The path's tries are workers; an owner that had no room may be passed
	// over besides, but not for ever.
	more := j.came < j.arm.MaxAttempts && j.sends-j.rushes < j.arm.MaxAttempts+spare && ctx.Err() == nil && time.Now().Before(j.end) && !x.isEnding()
	switch j.back.Outcome {
	case protocol.Done:
		// A worker that failed by itself may be alone in that; its own word is
		// kept for the case that no other does better.
		if j.back.Status >= 500 && j.arm.Repeatable && more && x.again.MostlyUnused(j.service) {
			b := j.back
			j.spare = &b
			return back
		}
		return next
	case protocol.Refused:
		if j.rushing && j.back.NoFreeSlot {
			return j.rushed()
		}
		// Certain that it did not run: another may have it.
		j.refused()
		if j.back.ConfigMismatch && more {
			x.rematch(ctx, j)
		}
		if more {
			return back
		}
		return stop
	}
	if j.lost == nil {
		j.lost = &lostAttempt{AttemptResult: j.back, entry: j.entry}
		j.borrows = j.borrows || j.back.StoppingForMS > 0 || x.stop.Load() != nil
	}
	// It may have run, so only a path declared safe is tried again.
	if j.arm.Repeatable && more {
		return back
	}
	return stop
}
