package store

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/statemachine"
)

// TestLeavingMemberNotCounted: a member that has announced in a request or an
// ack that it stops does not count among those that hold what is chosen, until
// it runs again.
func TestLeavingMemberNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSingleStore(t)
		defer s.Kill()
		self := s.acceptor.Identity().ID
		s.state.Members = []statemachine.Member{{ID: self, Addr: "me:1"}, {ID: "b", Addr: "b:1"}, {ID: "c", Addr: "c:1"}}
		term := s.newLeadership(ballot.Number{Round: 1, Candidate: self})
		defer term.stop()
		count := func() int {
			term.mu.Lock()
			defer term.mu.Unlock()
			return term.countHolders(s.state.Members, 7)
		}
		term.recordContact(ack{ID: "b", Applied: 7})
		term.recordContact(ack{ID: "c", Applied: 6})
		if n := count(); n != 2 {
			t.Fatalf("%d members counted as holders", n)
		}
		term.recordLeaving("b")
		term.recordContact(ack{ID: "b", Applied: 8}) // sent before its announcement
		if n := count(); n != 1 {
			t.Errorf("%d members counted as holders, after one announced that it stops", n)
		}
		<-time.After(2 * s.Settings.Lease())
		term.recordContact(ack{ID: "b", Applied: 8, Leaving: true})
		if n := count(); n != 1 {
			t.Errorf("%d members counted as holders, while one announces in its acks that it stops", n)
		}
		<-time.After(2 * s.Settings.Lease())
		term.recordContact(ack{ID: "b", Applied: 8})
		if n := count(); n != 2 {
			t.Errorf("%d members counted as holders, after one runs again", n)
		}
	})
}
