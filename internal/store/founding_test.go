package store

import (
	"strings"
	"testing"
	"testing/synctest"

	"puffincrank/internal/fault"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/transport"
)

// TestInvalidFoundingsRefused: a founding with a duplicate member, an even
// number of members, a member without identity or address, or without the
// receiver is refused with its reason, and the store stays empty.
func TestInvalidFoundingsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newEmptyStore(t)
		defer s.Kill()
		self := statemachine.Member{ID: s.acceptor.Identity().ID, Addr: "me:1"}
		b, c, d := statemachine.Member{ID: "b", Addr: "b:1"}, statemachine.Member{ID: "c", Addr: "c:1"}, statemachine.Member{ID: "d", Addr: "d:1"}
		for _, c := range []struct {
			name    string
			members []statemachine.Member
			fault   string
		}{
			{"none", nil, "not named"},
			{"others", []statemachine.Member{b, c, d}, "not named"},
			{"an identity twice", []statemachine.Member{self, b, {ID: "b", Addr: "x:1"}}, "twice"},
			{"an address twice", []statemachine.Member{self, b, {ID: "x", Addr: "b:1"}}, "twice"},
			{"an even number", []statemachine.Member{self, b, c, d}, "even number"},
			{"no identity", []statemachine.Member{self, b, {Addr: "c:1"}}, "without identity"},
			{"no address", []statemachine.Member{self, b, {ID: "c"}}, "without identity"},
		} {
			_, err := s.onGenesis(t.Context(), transport.Hello{}, genesis{ClusterID: "m/1", Members: c.members})
			if !fault.Is(err, fault.Refused) || !strings.Contains(err.Error(), c.fault) || !s.isEmpty() {
				t.Errorf("%s: %v", c.name, err)
			}
		}
		if got, err := s.onGenesis(t.Context(), transport.Hello{}, genesis{ClusterID: "m/1", Members: []statemachine.Member{b, self, c}}); err != nil || !got.OK || s.isEmpty() {
			t.Errorf("a valid founding: %+v, %v", got, err)
		}
	})
}

// TestFounders: a cluster is founded by an odd number of stores, or by two;
// the one left out is never the founder itself.
func TestFounders(t *testing.T) {
	for _, c := range []struct{ found, want string }{
		{"a", "a"}, {"ab", "ab"}, {"abc", "abc"}, {"badc", "bac"}, {"zabc", "zab"}, {"abcdef", "abcde"},
	} {
		var candidates []statemachine.Member
		for _, name := range strings.Split(c.found, "") {
			candidates = append(candidates, statemachine.Member{ID: name, Addr: name})
		}
		got := strings.Join(memberAddresses(founders(candidates, c.found[:1])), "")
		if got != c.want {
			t.Errorf("of the candidates %s, the founders are %s, want %s", c.found, got, c.want)
		}
		if len(candidates) != len(c.found) || strings.Join(memberAddresses(candidates), "") != c.found {
			t.Errorf("the list of candidates was changed")
		}
	}
}
