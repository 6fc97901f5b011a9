package proxy

import (
	"context"
	"testing"
	"time"

	"puffincrank/internal/protocol"
	"puffincrank/internal/rules"
)

// TestRefusedLast: a caller is told what the worker that refused last named, and
// of one that named no time what was named before it.
func TestRefusedLast(t *testing.T) {
	x := &Proxy{}
	j := &job{arm: &rules.Arm{MaxAttempts: 1}, end: time.Now().Add(time.Hour)}
	for _, c := range []struct{ says, told int64 }{{4000, 4000}, {2500, 2500}, {0, 2500}, {3000, 3000}} {
		j.back = protocol.AttemptResult{Outcome: protocol.Refused, Reason: "queue full", RetryAfterMS: c.says}
		x.weigh(context.Background(), j)
		if got := j.come.Milliseconds(); got != c.told {
			t.Errorf("after a refusal for %d ms the caller is told %d", c.says, got)
		}
	}
}

// TestBoundRequeue: the first send has no bound of its own; later ones have what is left
// of half of the job's time, and then none waits at all.
func TestBoundRequeue(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		waited time.Duration
		stay   int64
		rush   bool
	}{{0, 0, false}, {time.Second, 3500, false}, {4 * time.Second, 500, false}, {4500 * time.Millisecond, 0, true}, {6 * time.Second, 0, true}} {
		j := &job{from: now, end: now.Add(9 * time.Second), waited: c.waited}
		var h protocol.AttemptRequest
		j.boundRequeue(&h)
		if h.QueueBudgetMS != c.stay || h.NoQueue != c.rush {
			t.Errorf("waited %v: %d ms, rush %v", c.waited, h.QueueBudgetMS, h.NoQueue)
		}
		// The owner keeps to it.
		x := &Proxy{}
		v := &visit{in: protocol.AttemptRequest{Route: "p", TargetMS: 9000, QueueBudgetMS: h.QueueBudgetMS}, end: now.Add(9 * time.Second), gate: newGate("w", "s", "", 1, time.Second)}
		if most := time.Duration(c.stay) * time.Millisecond; most > 0 && x.queueWait(v) > most {
			t.Errorf("it may wait %v, and waits %v", most, x.queueWait(v))
		}
	}
}
