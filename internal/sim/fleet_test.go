package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
)

// TestWholePath: the fleet founds itself, takes a configuration and serves.
func TestWholePath(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, Fumettoteca(0.2), 1)
		f.Log = func(e event.Entry) {
			if testing.Verbose() {
				t.Logf("%v %s %s %s", e.Time.Format("05.000"), e.Node, e.Name, e.Text)
			}
		}
		defer f.Stop()
		f.Start()
		wait := f.Load(f.S.Lines, 10*time.Second)
		wait()
		f.Judge()
		n := f.Obs.Counts()
		if n["done"] < n["calls"]*99/100 || n["calls"] < 1000 {
			t.Errorf("too few were done: %v", n)
		}
	})
}
