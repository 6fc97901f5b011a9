package ledger_test

import (
	"testing"

	"puffincrank/internal/ballot"
	"puffincrank/internal/ledger"
)

// TestDutyFenced: what the holder of a role writes carries its ballot; one that
// was followed by another changes nothing, also after a snapshot.
func TestDutyFenced(t *testing.T) {
	s := ledger.New("m", nil)
	old, now := ballot.Number{Round: 3, Candidate: "a"}, ballot.Number{Round: 4, Candidate: "b"}
	take(t, s, "config.number", &ledger.NumberConfig{Number: 1, Doc: []byte("{}")})
	take(t, s, "trial.propose", &ledger.Propose{ID: 1, Base: 1, Doc: []byte("{}"), Paths: []string{"p"}})
	for i, c := range []struct {
		num  ballot.Number
		code string
	}{{old, ledger.OK}, {old, ledger.OK}, {now, ledger.OK}, {old, ledger.Fenced}, {now, ledger.OK}} {
		if got := take(t, s, "duty.fence", &ledger.FenceDuty{Duty: "judge", Num: c.num}); got.Code != c.code {
			t.Errorf("step %d: %+v", i, got)
		}
		s = reload(t, s)
	}
	decide := func(num ballot.Number) ledger.Receipt {
		return take(t, s, "trial.decide", &ledger.Decide{ID: 1, Num: num, Base: s.Config().Version, Doc: []byte("{}"), State: ledger.Held})
	}
	if got := decide(old); got.Code != ledger.Fenced {
		t.Errorf("a former judge decided: %+v", got)
	}
	if got := decide(now); got.Code != ledger.OK {
		t.Errorf("the judge could not decide: %+v", got)
	}
}
