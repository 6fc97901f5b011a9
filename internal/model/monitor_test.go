package model

import (
	"strings"
	"testing"

	"puffincrank/internal/ballot"
	"puffincrank/internal/trace"
)

var (
	one = ballot.Number{Round: 1, Candidate: "a"}
	two = ballot.Number{Round: 2, Candidate: "b"}
	abc = []string{"a", "b", "c"}
	abd = []string{"a", "b", "d"}
)

// founded are the steps that lead to a leader of three.
func founded() []trace.Step {
	return []trace.Step{
		trace.Installed{Replica: "a", Members: abc}, trace.Installed{Replica: "b", Members: abc}, trace.Installed{Replica: "c", Members: abc},
		trace.Promised{Replica: "a", Ballot: one}, trace.Promised{Replica: "b", Ballot: one},
		trace.Elected{Replica: "a", Ballot: one, Voters: []string{"a", "b"}, Members: abc},
	}
}

// decided are the steps by which a slot is chosen by two and applied by the leader.
func decided(slot uint64, sum string, acceptors []string, after []string) []trace.Step {
	out := []trace.Step{trace.Proposed{Replica: "a", Ballot: one, Index: slot, Digest: sum}}
	for _, id := range acceptors {
		out = append(out, trace.Accepted{Replica: id, Ballot: one, Index: slot, Digest: sum})
	}
	return append(out, trace.Chosen{Replica: "a", Ballot: one, Index: slot, Digest: sum, Acceptors: acceptors},
		trace.Applied{Replica: "a", Index: slot, Digest: sum, Members: after})
}

func row(parts ...[]trace.Step) (out []trace.Step) {
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

// TestMonitor: the monitor allows what the rules allow, and names each breach.
func TestMonitor(t *testing.T) {
	ab := []string{"a", "b"}
	for _, c := range []struct {
		name  string
		steps []trace.Step
		fault string
	}{
		{"an ordinary row", row(founded(), decided(1, "x", ab, abc), decided(2, "y", ab, abc)), ""},
		{"a minority chooses", row(founded(), decided(1, "x", []string{"a"}, abc)), "was chosen by [a]"},
		{"a minority elects", row(founded()[:4], []trace.Step{trace.Elected{Replica: "a", Ballot: one, Voters: []string{"a"}, Members: abc}}), "with the votes of [a]"},
		{"a vote that was not given", row(founded()[:4], []trace.Step{trace.Elected{Replica: "a", Ballot: one, Voters: ab, Members: abc}}), "was not given"},
		{"a promise is broken", row(founded(), []trace.Step{trace.Promised{Replica: "b", Ballot: two}}, decided(1, "x", ab, abc)), "after it promised"},
		{"what was accepted is passed over", row(founded(), decided(1, "x", ab, abc), []trace.Step{
			trace.Promised{Replica: "b", Ballot: two}, trace.Promised{Replica: "c", Ballot: two},
			trace.Elected{Replica: "b", Ballot: two, Voters: []string{"b", "c"}, Members: abc},
			trace.Proposed{Replica: "b", Ballot: two, Index: 1, Digest: "z"}}), "another entry for slot 1"},
		{"a slot is applied unchosen", row(founded(), []trace.Step{trace.Applied{Replica: "c", Index: 1, Digest: "x", Members: abc}}), "was not chosen"},
		{"a slot is left out", row(founded(), decided(1, "x", ab, abc), decided(2, "y", ab, abc), []trace.Step{trace.Applied{Replica: "b", Index: 2, Digest: "y", Members: abc}}), "after 0"},
		{"members change before they hold all", row(founded(), decided(1, "x", ab, abc), decided(2, "y", ab, abd)), "of whom only [a] hold"},
		{"members change when they hold all", row(founded(), decided(1, "x", ab, abc),
			[]trace.Step{trace.Applied{Replica: "b", Index: 1, Digest: "x", Members: abc}}, decided(2, "y", ab, abd)), ""},
		{"an old read", row(founded(), decided(1, "x", ab, abc), []trace.Step{
			trace.RoundBegan{Replica: "c", Round: 1}, trace.RoundConfirmed{Replica: "c", Round: 1, Index: 0}}), "though 1 was chosen"},
		{"a member leaves with the only other copy", row(founded(), decided(1, "x", ab, abc), []trace.Step{trace.Left{Replica: "b"}}), "left while only [a]"},
		{"a snapshot of something else", row(founded(), decided(1, "x", ab, abc), []trace.Step{
			trace.Installed{Replica: "d", Index: 1, Digest: "q", Members: abc}}), "another entry in slot 1"},
	} {
		m := NewMonitor()
		for _, s := range c.steps {
			m.Tell(s)
		}
		got := strings.Join(m.Faults(), "; ")
		if c.fault == "" && got != "" || !strings.Contains(got, c.fault) {
			t.Errorf("%s: %q, want %q", c.name, got, c.fault)
		}
	}
}
