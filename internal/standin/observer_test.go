package standin

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestCheckers: each checker catches a deliberate fault, and a clean run gives
// no count at all.
func TestCheckers(t *testing.T) {
	now := time.Now
	done := func(o *Observer, id string, v uint64) Call {
		return Call{ID: id, Front: "f", Service: "s", From: now(), To: now(), Status: 200, Version: v, Body: "s|w|job|" + id + "|0"}
	}
	w := &Worker{Service: "s", ID: "w"}
	for _, c := range []struct {
		kind string
		do   func(o *Observer)
	}{
		{"", func(o *Observer) {
			for i := range 40 {
				id := fmt.Sprint("ok", i)
				o.ran("j", id, w, "s", time.Time{})
				o.Saw(done(o, id, 1))
			}
		}},
		{Twice, func(o *Observer) {
			o.ran("j", "a", w, "s", time.Time{})
			o.ran("j", "a", w, "s", time.Time{})
			o.Saw(done(o, "a", 1))
		}},
		{BusyRan, func(o *Observer) {
			o.ran("j", "a", w, "s", time.Time{})
			o.Saw(Call{ID: "a", Status: 503})
		}},
		{NotWhole, func(o *Observer) {
			o.ran("j", "a", w, "s", time.Time{})
			c := done(o, "a", 1)
			c.Body = "s|w|job|b|0"
			o.Saw(c)
		}},
		{NotWhole, func(o *Observer) { o.Saw(done(o, "never ran", 1)) }},
		{Stranger, func(o *Observer) { o.ran("j", "a", w, "other", time.Time{}) }},
		{Leaving, func(o *Observer) { o.ran("j", "a", w, "s", now().Add(-3*time.Second)) }},
		{OldRules, func(o *Observer) {
			o.Acked(2)
			<-time.After(3 * time.Second)
			o.ran("j", "a", w, "s", time.Time{})
			o.Saw(done(o, "a", 1))
		}},
		{StepBack, func(o *Observer) {
			for i, v := range []uint64{2, 1} {
				id := fmt.Sprint(i)
				o.ran("j", id, w, "s", time.Time{})
				o.Saw(done(o, id, v))
				<-time.After(time.Millisecond)
			}
		}},
		{Repeats, func(o *Observer) {
			for range 13 {
				o.ran("j", "a", w, "s", time.Time{})
			}
		}},
		{CutOff, func(o *Observer) {
			o.ran("j", "a", w, "s", time.Time{})
			c := done(o, "a", 1)
			c.Status, c.Cut = 500, true
			o.Saw(c)
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			o := NewObserver()
			c.do(o)
			bad, _ := o.Verdict()
			if c.kind == "" && len(bad) > 0 {
				t.Errorf("a clean run is blamed: %v", bad)
			}
			if c.kind != "" && bad[c.kind] == 0 {
				t.Errorf("not caught: %s (%v)", c.kind, bad)
			}
		})
	}
}
