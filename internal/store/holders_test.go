package store

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/statemachine"
)

// TestLeavingMemberNotCounted: a member that ends soon is not counted among those that
// hold what is chosen, by its question or by its acks, until it runs again.
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
			t.Fatalf("%d hold it", n)
		}
		term.recordLeaving("b")
		term.recordContact(ack{ID: "b", Applied: 8}) // sent before it knew
		if n := count(); n != 1 {
			t.Errorf("%d hold it, one of whom ends soon", n)
		}
		<-time.After(2 * s.Settings.Lease())
		term.recordContact(ack{ID: "b", Applied: 8, Leaving: true})
		if n := count(); n != 1 {
			t.Errorf("%d hold it, one of whom says that it ends", n)
		}
		<-time.After(2 * s.Settings.Lease())
		term.recordContact(ack{ID: "b", Applied: 8})
		if n := count(); n != 2 {
			t.Errorf("%d hold it, with one that runs again", n)
		}
	})
}
