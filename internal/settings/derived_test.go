package settings

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestConfirmationTTL checks for any bounds that a confirmation is valid for longer than it takes
// to detect the loss of the whole control plane: a heartbeat interval, a call without an answer and
// a round, counted from a confirmation that is one heartbeat old. A tenth of the bound on a change
// must be left for the delivery of a request.
func TestConfirmationTTL(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond
		}
		p := Settings{ConfigBound: draw("change", 500, 10000), ContactTime: draw("touch", 500, 10000), RecoveryBound: draw("return", 2000, 60000), CatchUpBound: draw("catch up", 1500, 30000)}
		if detection := 2*p.HeartbeatInterval() + 2*p.CallTimeout(); p.ConfirmationTTL() < detection {
			t.Errorf("a confirmation is valid for %v, the loss of the control plane is detected after %v", p.ConfirmationTTL(), detection)
		}
		if p.ConfirmationTTL() > p.ConfigBound*9/10 {
			t.Errorf("a confirmation is valid for %v, the bound on a change is %v", p.ConfirmationTTL(), p.ConfigBound)
		}
	})
}
