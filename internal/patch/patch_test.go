package patch

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawDocument draws a document of rows in some layout, or arbitrary bytes.
func drawDocument(t *rapid.T, name string) []byte {
	if rapid.IntRange(0, 4).Draw(t, name+" kind") == 0 {
		return rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, name)
	}
	separator := rapid.SampledFrom([]string{",", ",\n", ",\r\n  "}).Draw(t, name+" end")
	var rows []string
	for _, key := range rapid.SliceOfN(rapid.IntRange(0, 30), 0, 40).Draw(t, name) {
		rows = append(rows, fmt.Sprintf(`{"name":"path-%d","service":"s%d"}`, key, key%7))
	}
	return []byte(`{"paths":[` + strings.Join(rows, separator) + `]}`)
}

// TestMakeAndApply checks for any two documents that the step produces the second from the first,
// and that it applies to no other document.
func TestMakeAndApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawDocument(t, "a"), drawDocument(t, "b"), drawDocument(t, "c")
		s := Make(1, 2, a, b)
		got, err := s.Apply(a)
		if err != nil || !bytes.Equal(got, b) {
			t.Fatalf("%q became %q, want %q: %v", a, got, b, err)
		}
		if _, err := s.Apply(c); err == nil && !bytes.Equal(a, c) {
			t.Fatal("a step was applied to a document other than its base")
		}
		if len(s.Ops) > 0 {
			i := rapid.IntRange(0, len(s.Ops)-1).Draw(t, "op")
			s.Ops = append([]Op(nil), s.Ops...)
			s.Ops[i].At += rapid.SampledFrom([]int{-5000, -1, 1, 5000}).Draw(t, "off")
			s.Ops[i].Len += rapid.IntRange(-1, 1).Draw(t, "more")
			if got, err := s.Apply(a); err == nil && !bytes.Equal(got, b) {
				t.Fatal("a damaged step produced another document")
			}
		}
	})
}

func routesDocument(n int, change ...int) []byte {
	var rows []string
	for i := range n {
		timeout := 1000
		for _, c := range change {
			if c == i {
				timeout++
			}
		}
		rows = append(rows, fmt.Sprintf(`{"name":"path-%d","prefix":"/p/%d","left_ms":%d}`, i, i, timeout))
	}
	return []byte(`{"paths":[` + strings.Join(rows, ",") + `]}`)
}

// TestStepSize checks that the size of a step depends on what changed and not on the length of the
// document, also for distant changes and for an inserted row.
func TestStepSize(t *testing.T) {
	for _, n := range []int{100, 1000, 5000} {
		single := Make(1, 2, routesDocument(n), routesDocument(n, n/2)).Size()
		distant := Make(1, 2, routesDocument(n), routesDocument(n, 3, n/2, n-3)).Size()
		inserted := Make(1, 2, routesDocument(n), bytes.Replace(routesDocument(n), []byte(`"paths":[`), []byte(`"paths":[{"name":"new"},`), 1)).Size()
		t.Logf("%d rows, %d bytes: one change %d, three %d, a new row %d", n, len(routesDocument(n)), single, distant, inserted)
		if single > 250 || distant > 600 || inserted > 250 {
			t.Errorf("%d rows: steps of %d, %d and %d bytes", n, single, distant, inserted)
		}
	}
}

// TestDocumentSteps checks that a node that is behind gets one chain of the steps that it lacks. A
// node that is too far behind, or by more than half of the document, gets none.
func TestDocumentSteps(t *testing.T) {
	const maxSteps = 256
	current := NewDocument(maxSteps)
	docs := map[uint64][]byte{}
	for version := uint64(1); version <= 400; version++ {
		docs[version] = routesDocument(600, int(version))
		var steps []Patch
		if version > 1 {
			steps = []Patch{Make(version-1, version, docs[version-1], docs[version])}
		}
		current.Set(version, docs[version], steps)
	}
	for _, lag := range []uint64{1, 2, 50} {
		version := 400 - lag
		steps, ok := current.Since(version)
		if !ok || len(steps) != int(lag) {
			t.Fatalf("%d versions behind: %d steps, %v", lag, len(steps), ok)
		}
		behind := NewDocument(8)
		behind.Set(version, docs[version], nil)
		got, ok := behind.Build(steps)
		if !ok || !bytes.Equal(got, docs[400]) {
			t.Fatalf("%d versions behind: the steps do not lead to the current document", lag)
		}
		behind.Set(400, got, steps)
		if gotVersion, doc := behind.Current(); gotVersion != 400 || !bytes.Equal(doc, docs[400]) {
			t.Fatal("the built document was not installed")
		}
		// A chain that begins at an earlier version applies too; one that begins at a later version
		// does not.
		if earlier, ok := current.Since(version - 3); ok {
			other := NewDocument(8)
			other.Set(version, docs[version], nil)
			if got, ok := other.Build(earlier); !ok || !bytes.Equal(got, docs[400]) {
				t.Fatal("steps up to the current version were not skipped")
			}
		}
		other := NewDocument(8)
		other.Set(version-1, docs[version-1], nil)
		if _, ok := other.Build(steps); ok {
			t.Fatal("steps that begin at a later version were applied")
		}
		other = NewDocument(8)
		other.Set(version, []byte("another"), nil)
		if _, ok := other.Build(steps); ok {
			t.Fatal("steps were applied to another document of the same version")
		}
	}
	if _, ok := current.Since(1); ok || current.stepBytes > len(docs[400])/2 || len(current.steps) > maxSteps {
		t.Errorf("%d steps of %d bytes are kept", len(current.steps), current.stepBytes)
	}
	// A whole document without steps begins a new chain.
	current.Set(402, docs[1], nil)
	if _, ok := current.Since(400); ok {
		t.Error("a chain of steps crosses a version without a step")
	}
	current.Set(401, docs[2], nil)
	if version, _ := current.Current(); version != 402 {
		t.Error("an older version was installed")
	}
}
