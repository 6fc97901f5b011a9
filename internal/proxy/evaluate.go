package proxy

import (
	"context"
	"time"

	"puffincrank/internal/protocol"
)

// extraAttempts is how many owners without room are passed over, beyond a path's tries.
const extraAttempts = 2

// evaluate decides what follows an attempt.
func (x *Proxy) evaluate(ctx context.Context, req *request) stepResult {
	// What came to no worker is no traffic there, and allows no repeats.
	if req.countedAsFirst && !req.result.ReachedWorker && req.result.Outcome != protocol.Done {
		x.retryBudget.RecordUndelivered(req.service, req.retryShare)
	}
	// The path's tries are workers; an owner that had no room may be passed
	// over besides, but not for ever.
	canRetry := req.reached < req.arm.Tries && req.attempts-req.noQueueAttempts < req.arm.Tries+extraAttempts && ctx.Err() == nil && time.Now().Before(req.deadline) && !x.isEnding()
	switch req.result.Outcome {
	case protocol.Done:
		// A worker that failed by itself may be alone in that; its own word is
		// kept for the case that no other does better.
		if req.result.Status >= 500 && req.arm.Repeatable && canRetry && x.retryBudget.MostlyUnused(req.service) {
			failed := req.result
			req.fallback = &failed
			return restart
		}
		return proceed
	case protocol.Refused:
		if req.noQueue && req.result.NoFreeSlot {
			return req.skipFullWorker()
		}
		// Certain that it did not run: another may have it.
		req.recordRefusal()
		if req.result.ConfigMismatch && canRetry {
			x.resolveMismatch(ctx, req)
		}
		if canRetry {
			return restart
		}
		return finish
	}
	if req.lost == nil {
		req.lost = &lostAttempt{AttemptResult: req.result, entry: req.entry}
		req.mayBorrowRetry = req.mayBorrowRetry || req.result.StoppingForMS > 0 || x.stopSchedule.Load() != nil
	}
	// It may have run, so only a path declared safe is tried again.
	if req.arm.Repeatable && canRetry {
		return restart
	}
	return finish
}
