package patch

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// document draws one of rows, in some layout, or any bytes.
func document(t *rapid.T, name string) []byte {
	if rapid.IntRange(0, 4).Draw(t, name+" kind") == 0 {
		return rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, name)
	}
	end := rapid.SampledFrom([]string{",", ",\n", ",\r\n  "}).Draw(t, name+" end")
	var list []string
	for _, k := range rapid.SliceOfN(rapid.IntRange(0, 30), 0, 40).Draw(t, name) {
		list = append(list, fmt.Sprintf(`{"name":"path-%d","service":"s%d"}`, k, k%7))
	}
	return []byte(`{"paths":[` + strings.Join(list, end) + `]}`)
}

// TestSteps: whatever two documents are, the step makes the one of the other,
// and of no third.
func TestSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := document(t, "a"), document(t, "b"), document(t, "c")
		s := Make(1, 2, a, b)
		got, err := s.Apply(a)
		if err != nil || !bytes.Equal(got, b) {
			t.Fatalf("%q became %q, not %q: %v", a, got, b, err)
		}
		if _, err := s.Apply(c); err == nil && !bytes.Equal(a, c) {
			t.Fatal("a step fits another document")
		}
		if len(s.Ops) > 0 {
			i := rapid.IntRange(0, len(s.Ops)-1).Draw(t, "op")
			s.Ops = append([]Op(nil), s.Ops...)
			s.Ops[i].At += rapid.SampledFrom([]int{-5000, -1, 1, 5000}).Draw(t, "off")
			s.Ops[i].Len += rapid.IntRange(-1, 1).Draw(t, "more")
			if got, err := s.Apply(a); err == nil && !bytes.Equal(got, b) {
				t.Fatal("a damaged step made another document")
			}
		}
	})
}

func long(n int, change ...int) []byte {
	var rows []string
	for i := range n {
		left := 1000
		for _, c := range change {
			if c == i {
				left++
			}
		}
		rows = append(rows, fmt.Sprintf(`{"name":"path-%d","prefix":"/p/%d","left_ms":%d}`, i, i, left))
	}
	return []byte(`{"paths":[` + strings.Join(rows, ",") + `]}`)
}

// TestSize: a step costs what changed, however long the document is: also for
// changes far from each other, and for a row put in or taken out.
func TestSize(t *testing.T) {
	for _, n := range []int{100, 1000, 5000} {
		one := Make(1, 2, long(n), long(n, n/2)).Size()
		far := Make(1, 2, long(n), long(n, 3, n/2, n-3)).Size()
		in := Make(1, 2, long(n), bytes.Replace(long(n), []byte(`"paths":[`), []byte(`"paths":[{"name":"new"},`), 1)).Size()
		t.Logf("%d rows, %d bytes: one change %d, three %d, a new row %d", n, len(long(n)), one, far, in)
		if one > 250 || far > 600 || in > 250 {
			t.Errorf("%d rows: steps of %d, %d and %d bytes", n, one, far, in)
		}
	}
}

// TestHeld: those that lag get the steps that they lack, in one chain; who lags
// too far, or by more than half of the document, gets none.
func TestHeld(t *testing.T) {
	const kept = 256
	a := NewDocument(kept)
	docs := map[uint64][]byte{}
	for v := uint64(1); v <= 400; v++ {
		docs[v] = long(600, int(v))
		var steps []Patch
		if v > 1 {
			steps = []Patch{Make(v-1, v, docs[v-1], docs[v])}
		}
		a.Set(v, docs[v], steps)
	}
	for _, back := range []uint64{1, 2, 50} {
		v := 400 - back
		steps, ok := a.Since(v)
		if !ok || len(steps) != int(back) {
			t.Fatalf("%d back: %d steps, %v", back, len(steps), ok)
		}
		b := NewDocument(8)
		b.Set(v, docs[v], nil)
		got, ok := b.Build(steps)
		if !ok || !bytes.Equal(got, docs[400]) {
			t.Fatalf("%d back: not the document", back)
		}
		b.Set(400, got, steps)
		if v2, doc := b.Current(); v2 != 400 || !bytes.Equal(doc, docs[400]) {
			t.Fatal("not held")
		}
		// A chain that begins earlier is as good; one that begins later isn't.
		if more, ok := a.Since(v - 3); ok {
			c := NewDocument(8)
			c.Set(v, docs[v], nil)
			if got, ok := c.Build(more); !ok || !bytes.Equal(got, docs[400]) {
				t.Fatal("steps that went by were not passed over")
			}
		}
		c := NewDocument(8)
		c.Set(v-1, docs[v-1], nil)
		if _, ok := c.Build(steps); ok {
			t.Fatal("steps that begin later fit")
		}
		c = NewDocument(8)
		c.Set(v, []byte("another"), nil)
		if _, ok := c.Build(steps); ok {
			t.Fatal("steps fit another document of the same version")
		}
	}
	if _, ok := a.Since(1); ok || a.size > len(docs[400])/2 || len(a.steps) > kept {
		t.Errorf("%d steps of %d bytes are kept", len(a.steps), a.size)
	}
	// A whole document begins a new chain.
	a.Set(402, docs[1], nil)
	if _, ok := a.Since(400); ok {
		t.Error("steps lead over a gap")
	}
	a.Set(401, docs[2], nil)
	if v, _ := a.Current(); v != 402 {
		t.Error("a step back was taken")
	}
}
