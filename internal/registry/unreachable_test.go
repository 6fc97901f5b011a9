package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/membership"
	"puffincrank/internal/settings"
	"puffincrank/internal/task"
)

// A control node that answers nothing for three heartbeats leaves the member list, while
// the sessions that it reported stay. One that answers or sends reports in between stays on
// the list, even if other messages are lost. One that sends reports again returns to the
// list.
func TestUnreachableNodeExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval = 200 * time.Millisecond
		peerMember := membership.Member{Node: "x", InternalAddr: "hx:1", Role: "registry"}
		newRegistry := func() (*Registry, *peerNode) {
			r := &Registry{Settings: settings.Settings{Node: "c", InternalAddr: "hc:1", ConfigBound: 10 * interval}, peerNodes: map[string]*peerNode{}, members: membership.NewTracker("c", 16)}
			peer := &peerNode{}
			peer.recordContact(peerMember)
			r.peerNodes["x"] = peer
			r.members.Set("x", peerMember)
			r.members.Set("x", membership.Member{Node: "p", Role: "proxy"})
			return r, peer
		}
		report := func(r *Registry, sentAt time.Time, answered bool) bool {
			r.recordAnswer("hx:1", sentAt, answered)
			r.dropUnreachable()
			return r.members.List().Has("x")
		}
		// wait lets some time pass and returns the send time of the next report.
		wait := func(d time.Duration) time.Time {
			task.Sleep(t.Context(), d)
			return time.Now()
		}
		r, peer := newRegistry()
		for i := range 5 {
			if listed := report(r, wait(interval), false); listed != (i < 3) {
				t.Errorf("on the list %v, %d heartbeats after the first unanswered report", listed, i)
			}
			if n := len(r.unreachablePeers()); n != 1 && i < 3 || n != 0 && i >= 3 {
				t.Errorf("%d unreachable peers after %d heartbeats", n, i)
			}
		}
		if !r.members.List().Has("p") {
			t.Error("the sessions that it reported were removed")
		}
		peer.recordContact(peerMember)
		r.members.Set("x", peerMember)
		if !report(r, wait(interval), true) {
			t.Error("it reported and answered, but is not on the list")
		}
		// It answers every third report.
		r, _ = newRegistry()
		for i := range 9 {
			if !report(r, wait(interval), i%3 == 2) {
				t.Errorf("off the list at %d although it answers every third report", i)
			}
		}
		// Its own reports arrive, its answers don't.
		r, peer = newRegistry()
		for i := range 9 {
			if i%3 == 2 {
				peer.recordContact(peerMember)
			}
			if !report(r, wait(interval), false) {
				t.Errorf("off the list at %d although it sends reports", i)
			}
		}
		// A report that timed out late was sent before one that was answered.
		r, _ = newRegistry()
		early := wait(interval)
		report(r, wait(interval), true)
		wait(4 * interval)
		if !report(r, early, false) || len(r.unreachablePeers()) != 0 {
			t.Error("an older report counts against a newer answer")
		}
	})
}
