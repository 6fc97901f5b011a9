package statemachine_test

import (
	"testing"

	"puffincrank/internal/ballot"
	"puffincrank/internal/statemachine"
)

// TestDutyFenced: what the holder of a role writes carries its ballot; one that
// was followed by another changes nothing, also after a snapshot.
func TestDutyFenced(t *testing.T) {
	s := statemachine.New("m", nil)
	old, now := ballot.Number{Round: 3, Candidate: "a"}, ballot.Number{Round: 4, Candidate: "b"}
	take(t, s, "config.number", &statemachine.SetNumberedConfig{Number: 1, Doc: []byte("{}")})
	take(t, s, "trial.propose", &statemachine.Propose{ID: 1, Base: 1, Doc: []byte("{}"), Routes: []string{"p"}})
	for i, c := range []struct {
		num  ballot.Number
		code string
	}{{old, statemachine.OK}, {old, statemachine.OK}, {now, statemachine.OK}, {old, statemachine.Fenced}, {now, statemachine.OK}} {
		if got := take(t, s, "duty.fence", &statemachine.FenceRole{Role: "judge", Ballot: c.num}); got.Code != c.code {
			t.Errorf("step %d: %+v", i, got)
		}
		s = reload(t, s)
	}
	decide := func(num ballot.Number) statemachine.Result {
		return take(t, s, "trial.decide", &statemachine.Decide{ID: 1, Ballot: num, Base: s.Config().Version, Doc: []byte("{}"), State: statemachine.HeldBack})
	}
	if got := decide(old); got.Code != statemachine.Fenced {
		t.Errorf("a former judge decided: %+v", got)
	}
	if got := decide(now); got.Code != statemachine.OK {
		t.Errorf("the judge could not decide: %+v", got)
	}
}
