package store

import (
	"strings"
	"testing"
	"testing/synctest"

	"puffincrank/internal/fault"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/transport"
)

// TestInvalidFoundingsRefused: a founding whose members are doubled, of an even number, with
// a hole or without the receiver is refused by name, and the store stays empty.
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
			t.Errorf("a whole founding: %+v, %v", got, err)
		}
	})
}

// TestFounders: a cluster is founded by an odd number, or by two; the one left
// out is never the founder itself.
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
			t.Errorf("of %s found %s, not %s", c.found, got, c.want)
		}
		if len(candidates) != len(c.found) || strings.Join(memberAddresses(candidates), "") != c.found {
			t.Errorf("the list that was found was changed")
		}
	}
}
