package transport

import (
	"testing"
	"time"
)

// TestSilence checks the actions for a silent peer step by step.
func TestSilence(t *testing.T) {
	const silenceTimeout = 400 * time.Millisecond
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	type step struct {
		now, lastRead, pauseEnd int
		callsPending            bool
		want                    silenceAction
		due                     int
	}
	for name, steps := range map[string][]step{
		"dark": {{1000, 900, 0, true, actionNone, 1200}, {1200, 900, 0, true, actionPing, 1400}, {1300, 900, 0, true, actionNone, 1400},
			{1400, 900, 0, true, actionSuspect, 1600}, {1500, 900, 0, true, actionNone, 1600}, {1600, 900, 0, true, actionClose, 0}},
		"slow":            {{1200, 900, 0, true, actionPing, 1400}, {1400, 1201, 0, true, actionNone, 1401}, {1401, 1201, 0, true, actionPing, 1601}},
		"back from doubt": {{1200, 900, 0, true, actionPing, 1400}, {1400, 900, 0, true, actionSuspect, 1600}, {1600, 1500, 0, true, actionNone, 1700}, {1700, 1650, 0, false, actionIdle, 0}},
		"gave up":         {{1200, 900, 0, false, actionPing, 1400}, {1400, 1201, 0, false, actionIdle, 0}},
		"own freeze":      {{1200, 900, 0, true, actionPing, 1400}, {5000, 900, 5000, true, actionNone, 5200}, {5200, 900, 5000, true, actionPing, 5400}},
	} {
		peerSilence := silence{}
		peerSilence.callSent(ms(1000), ms(900))
		for i, step := range steps {
			if got, due := peerSilence.nextAction(ms(step.now), ms(step.lastRead), ms(step.pauseEnd), silenceTimeout, step.callsPending); got != step.want || due != ms(step.due) {
				t.Errorf("%s, step %d: action %v, next check at %v", name, i, got, due)
			}
		}
	}
}
