package statemachine

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestGroupOf: all up to and including the first dot, or the whole name.
func TestGroupOf(t *testing.T) {
	for name, want := range map[string]string{"g1.2d": "g1.", "g.a.b": "g.", "plain": "plain", ".x": ".", "a.": "a."} {
		if got := GroupOf(name); got != want {
			t.Errorf("group of %q is %q, want %q", name, got, want)
		}
	}
}

// TestCells plays puts, resent puts, conditions, trims and refills against a
// plain model: revisions of a group rise by one, a value keeps its first
// revision, a condition holds or nothing is done, and a history that is kept
// has no gap.
func TestCells(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New("m", nil)
		type put struct {
			name, value string
			rev         uint64
		}
		var all []put                // all that were taken, in order
		revs := map[string]uint64{}  // group to its revision
		now := map[string]put{}      // key to what it holds
		given := map[string]uint64{} // key and value to the first revision
		var sent []PutGroupKey       // what may be sent again
		trimmed := 0
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			var c PutGroupKey
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op == 0:
				n := rapid.IntRange(0, len(all)).Draw(t, "to")
				(&CompactPuts{To: uint64(n)}).Apply(s)
				trimmed = max(trimmed, n)
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
				c = sent[rapid.IntRange(0, len(sent)-1).Draw(t, "again")]
			default:
				c = PutGroupKey{Name: rapid.SampledFrom([]string{"a.1", "a.2", "b.1", "c"}).Draw(t, "name"), Value: fmt.Append(nil, "v", i)}
				if c.If = rapid.Bool().Draw(t, "if"); c.If {
					c.Revision = rapid.Uint64Range(0, 6).Draw(t, "rev")
				}
				sent = append(sent, c)
			}
			id, g := putID(c.Name, c.Value), GroupOf(c.Name)
			old, had := now[c.Name]
			got := c.Apply(s)
			// A value that was trimmed and holds no longer may count as new.
			lost := false
			for _, p := range all[:trimmed] {
				lost = lost || p.name == c.Name && p.rev == given[id] && old.rev != p.rev
			}
			switch first := given[id]; {
			case first > 0 && !lost:
				if got.Code != OK || got.Revision != first {
					t.Fatalf("sent again: %v, first at %d", got, first)
				}
			case c.If && old.rev != c.Revision:
				if got.Code != Conflict || got.Revision != old.rev || (got.Revision == 0) == had {
					t.Fatalf("condition on %d, but it is at %d: %v", c.Revision, old.rev, got)
				}
			default:
				if got.Code != OK || got.Revision != revs[g]+1 {
					t.Fatalf("%v after %d", got, revs[g])
				}
				revs[g] = got.Revision
				p := put{c.Name, string(c.Value), got.Revision}
				now[c.Name], given[id] = p, got.Revision
				all = append(all, p)
			}
			if k := s.Read("cell", c.Name, 0); now[c.Name].rev > 0 && (k.Revision != now[c.Name].rev || string(k.Key.Value) != now[c.Name].value) {
				t.Fatalf("%s reads %v, want %v", c.Name, k, now[c.Name])
			}
		}
		for g, rev := range revs {
			for after := uint64(0); after <= rev; after++ {
				var want []put
				whole := true
				for i, p := range all {
					if GroupOf(p.name) == g && p.rev > after {
						want = append(want, p)
						whole = whole && i >= trimmed
					}
				}
				got, m, ok := s.PutsAfter(g, after)
				if ok != whole || m != rev || ok && len(got) != len(want) {
					t.Fatalf("%s after %d: %v %d %v, want %v", g, after, got, m, ok, want)
				}
				for i := range got {
					if got[i].Revision != want[i].rev || got[i].Name != want[i].name || string(got[i].Value) != want[i].value {
						t.Fatalf("%s after %d: %v, want %v", g, after, got, want)
					}
				}
			}
		}
	})
}

// TestFull: a put that there is no room for does nothing, and trimming makes room.
func TestFull(t *testing.T) {
	s := New("m", nil)
	n := 0
	for ; n < 1000; n++ {
		if r := (&PutGroupKey{Name: "g.k", Value: fmt.Appendf(make([]byte, 64<<10), "%d", n)}).Apply(s); r.Code == Full {
			break
		}
	}
	if n < 32 || n >= 1000 || s.Groups["g."].Revision != uint64(n) {
		t.Fatalf("full after %d puts, at %v", n, s.Groups["g."])
	}
	(&CompactPuts{To: 5}).Apply(s)
	if r := (&PutGroupKey{Name: "g.k", Value: []byte("x")}).Apply(s); r.Code != OK || r.Revision != uint64(n+1) {
		t.Error(r)
	}
}

// TestNumberConfig: the highest number holds, in any order of arrival; what
// is kept of older documents is bounded by bytes.
func TestNumberConfig(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New("m", nil)
		top, doc := uint64(0), ""
		for i := range rapid.IntRange(1, 15).Draw(t, "steps") {
			n := rapid.Uint64Range(1, 200).Draw(t, "number")
			d := fmt.Sprint("d", i, string(make([]byte, rapid.SampledFrom([]int{0, 1000, maxConfigBytes / 3, 2 * maxConfigBytes}).Draw(t, "size"))))
			got := (&SetNumberedConfig{Number: n, Doc: []byte(d)}).Apply(s)
			if n > top {
				top, doc = n, d
			}
			if got.Code != OK || got.Version != top || s.Config().Version != top {
				t.Fatalf("%d sent, %d stands: %v", n, top, got)
			}
			if c, ok := s.NewestSent(); !ok || string(c.Doc) != doc {
				t.Fatal("what was sent is not what is kept")
			}
			size := 0
			for _, c := range s.Configs[:len(s.Configs)-1] {
				size += len(c.Doc)
			}
			if size > maxConfigBytes || len(s.Configs) > maxConfigs {
				t.Fatalf("%d bytes in %d older documents", size, len(s.Configs)-1)
			}
		}
	})
}

// TestNumberEndsTrials: a document by number ends what runs.
func TestNumberEndsTrials(t *testing.T) {
	s := New("m", nil)
	(&SetNumberedConfig{Number: 10, Doc: []byte("a")}).Apply(s)
	if r := (&Propose{ID: 1, Base: 10, Doc: []byte("b"), Routes: []string{"p"}}).Apply(s); r.Version != 11 {
		t.Fatal(r)
	}
	if c, _ := s.NewestSent(); string(c.Doc) != "a" {
		t.Errorf("sent is %q while a trial runs", c.Doc)
	}
	if r := (&SetNumberedConfig{Number: 20, Doc: []byte("c")}).Apply(s); r.Version != 20 || s.Trials[0].State != Dropped || s.Trials[0].End != 20 {
		t.Errorf("%v, %v", r, s.Trials)
	}
}
