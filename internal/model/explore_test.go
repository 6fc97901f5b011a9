package model

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// three is the smallest cluster in which a change of the members, a lost disk, a
// snapshot and two elections meet.
var three = Config{Voters: 3, Spares: 1, Commands: 2, Lossy: true, Wipes: 1, Crashes: 1, Changes: 1, Leaves: 0, Resends: 1, Elections: 2}

// states is how many states are searched: PUFFIN_STATES sets another number.
func states(t *testing.T, def int) int {
	t.Helper()
	if n, err := strconv.Atoi(os.Getenv("PUFFIN_STATES")); err == nil {
		return n
	}
	if testing.Short() {
		return def / 10
	}
	return def
}

// TestExplore: no state of three voters and a spare breaks an invariant, up to a
// bound that is printed.
func TestExplore(t *testing.T) {
	leaving := three
	leaving.Wipes, leaving.Leaves = 0, 1
	both := three
	both.Leaves = 1
	for name, c := range map[string]Config{"a wipe": three, "a leave": leaving, "a wipe and a leave": both} {
		r := Explore(c, Sound, states(t, 400_000))
		t.Logf("%s: %d states, to a depth of %d, all of them: %v", name, r.States, r.Depth, r.Complete)
		if r.Fault != "" {
			t.Errorf("%s: %s after\n  %s", name, r.Fault, strings.Join(r.Trace, "\n  "))
		}
	}
}

// TestWalkFive: random rows of steps of five voters and a spare, two disks lost.
func TestWalkFive(t *testing.T) {
	c := Config{Voters: 5, Spares: 1, Commands: 2, Lossy: true, Wipes: 2, Crashes: 2, Changes: 2, Leaves: 0, Resends: 1, Elections: 4}
	r := Walk(c, Sound, 1, states(t, 20_000)/10, 120)
	t.Logf("%d states in rows of up to %d steps", r.States, r.Depth)
	if r.Fault != "" {
		t.Errorf("%s after\n  %s", r.Fault, strings.Join(r.Trace, "\n  "))
	}
}

// TestBreaches: each breach seeded into the model is found, by the shortest row of
// steps.
func TestBreaches(t *testing.T) {
	leaving := three
	leaving.Wipes, leaving.Leaves = 0, 1
	for _, c := range []struct {
		breach Breach
		config Config
	}{
		{VotesAfterWipe, Config{Voters: 3, Commands: 1, Wipes: 1, Elections: 1}},
		{WrongMembers, Config{Voters: 3, Commands: 1, Spares: 1, Changes: 1, Elections: 1}},
		{ForgetsPromise, Config{Voters: 3, Commands: 2, Spares: 0, Elections: 2}},
		{LeavesEarly, Config{Voters: 3, Commands: 1, Leaves: 1, Elections: 1}},
		{LeavesEarly, Config{Voters: 3, Commands: 1, Spares: 1, Changes: 1, Leaves: 1, Elections: 1}},
		{ReadsAlone, Config{Voters: 3, Commands: 1, Elections: 1}},
		{ForgetsRequests, Config{Voters: 3, Commands: 2, Resends: 1, Elections: 1}},
		{CutVotes, Config{Voters: 3, Commands: 2, Elections: 1}},
		{ChangesEarly, Config{Voters: 3, Commands: 1, Spares: 1, Changes: 1, Elections: 1}},
	} {
		r := Explore(c.config, c.breach, 1_000_000)
		if r.Fault == "" {
			t.Errorf("%s: not found in %d states, depth %d", c.breach, r.States, r.Depth)
			continue
		}
		t.Logf("%s: %s, found after %d states by\n  %s", c.breach, r.Fault, r.States, strings.Join(r.Trace, "\n  "))
		if sound := Explore(c.config, Sound, min(r.States, 100_000)); sound.Fault != "" {
			t.Errorf("%s: without the breach %s", c.breach, sound.Fault)
		}
	}
}
