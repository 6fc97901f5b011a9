package store

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/disk"
	"puffincrank/internal/paxos"
	"puffincrank/internal/statemachine"
)

// TestPatchNeedsCommandLevel: patches are proposed only while every member and
// learner is known to understand them, and only for the first document of a
// batch.
func TestPatchNeedsCommandLevel(t *testing.T) {
	dir, err := disk.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	acceptor, err := paxos.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := acceptor.SetIdentity(paxos.Identity{ID: "a"}); err != nil {
		t.Fatal(err)
	}
	doc := func(n int) []byte { return append(bytes.Repeat([]byte(`{"a":1}`), 60), fmt.Sprint(n)...) }
	s := &Store{acceptor: acceptor, state: statemachine.New("m", []statemachine.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}})}
	(&statemachine.SetConfig{Doc: doc(1)}).Apply(s.state)
	kinds := func(term *leadership) string {
		var batch []*proposal
		for i := range 2 {
			c := &statemachine.SetNumberedConfig{Number: uint64(7 + i), Doc: doc(2 + i)}
			packed, err := statemachine.Pack("config.number", c)
			if err != nil {
				t.Fatal(err)
			}
			batch = append(batch, &proposal{packed: packed, command: c})
		}
		term.usePatch(batch)
		return batch[0].packed.Kind + " " + batch[1].packed.Kind
	}
	const long, short = "config.number config.number", "config.step config.number"
	term := &leadership{store: s, ballot: ballot.Number{Round: 1, Candidate: "a"}, contacts: map[string]peerContact{}, learners: map[string]*learner{}}
	for i, c := range []struct {
		b, c    int
		learner int // -1 for none
		want    string
	}{{0, 0, -1, long}, {1, 0, -1, long}, {0, 1, -1, long}, {1, 1, -1, short}, {1, 1, 0, long}, {1, 1, 1, short}, {2, 3, -1, short}} {
		term.contacts = map[string]peerContact{"b": {at: time.Now(), commandLevel: c.b}, "c": {at: time.Now(), commandLevel: c.c}}
		term.learners = map[string]*learner{}
		if c.learner >= 0 {
			term.learners["d"] = &learner{commandLevel: c.learner}
		}
		if got := kinds(term); got != c.want {
			t.Errorf("%d: got %s, want %s", i, got, c.want)
		}
	}
	// A member without a report in this term may be of any program version.
	term.contacts = map[string]peerContact{"b": {commandLevel: 1}}
	if got := kinds(term); got != long {
		t.Errorf("a member without a report: %s", got)
	}
}
