package statemachine

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestGroupOf(t *testing.T) {
	for name, group := range map[string]string{"g1.2d": "g1.", "g.a.b": "g.", "plain": "plain", ".x": ".", "a.": "a."} {
		if got := GroupOf(name); got != group {
			t.Errorf("group of %q is %q, want %q", name, got, group)
		}
	}
}

// TestGroupKeysAgainstModel compares puts, retried puts, conditional puts, compactions
// and snapshot reloads with a simple model: the revision of a group rises by one with
// each put, a retried value gets its first revision, a put whose condition does not
// hold changes nothing, and the retained history has no gap.
func TestGroupKeysAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New("m", nil)
		type put struct {
			name, value string
			revision    uint64
		}
		var applied []put                     // all puts that took effect, in order
		revisions := map[string]uint64{}      // group to its revision
		current := map[string]put{}           // key to its current value
		firstRevisions := map[string]uint64{} // putID to its first revision
		var sent []PutGroupKey                // may be retried
		compacted := 0
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			var command PutGroupKey
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op == 0:
				count := rapid.IntRange(0, len(applied)).Draw(t, "to")
				(&CompactPuts{To: uint64(count)}).Apply(s)
				compacted = max(compacted, count)
				continue
			case op == 1:
				raw, err := s.Pack()
				if err != nil {
					t.Fatal(err)
				}
				if s, err = Load(raw); err != nil {
					t.Fatal(err)
				}
				continue
			case op < 5 && len(sent) > 0:
				command = sent[rapid.IntRange(0, len(sent)-1).Draw(t, "again")]
			default:
				command = PutGroupKey{Name: rapid.SampledFrom([]string{"a.1", "a.2", "b.1", "c"}).Draw(t, "name"), Value: fmt.Append(nil, "v", i)}
				if command.If = rapid.Bool().Draw(t, "if"); command.If {
					command.Revision = rapid.Uint64Range(0, 6).Draw(t, "rev")
				}
				sent = append(sent, command)
			}
			id, group := putID(command.Name, command.Value), GroupOf(command.Name)
			previous, existed := current[command.Name]
			got := command.Apply(s)
			// A put that was compacted and is not the current value counts as new.
			forgotten := false
			for _, p := range applied[:compacted] {
				forgotten = forgotten || p.name == command.Name && p.revision == firstRevisions[id] && previous.revision != p.revision
			}
			switch first := firstRevisions[id]; {
			case first > 0 && !forgotten:
				if got.Code != OK || got.Revision != first {
					t.Fatalf("retried put: got %v, want first revision %d", got, first)
				}
			case command.If && previous.revision != command.Revision:
				if got.Code != Conflict || got.Revision != previous.revision || (got.Revision == 0) == existed {
					t.Fatalf("put on condition of revision %d, current revision is %d: %v", command.Revision, previous.revision, got)
				}
			default:
				if got.Code != OK || got.Revision != revisions[group]+1 {
					t.Fatalf("got %v, revision before the put is %d", got, revisions[group])
				}
				revisions[group] = got.Revision
				p := put{command.Name, string(command.Value), got.Revision}
				current[command.Name], firstRevisions[id] = p, got.Revision
				applied = append(applied, p)
			}
			if read := s.Read("cell", command.Name, 0); current[command.Name].revision > 0 && (read.Revision != current[command.Name].revision || string(read.Key.Value) != current[command.Name].value) {
				t.Fatalf("%s reads %v, want %v", command.Name, read, current[command.Name])
			}
		}
		for group, revision := range revisions {
			for after := uint64(0); after <= revision; after++ {
				var want []put
				retained := true
				for i, p := range applied {
					if GroupOf(p.name) == group && p.revision > after {
						want = append(want, p)
						retained = retained && i >= compacted
					}
				}
				got, groupRevision, ok := s.PutsAfter(group, after)
				if ok != retained || groupRevision != revision || ok && len(got) != len(want) {
					t.Fatalf("%s after %d: %v %d %v, want %v", group, after, got, groupRevision, ok, want)
				}
				for i := range got {
					if got[i].Revision != want[i].revision || got[i].Name != want[i].name || string(got[i].Value) != want[i].value {
						t.Fatalf("%s after %d: %v, want %v", group, after, got, want)
					}
				}
			}
		}
	})
}

// TestPutHistoryFull checks that a put beyond maxPutBytes changes nothing, and that
// compaction makes room for further puts.
func TestPutHistoryFull(t *testing.T) {
	s := New("m", nil)
	puts := 0
	for ; puts < 1000; puts++ {
		if result := (&PutGroupKey{Name: "g.k", Value: fmt.Appendf(make([]byte, 64<<10), "%d", puts)}).Apply(s); result.Code == Full {
			break
		}
	}
	if puts < 32 || puts >= 1000 || s.Groups["g."].Revision != uint64(puts) {
		t.Fatalf("history full after %d puts, group is %v", puts, s.Groups["g."])
	}
	(&CompactPuts{To: 5}).Apply(s)
	if result := (&PutGroupKey{Name: "g.k", Value: []byte("x")}).Apply(s); result.Code != OK || result.Revision != uint64(puts+1) {
		t.Error(result)
	}
}

// TestHighestNumberWins checks that the configuration with the highest number is
// current, whatever the order of arrival, and that the retained older documents are
// bounded in number and size.
func TestHighestNumberWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New("m", nil)
		highest, newest := uint64(0), ""
		for i := range rapid.IntRange(1, 15).Draw(t, "steps") {
			number := rapid.Uint64Range(1, 200).Draw(t, "number")
			document := fmt.Sprint("d", i, string(make([]byte, rapid.SampledFrom([]int{0, 1000, maxConfigBytes / 3, 2 * maxConfigBytes}).Draw(t, "size"))))
			got := (&SetNumberedConfig{Number: number, Doc: []byte(document)}).Apply(s)
			if number > highest {
				highest, newest = number, document
			}
			if got.Code != OK || got.Version != highest || s.Config().Version != highest {
				t.Fatalf("submitted number %d, highest is %d: %v", number, highest, got)
			}
			if config, ok := s.NewestSubmitted(); !ok || string(config.Doc) != newest {
				t.Fatal("the newest submitted document is not retained")
			}
			size := 0
			for _, config := range s.Configs[:len(s.Configs)-1] {
				size += len(config.Doc)
			}
			if size > maxConfigBytes || len(s.Configs) > maxConfigs {
				t.Fatalf("%d bytes retained in %d older documents", size, len(s.Configs)-1)
			}
		}
	})
}

// TestNumberedConfigDropsTrials checks that a numbered document drops a running trial.
func TestNumberedConfigDropsTrials(t *testing.T) {
	s := New("m", nil)
	(&SetNumberedConfig{Number: 10, Doc: []byte("a")}).Apply(s)
	if result := (&Propose{ID: 1, Base: 10, Doc: []byte("b"), Routes: []string{"p"}}).Apply(s); result.Version != 11 {
		t.Fatal(result)
	}
	if config, _ := s.NewestSubmitted(); string(config.Doc) != "a" {
		t.Errorf("newest submitted document is %q while a trial runs", config.Doc)
	}
	if result := (&SetNumberedConfig{Number: 20, Doc: []byte("c")}).Apply(s); result.Version != 20 || s.Trials[0].State != Dropped || s.Trials[0].End != 20 {
		t.Errorf("%v, %v", result, s.Trials)
	}
}
