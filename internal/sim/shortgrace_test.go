package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// TestShortGrace: grace periods that are longer than, equal to and shorter than
// leave_ms, in which other nodes must notice that a worker left. Every program ends
// within its grace period, so that none is killed with calls in progress, and a call
// that waits for longer is answered.
func TestShortGrace(t *testing.T) {
	for _, c := range []struct{ leave, grace int }{{2000, 6000}, {4000, 4000}, {3000, 1500}} {
		t.Run(fmt.Sprint(c.leave, " ", c.grace), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := Fumettoteca(0.1)
				f := NewFleet(t, s, 75)
				f.Settings = map[string]any{"leave_ms": json.Number(fmt.Sprint(c.leave)), "grace_ms": json.Number(fmt.Sprint(c.grace))}
				defer f.Stop()
				f.Start()
				at := f.ControlMachines[0].Host + ":7003"
				if code, got := f.requestRaw("PUT", at, "/puffin/app/keys/g1.k", `{"value":"v"}`); code != 200 {
					t.Fatal(code, got)
				}
				// A call that waits for longer than any grace period.
				watched := make(chan int, 1)
				f.g.Go("watch", func(context.Context) {
					code, _ := f.requestRaw("GET", at, "/puffin/app/watch/g1.?after=1&wait_ms=14000", "")
					watched <- code
				})
				Wait(100 * time.Millisecond)
				for name, stop := range map[string]func(){"proxy": f.Nodes[0].Proxy.Stop, "registry": f.ControlMachines[0].Registry.Stop, "store": f.ControlMachines[1].Store.Stop} {
					start := time.Now()
					stop()
					if took := time.Since(start); took > time.Duration(c.grace)*time.Millisecond {
						t.Errorf("the graceful shutdown of the %s took %v", name, took)
					}
				}
				if code := <-watched; code == 0 {
					t.Error("the waiting call was cut off without an answer")
				}
			})
		})
	}
}

// TestShortGracePeriodWhilePartitioned: an ingress that is stopped has requests that
// run for longer than its grace period, and a partition keeps its leave messages from
// all peers. With a long heartbeat interval and a short grace period it still ends by
// itself before it would be killed.
func TestShortGracePeriodWhilePartitioned(t *testing.T) {
	for _, c := range []struct{ change, contact, grace int }{{2000, 3000, 6000}, {2000, 3000, 3500}, {6000, 5000, 3000}} {
		t.Run(fmt.Sprint(c.change, " ", c.grace), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := Fumettoteca(0.1)
				s.ServiceTimes["scans"] = 40 * time.Second
				s.Config = strings.ReplaceAll(s.Config, `"left_ms":1000`, `"left_ms":60000`)
				f := NewFleet(t, s, 76)
				f.Settings = map[string]any{"change_ms": json.Number(fmt.Sprint(c.change)), "touch_ms": json.Number(fmt.Sprint(c.contact)), "grace_ms": json.Number(fmt.Sprint(c.grace)), "catch_up_ms": json.Number("10000")}
				defer f.Stop()
				f.Start()
				n := f.Nodes[0]
				callers := standin.NewCallers(f.env("own", n.Host, n.Zone, &n.skew), []string{n.Host + ":8000"}, nil, 50*time.Second)
				for range 5 {
					f.g.Go("call", func(context.Context) { callers.CallAt(n.Host+":8000", s.Lines[2]) })
				}
				Wait(500 * time.Millisecond)
				grace := time.Duration(c.grace) * time.Millisecond
				f.g.Go("cut", func(context.Context) { Wait(grace * 7 / 10); f.Net.Isolate(n.Host, true) })
				start := time.Now()
				n.Proxy.Stop()
				if took := time.Since(start); took > grace {
					t.Errorf("the shutdown took %v", took)
				}
			})
		})
	}
}
