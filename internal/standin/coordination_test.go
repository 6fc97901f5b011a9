package standin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/sim"
	"puffincrank/internal/standin"
	"puffincrank/internal/task"
)

// brokenNode breaks every guarantee for locks, numbers and keys: every lock is free, numbers
// and revisions repeat, reads are stale, watches skip changes.
type brokenNode struct {
	mu    sync.Mutex
	calls int
}

func (b *brokenNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls++
	answer := map[string]any{"fence": 1000 - b.calls%7, "number": 1 + b.calls%5, "rev": 10 + b.calls%3}
	if strings.HasPrefix(r.URL.Path, "/puffin/watch") {
		answer = map[string]any{"changes": []map[string]any{{"rev": 10}, {"rev": 10}}, "next": 50}
	} else if r.Method == "GET" {
		answer["rev"] = 3
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// TestCoordDetectsBrokenPromises checks that each violation by brokenNode is detected.
func TestCoordDetectsBrokenPromises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := sim.NewNet(1, time.Millisecond, time.Millisecond)
		net.SetZone("h1", "x")
		net.SetZone("h2", "x")
		tasks := task.New(context.Background())
		environment := env.Env{Net: net.Host("h1"), Log: event.New("h1", nil), WallClock: time.Now}
		if err := httpapi.Serve(tasks, environment, "h1:1", &brokenNode{}, time.Second); err != nil {
			t.Fatal(err)
		}
		observer := standin.NewObserver()
		environment.Net = net.Host("h2")
		coord := standin.NewCoordinationCallers(environment, []string{"h1:1"}, observer)
		coord.Run(6, 60, 5*time.Second)
		tasks.Stop()
		violations, _ := observer.Violations()
		for _, k := range standin.CoordinationViolations {
			if violations[k] == 0 {
				t.Errorf("violation was not detected: %s", k)
			}
		}
	})
}
