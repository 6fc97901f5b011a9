package statemachine_test

import (
	"testing"

	"puffincrank/internal/ballot"
	"puffincrank/internal/statemachine"
)

// TestRoleFencing checks that a former holder of a role, whose commands carry a lower
// ballot than the current holder's, changes nothing. This also holds after the state
// was reloaded from a snapshot.
func TestRoleFencing(t *testing.T) {
	s := statemachine.New("m", nil)
	former, current := ballot.Number{Round: 3, Candidate: "a"}, ballot.Number{Round: 4, Candidate: "b"}
	apply(t, s, "config.number", &statemachine.SetNumberedConfig{Number: 1, Doc: []byte("{}")})
	apply(t, s, "trial.propose", &statemachine.Propose{ID: 1, Base: 1, Doc: []byte("{}"), Routes: []string{"p"}})
	for i, c := range []struct {
		number ballot.Number
		code   string
	}{{former, statemachine.OK}, {former, statemachine.OK}, {current, statemachine.OK}, {former, statemachine.Fenced}, {current, statemachine.OK}} {
		if got := apply(t, s, "duty.fence", &statemachine.FenceRole{Role: "judge", Ballot: c.number}); got.Code != c.code {
			t.Errorf("step %d: %+v", i, got)
		}
		s = reload(t, s)
	}
	decide := func(number ballot.Number) statemachine.Result {
		return apply(t, s, "trial.decide", &statemachine.Decide{ID: 1, Ballot: number, Base: s.Config().Version, Doc: []byte("{}"), State: statemachine.HeldBack})
	}
	if got := decide(former); got.Code != statemachine.Fenced {
		t.Errorf("a former judge decided: %+v", got)
	}
	if got := decide(current); got.Code != statemachine.OK {
		t.Errorf("the judge could not decide: %+v", got)
	}
}
