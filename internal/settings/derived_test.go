package settings

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFresh: whatever the bounds, a word on the configuration outlasts what it
// takes to find the whole core gone (a beat's pause, a call that nobody answers
// and a round, of a word that is a beat old), and a tenth of the bound on a change
// is left for a job's way.
func TestFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond
		}
		p := Settings{ConfigBound: draw("change", 500, 10000), ContactTime: draw("touch", 500, 10000), RecoveryBound: draw("return", 2000, 60000), CatchUpBound: draw("catch up", 1500, 30000)}
		if gone := 2*p.HeartbeatInterval() + 2*p.CallTimeout(); p.ConfirmationTTL() < gone {
			t.Errorf("a word counts for %v, the core's end is found after %v", p.ConfirmationTTL(), gone)
		}
		if p.ConfirmationTTL() > p.ConfigBound*9/10 {
			t.Errorf("a word counts for %v, a change for %v", p.ConfirmationTTL(), p.ConfigBound)
		}
	})
}
