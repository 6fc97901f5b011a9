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

// broken answers coordination calls with every promise broken: every lock is
// free, numbers and revisions repeat, keys read old, watches skip.
type broken struct {
	mu sync.Mutex
	n  int
}

func (b *broken) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.n++
	out := map[string]any{"fence": 1000 - b.n%7, "number": 1 + b.n%5, "rev": 10 + b.n%3}
	if strings.HasPrefix(r.URL.Path, "/puffin/watch") {
		out = map[string]any{"changes": []map[string]any{{"rev": 10}, {"rev": 10}}, "next": 50}
	} else if r.Method == "GET" {
		out["rev"] = 3
	}
	_ = json.NewEncoder(w).Encode(out)
}

// TestCoordCheckers: a core that breaks every promise is caught at each.
func TestCoordCheckers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := sim.NewNet(1, time.Millisecond, time.Millisecond)
		net.Place("h1", "x")
		net.Place("h2", "x")
		g := task.New(context.Background())
		e := env.Env{Net: net.Host("h1"), Log: event.New("h1", nil), WallClock: time.Now}
		if err := httpapi.Serve(g, e, "h1:1", &broken{}, time.Second); err != nil {
			t.Fatal(err)
		}
		o := standin.NewObserver()
		e.Net = net.Host("h2")
		c := standin.NewCoord(e, []string{"h1:1"}, o)
		c.Run(6, 60, 5*time.Second)
		g.Stop()
		bad, _ := o.Verdict()
		for _, k := range standin.CoordKinds {
			if bad[k] == 0 {
				t.Errorf("not caught: %s", k)
			}
		}
	})
}
