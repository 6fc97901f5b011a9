package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/membership"
	"puffincrank/internal/settings"
	"puffincrank/internal/task"
)

// TestLeftOut: a control node that answers nothing for three beats is off the list
// while the sessions that it told of stay; one that answers or speaks in between
// stays on it, whatever was lost on the way, and one that speaks again is back.
func TestLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const beat = 200 * time.Millisecond
		x := membership.Member{Node: "x", InternalAddr: "hx:1", Role: "registry"}
		make := func() (*Registry, *peerNode) {
			r := &Registry{Settings: settings.Settings{Node: "c", InternalAddr: "hc:1", ConfigBound: 10 * beat}, peerNodes: map[string]*peerNode{}, members: membership.NewTracker("c", 16)}
			o := &peerNode{}
			o.recordContact(x)
			r.peerNodes["x"] = o
			r.members.Set("x", x)
			r.members.Set("x", membership.Member{Node: "p", Role: "proxy"})
			return r, o
		}
		step := func(r *Registry, began time.Time, ok bool) bool {
			r.recordAnswer("hx:1", began, ok)
			r.dropUnreachable()
			return r.members.List().Has("x")
		}
		// pass lets a time go by before a word begins.
		pass := func(d time.Duration) time.Time {
			task.Sleep(t.Context(), d)
			return time.Now()
		}
		r, o := make()
		for i := range 5 {
			if on := step(r, pass(beat), false); on != (i < 3) {
				t.Errorf("on the list %v, %d beats after the first word without an answer", on, i)
			}
			if n := len(r.unreachablePeers()); n != 1 && i < 3 || n != 0 && i >= 3 {
				t.Errorf("%d asked at each beat after %d beats", n, i)
			}
		}
		if !r.members.List().Has("p") {
			t.Error("its sessions went with it")
		}
		o.recordContact(x)
		r.members.Set("x", x)
		if !step(r, pass(beat), true) {
			t.Error("it spoke and answered, and is not on the list")
		}
		// Answers in between.
		r, _ = make()
		for i := range 9 {
			if !step(r, pass(beat), i%3 == 2) {
				t.Errorf("off the list at %d though it answers now and then", i)
			}
		}
		// Its own words come, the answers don't.
		r, o = make()
		for i := range 9 {
			if i%3 == 2 {
				o.recordContact(x)
			}
			if !step(r, pass(beat), false) {
				t.Errorf("off the list at %d though it speaks", i)
			}
		}
		// A word that was given up late began before one that was answered.
		r, _ = make()
		early := pass(beat)
		step(r, pass(beat), true)
		pass(4 * beat)
		if !step(r, early, false) || len(r.unreachablePeers()) != 0 {
			t.Error("an old word counts against a newer answer")
		}
	})
}
