package model

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// threeVoters is the smallest configuration in which a membership change, a lost disk, a
// snapshot and two elections can occur together.
var threeVoters = Config{Voters: 3, Spares: 1, Commands: 2, Lossy: true, Wipes: 1, Crashes: 1, Changes: 1, Leaves: 0, Resends: 1, Elections: 2}

// stateLimit returns how many states to search: the value of PUFFIN_STATES if set, else
// defaultLimit, or a tenth of it with -short.
func stateLimit(t *testing.T, defaultLimit int) int {
	t.Helper()
	if n, err := strconv.Atoi(os.Getenv("PUFFIN_STATES")); err == nil {
		return n
	}
	if testing.Short() {
		return defaultLimit / 10
	}
	return defaultLimit
}

// TestExplore checks that no state of three voters and a spare node violates an invariant,
// up to a limit on the number of states. It logs how many were searched.
func TestExplore(t *testing.T) {
	leaving := threeVoters
	leaving.Wipes, leaving.Leaves = 0, 1
	leavingAndWiping := threeVoters
	leavingAndWiping.Leaves = 1
	for name, config := range map[string]Config{"a wipe": threeVoters, "a leave": leaving, "a wipe and a leave": leavingAndWiping} {
		r := Explore(config, NoDefect, stateLimit(t, 400_000))
		t.Logf("%s: %d states, to a depth of %d, all of them: %v", name, r.States, r.Depth, r.Complete)
		if r.Violation != "" {
			t.Errorf("%s: %s after\n  %s", name, r.Violation, strings.Join(r.Trace, "\n  "))
		}
	}
}

// TestRandomWalkFiveVoters checks the invariants along random sequences of steps of five
// voters and a spare node, with up to two lost disks.
func TestRandomWalkFiveVoters(t *testing.T) {
	config := Config{Voters: 5, Spares: 1, Commands: 2, Lossy: true, Wipes: 2, Crashes: 2, Changes: 2, Leaves: 0, Resends: 1, Elections: 4}
	r := Walk(config, NoDefect, 1, stateLimit(t, 20_000)/10, 120)
	t.Logf("%d states in sequences of up to %d steps", r.States, r.Depth)
	if r.Violation != "" {
		t.Errorf("%s after\n  %s", r.Violation, strings.Join(r.Trace, "\n  "))
	}
}

// TestSeededDefects checks that the search detects each seeded defect. The same
// configuration without the defect must violate no invariant within as many states, at
// most 100,000, so that the violation is due to the defect.
func TestSeededDefects(t *testing.T) {
	leaving := threeVoters
	leaving.Wipes, leaving.Leaves = 0, 1
	for _, c := range []struct {
		defect Defect
		config Config
	}{
		{VotesAfterWipe, Config{Voters: 3, Commands: 1, Wipes: 1, Elections: 1}},
		{QuorumOfNewMembers, Config{Voters: 3, Commands: 1, Spares: 1, Changes: 1, Elections: 1}},
		{ForgetsPromise, Config{Voters: 3, Commands: 2, Spares: 0, Elections: 2}},
		{LeavesEarly, Config{Voters: 3, Commands: 1, Leaves: 1, Elections: 1}},
		{LeavesEarly, Config{Voters: 3, Commands: 1, Spares: 1, Changes: 1, Leaves: 1, Elections: 1}},
		{ReadsWithoutQuorum, Config{Voters: 3, Commands: 1, Elections: 1}},
		{ForgetsRequests, Config{Voters: 3, Commands: 2, Resends: 1, Elections: 1}},
		{TruncatesVotes, Config{Voters: 3, Commands: 2, Elections: 1}},
		{ChangesEarly, Config{Voters: 3, Commands: 1, Spares: 1, Changes: 1, Elections: 1}},
	} {
		r := Explore(c.config, c.defect, 1_000_000)
		if r.Violation == "" {
			t.Errorf("%s: not found in %d states, depth %d", c.defect, r.States, r.Depth)
			continue
		}
		t.Logf("%s: %s, found after %d states by\n  %s", c.defect, r.Violation, r.States, strings.Join(r.Trace, "\n  "))
		if sound := Explore(c.config, NoDefect, min(r.States, 100_000)); sound.Violation != "" {
			t.Errorf("%s: without the defect %s", c.defect, sound.Violation)
		}
	}
}
