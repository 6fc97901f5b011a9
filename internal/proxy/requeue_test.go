package proxy

import (
	"context"
	"testing"
	"time"

	"puffincrank/internal/protocol"
	"puffincrank/internal/rules"
)

// TestRetryAfterOfLastRefusal checks that a caller gets the retry-after time of the last
// refusal, or of the one before if the last named none.
func TestRetryAfterOfLastRefusal(t *testing.T) {
	x := &Proxy{}
	req := &request{arm: &rules.Arm{MaxAttempts: 1}, deadline: time.Now().Add(time.Hour)}
	for _, c := range []struct{ retryAfterMS, wantMS int64 }{{4000, 4000}, {2500, 2500}, {0, 2500}, {3000, 3000}} {
		req.result = protocol.AttemptResult{Outcome: protocol.Refused, Reason: "queue full", RetryAfterMS: c.retryAfterMS}
		x.evaluate(context.Background(), req)
		if got := req.retryAfter.Milliseconds(); got != c.wantMS {
			t.Errorf("after a refusal with %d ms the caller is told %d ms", c.retryAfterMS, got)
		}
	}
}

// TestLimitRequeue checks that the first attempt's queue wait has no extra bound, that later
// ones share half of the request's time, and that after it none queues.
func TestLimitRequeue(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		undelivered time.Duration
		budgetMS    int64
		noQueue     bool
	}{{0, 0, false}, {time.Second, 3500, false}, {4 * time.Second, 500, false}, {4500 * time.Millisecond, 0, true}, {6 * time.Second, 0, true}} {
		req := &request{receivedAt: now, deadline: now.Add(9 * time.Second), undeliveredTime: c.undelivered}
		var out protocol.AttemptRequest
		req.limitRequeue(&out)
		if out.QueueBudgetMS != c.budgetMS || out.NoQueue != c.noQueue {
			t.Errorf("waited %v: budget %d ms, no queue %v", c.undelivered, out.QueueBudgetMS, out.NoQueue)
		}
		// The owner respects the bound.
		x := &Proxy{}
		attempt := &ownerAttempt{req: protocol.AttemptRequest{Route: "p", TargetMS: 9000, QueueBudgetMS: out.QueueBudgetMS}, deadline: now.Add(9 * time.Second), worker: newLocalWorker("w", "s", "", 1, time.Second)}
		if limit := time.Duration(c.budgetMS) * time.Millisecond; limit > 0 && x.queueWait(attempt) > limit {
			t.Errorf("queue wait bound %v, got %v", limit, x.queueWait(attempt))
		}
	}
}
