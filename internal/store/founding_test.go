package store

import (
	"strings"
	"testing"
	"testing/synctest"

	"puffincrank/internal/fault"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/transport"
)

// TestBadFoundings: a founding whose members are doubled, of an even number, with
// a hole or without the receiver is refused by name, and the store stays empty.
func TestBadFoundings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := bare(t)
		defer s.Kill()
		me := statemachine.Member{ID: s.acc.Identity().ID, Addr: "me:1"}
		b, c, d := statemachine.Member{ID: "b", Addr: "b:1"}, statemachine.Member{ID: "c", Addr: "c:1"}, statemachine.Member{ID: "d", Addr: "d:1"}
		for _, bad := range []struct {
			name    string
			members []statemachine.Member
			fault   string
		}{
			{"none", nil, "not named"},
			{"others", []statemachine.Member{b, c, d}, "not named"},
			{"an identity twice", []statemachine.Member{me, b, {ID: "b", Addr: "x:1"}}, "twice"},
			{"an address twice", []statemachine.Member{me, b, {ID: "x", Addr: "b:1"}}, "twice"},
			{"an even number", []statemachine.Member{me, b, c, d}, "even number"},
			{"no identity", []statemachine.Member{me, b, {Addr: "c:1"}}, "without identity"},
			{"no address", []statemachine.Member{me, b, {ID: "c"}}, "without identity"},
		} {
			_, err := s.onGenesis(t.Context(), transport.Hello{}, genesis{Mesh: "m/1", Members: bad.members})
			if !fault.Is(err, fault.Refused) || !strings.Contains(err.Error(), bad.fault) || !s.empty() {
				t.Errorf("%s: %v", bad.name, err)
			}
		}
		if got, err := s.onGenesis(t.Context(), transport.Hello{}, genesis{Mesh: "m/1", Members: []statemachine.Member{b, me, c}}); err != nil || !got.Yes || s.empty() {
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
		var all []statemachine.Member
		for _, name := range strings.Split(c.found, "") {
			all = append(all, statemachine.Member{ID: name, Addr: name})
		}
		got := strings.Join(memberAddresses(founders(all, c.found[:1])), "")
		if got != c.want {
			t.Errorf("of %s found %s, not %s", c.found, got, c.want)
		}
		if len(all) != len(c.found) || strings.Join(memberAddresses(all), "") != c.found {
			t.Errorf("the list that was found was changed")
		}
	}
}
