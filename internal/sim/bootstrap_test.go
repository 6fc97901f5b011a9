package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
)

// TestBootstrapAndServe checks that a fleet bootstraps, accepts a configuration and
// serves at least 99 in 100 requests.
func TestBootstrapAndServe(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		fleet := NewFleet(t, Fumettoteca(0.2), 1)
		fleet.Log = func(entry event.Entry) {
			if testing.Verbose() {
				t.Logf("%v %s %s %s", entry.Time.Format("05.000"), entry.Node, entry.Name, entry.Text)
			}
		}
		defer fleet.Stop()
		fleet.Start()
		waitForLoad := fleet.Load(fleet.Shape.Lines, 10*time.Second)
		waitForLoad()
		fleet.CheckInvariants()
		counts := fleet.Observer.Counts()
		if counts["done"] < counts["calls"]*99/100 || counts["calls"] < 1000 {
			t.Errorf("too few requests succeeded: %v", counts)
		}
	})
}
