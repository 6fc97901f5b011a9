package sim

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/standin/actors"
)

// TestTrailOfSends: the event log and the trail of an owner show what it knew of
// its worker when it sent a request there: the worker's state, the call of the worker
// that set it, and the order of these steps. They also show when a caller left.
func TestTrailOfSends(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, readerDeployment(1, 0.12), 1)
		entries := map[string][]string{}
		s.Log = func(e event.Entry) {
			s.siteMu.Lock()
			entries[e.Name] = append(entries[e.Name], e.Node+" "+e.Text)
			s.siteMu.Unlock()
		}
		var steps []any
		callersLeft := 0.0
		s.runDay(9*time.Second, func() {
			for _, m := range s.machines {
				m.client.SetEarlyLeaveShare(0.5)
			}
			Wait(2 * time.Second)
			m := s.machines[0]
			m.worker.LeaveBy(context.Background(), actors.LeaveStyle{DeregistersFirst: true, HeartbeatDelay: time.Second})
			_, got := s.Get(m.Host+":7003", "/puffin/own/trail?of="+m.worker.Name)
			steps, _ = got["steps"].([]any)
			for _, m := range s.machines {
				_, status := s.Get(m.Host+":7003", "/puffin/own")
				n, _ := status["callers_left"].(float64)
				callersLeft += n
			}
		})
		gone := "to=gone call="
		if l := strings.Join(entries["worker-state"], "\n"); !strings.Contains(l, gone) || !strings.Contains(l, "step=") {
			t.Errorf("no event names the call by which the worker left: %s", l)
		}
		if len(entries["caller-left"]) == 0 || callersLeft == 0 {
			t.Errorf("%d caller-left events and a callers_left count of %v, want both above 0", len(entries["caller-left"]), callersLeft)
		}
		sent := 0
		last := 0.0
		for _, raw := range steps {
			step := raw.(map[string]any)
			seq := step["seq"].(float64)
			if seq <= last {
				t.Errorf("step %v after %v", seq, last)
			}
			last = seq
			if step["step"] != "sent" {
				continue
			}
			sent++
			since, known := step["since"].(float64)
			if !known || since >= seq || step["state"] == "" || step["call"].(float64) <= 0 || step["request"] == "" {
				t.Errorf("the trail entry of an attempt is incomplete: %v", step)
			}
		}
		if sent == 0 {
			t.Errorf("no attempt at the worker in %d steps of the trail", len(steps))
		}
	})
}
