package proxy

import (
	"context"
	"time"

	"puffincrank/internal/protocol"
)

// extraAttempts is how many owners without capacity may be tried beyond the route's limit of
// workers.
const extraAttempts = 2

// evaluate decides what follows an attempt.
func (x *Proxy) evaluate(ctx context.Context, req *request) stepResult {
	// What reached no worker is no traffic there and earns no retry budget.
	if req.countedAsFirst && !req.result.ReachedWorker && req.result.Outcome != protocol.Done {
		x.retryBudget.RecordUndelivered(req.service, req.retryShare)
	}
	// The route's limit counts workers. Owners without capacity may be tried besides, but only
	// a few.
	canRetry := req.reached < req.arm.MaxAttempts && req.attempts-req.noQueueAttempts < req.arm.MaxAttempts+extraAttempts && ctx.Err() == nil && time.Now().Before(req.deadline) && !x.isEnding()
	switch req.result.Outcome {
	case protocol.Done:
		// Only this worker may have failed; its response is kept in case no other worker does
		// better.
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
		// It certainly did not run, so another worker may run it.
		req.recordRefusal()
		if req.result.ConfigMismatch && canRetry && !x.resolveMismatch(ctx, req) {
			return finish
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
	// It may have run, so only a repeatable route is retried.
	if req.arm.Repeatable && canRetry {
		return restart
	}
	return finish
}
