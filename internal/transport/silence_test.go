package transport

import (
	"testing"
	"time"
)

// TestSilence plays the steps of a silence by hand.
func TestSilence(t *testing.T) {
	const p = 400 * time.Millisecond
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	type turn struct {
		now, seen, thaw int
		waits           bool
		want            silenceAction
		due             int
	}
	for name, turns := range map[string][]turn{
		"dark": {{1000, 900, 0, true, actionNone, 1200}, {1200, 900, 0, true, actionPing, 1400}, {1300, 900, 0, true, actionNone, 1400},
			{1400, 900, 0, true, actionSuspect, 1600}, {1500, 900, 0, true, actionNone, 1600}, {1600, 900, 0, true, actionClose, 0}},
		"slow":            {{1200, 900, 0, true, actionPing, 1400}, {1400, 1201, 0, true, actionNone, 1401}, {1401, 1201, 0, true, actionPing, 1601}},
		"back from doubt": {{1200, 900, 0, true, actionPing, 1400}, {1400, 900, 0, true, actionSuspect, 1600}, {1600, 1500, 0, true, actionNone, 1700}, {1700, 1650, 0, false, actionIdle, 0}},
		"gave up":         {{1200, 900, 0, false, actionPing, 1400}, {1400, 1201, 0, false, actionIdle, 0}},
		"own freeze":      {{1200, 900, 0, true, actionPing, 1400}, {5000, 900, 5000, true, actionNone, 5200}, {5200, 900, 5000, true, actionPing, 5400}},
	} {
		h := silence{}
		h.callSent(ms(1000), ms(900))
		for i, u := range turns {
			if got, due := h.nextAction(ms(u.now), ms(u.seen), ms(u.thaw), p, u.waits); got != u.want || due != ms(u.due) {
				t.Errorf("%s, turn %d: %v until %v", name, i, got, due)
			}
		}
	}
}
