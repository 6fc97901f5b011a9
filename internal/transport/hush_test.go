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
		want            step
		due             int
	}
	for name, turns := range map[string][]turn{
		"dark": {{1000, 900, 0, true, still, 1200}, {1200, 900, 0, true, pinged, 1400}, {1300, 900, 0, true, still, 1400},
			{1400, 900, 0, true, doubts, 1600}, {1500, 900, 0, true, still, 1600}, {1600, 900, 0, true, dead, 0}},
		"slow":            {{1200, 900, 0, true, pinged, 1400}, {1400, 1201, 0, true, still, 1401}, {1401, 1201, 0, true, pinged, 1601}},
		"back from doubt": {{1200, 900, 0, true, pinged, 1400}, {1400, 900, 0, true, doubts, 1600}, {1600, 1500, 0, true, still, 1700}, {1700, 1650, 0, false, idle, 0}},
		"gave up":         {{1200, 900, 0, false, pinged, 1400}, {1400, 1201, 0, false, idle, 0}},
		"own freeze":      {{1200, 900, 0, true, pinged, 1400}, {5000, 900, 5000, true, still, 5200}, {5200, 900, 5000, true, pinged, 5400}},
	} {
		h := hush{}
		h.ask(ms(1000), ms(900))
		for i, u := range turns {
			if got, due := h.next(ms(u.now), ms(u.seen), ms(u.thaw), p, u.waits); got != u.want || due != ms(u.due) {
				t.Errorf("%s, turn %d: %v until %v", name, i, got, due)
			}
		}
	}
}
