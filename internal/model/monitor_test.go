package model

import (
	"strings"
	"testing"

	"puffincrank/internal/ballot"
	"puffincrank/internal/trace"
)

var (
	ballotA = ballot.Number{Round: 1, Candidate: "a"}
	ballotB = ballot.Number{Round: 2, Candidate: "b"}
	abc     = []string{"a", "b", "c"}
	abd     = []string{"a", "b", "d"}
)

// electedLeader returns the steps by which replica a is elected by a and b, out of three
// members.
func electedLeader() []trace.Step {
	return []trace.Step{
		trace.Installed{Replica: "a", Members: abc}, trace.Installed{Replica: "b", Members: abc}, trace.Installed{Replica: "c", Members: abc},
		trace.Promised{Replica: "a", Ballot: ballotA}, trace.Promised{Replica: "b", Ballot: ballotA},
		trace.Elected{Replica: "a", Ballot: ballotA, Voters: []string{"a", "b"}, Members: abc},
	}
}

// committedEntry returns the steps by which replica a gets an entry accepted by the given
// acceptors, finds it chosen and applies it.
func committedEntry(index uint64, digest string, acceptors []string, after []string) []trace.Step {
	out := []trace.Step{trace.Proposed{Replica: "a", Ballot: ballotA, Index: index, Digest: digest}}
	for _, id := range acceptors {
		out = append(out, trace.Accepted{Replica: id, Ballot: ballotA, Index: index, Digest: digest})
	}
	return append(out, trace.Chosen{Replica: "a", Ballot: ballotA, Index: index, Digest: digest, Acceptors: acceptors},
		trace.Applied{Replica: "a", Index: index, Digest: digest, Members: after})
}

func concat(parts ...[]trace.Step) (out []trace.Step) {
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

// TestMonitor checks that the monitor accepts sequences that the rules allow and reports
// each kind of violation.
func TestMonitor(t *testing.T) {
	ab := []string{"a", "b"}
	for _, c := range []struct {
		name      string
		steps     []trace.Step
		violation string
	}{
		{"entries are chosen and applied", concat(electedLeader(), committedEntry(1, "x", ab, abc), committedEntry(2, "y", ab, abc)), ""},
		{"a minority chooses", concat(electedLeader(), committedEntry(1, "x", []string{"a"}, abc)), "was chosen by [a]"},
		{"a minority elects", concat(electedLeader()[:4], []trace.Step{trace.Elected{Replica: "a", Ballot: ballotA, Voters: []string{"a"}, Members: abc}}), "with the votes of [a]"},
		{"a vote that was not given", concat(electedLeader()[:4], []trace.Step{trace.Elected{Replica: "a", Ballot: ballotA, Voters: ab, Members: abc}}), "was not given"},
		{"a promise is broken", concat(electedLeader(), []trace.Step{trace.Promised{Replica: "b", Ballot: ballotB}}, committedEntry(1, "x", ab, abc)), "after it promised"},
		{"an accepted entry is ignored", concat(electedLeader(), committedEntry(1, "x", ab, abc), []trace.Step{
			trace.Promised{Replica: "b", Ballot: ballotB}, trace.Promised{Replica: "c", Ballot: ballotB},
			trace.Elected{Replica: "b", Ballot: ballotB, Voters: []string{"b", "c"}, Members: abc},
			trace.Proposed{Replica: "b", Ballot: ballotB, Index: 1, Digest: "z"}}), "another entry for index 1"},
		{"an entry is applied without being chosen", concat(electedLeader(), []trace.Step{trace.Applied{Replica: "c", Index: 1, Digest: "x", Members: abc}}), "was not chosen"},
		{"an index is skipped", concat(electedLeader(), committedEntry(1, "x", ab, abc), committedEntry(2, "y", ab, abc), []trace.Step{trace.Applied{Replica: "b", Index: 2, Digest: "y", Members: abc}}), "after 0"},
		{"membership changes before the new members are up to date", concat(electedLeader(), committedEntry(1, "x", ab, abc), committedEntry(2, "y", ab, abd)), "of whom only [a] hold"},
		{"membership changes when the new members are up to date", concat(electedLeader(), committedEntry(1, "x", ab, abc),
			[]trace.Step{trace.Applied{Replica: "b", Index: 1, Digest: "x", Members: abc}}, committedEntry(2, "y", ab, abd)), ""},
		{"a stale read", concat(electedLeader(), committedEntry(1, "x", ab, abc), []trace.Step{
			trace.RoundBegan{Replica: "c", Round: 1}, trace.RoundConfirmed{Replica: "c", Round: 1, Index: 0}}), "though 1 was chosen"},
		{"a member leaves with the only other copy", concat(electedLeader(), committedEntry(1, "x", ab, abc), []trace.Step{trace.Left{Replica: "b"}}), "left while only [a]"},
		{"a snapshot with another entry", concat(electedLeader(), committedEntry(1, "x", ab, abc), []trace.Step{
			trace.Installed{Replica: "d", Index: 1, Digest: "q", Members: abc}}), "another entry at index 1"},
	} {
		m := NewMonitor()
		for _, s := range c.steps {
			m.Observe(s)
		}
		got := strings.Join(m.Violations(), "; ")
		if c.violation == "" && got != "" || !strings.Contains(got, c.violation) {
			t.Errorf("%s: %q, want %q", c.name, got, c.violation)
		}
	}
}
