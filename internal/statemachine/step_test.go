package statemachine

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestSteps: a row of documents as steps leaves the very state that it leaves
// whole, with the same result; a step that doesn't fit changes nothing.
func TestSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, steps := New("m", nil), New("m", nil)
		rows := make([]int, 80)
		short := 0
		for n := range rapid.IntRange(2, 30).Draw(t, "changes") {
			rows[rapid.IntRange(0, len(rows)-1).Draw(t, "row")] = n
			var doc bytes.Buffer
			for i, r := range rows {
				fmt.Fprintf(&doc, `{"name":"path-%d","left_ms":%d}`, i, r)
			}
			var c Command = &SetNumberedConfig{Number: whole.Config().Version + rapid.Uint64Range(0, 3).Draw(t, "up"), Doc: doc.Bytes(), Who: "w", Why: "y"}
			if rapid.Bool().Draw(t, "by base") {
				c = &SetConfig{Base: whole.Config().Version - min(whole.Config().Version, rapid.Uint64Range(0, 1).Draw(t, "behind")), Doc: doc.Bytes(), Who: "w", Why: "y"}
			}
			same := c
			if s := AsPatch(c, steps.Config()); s != nil {
				p, err := Pack("config.step", s)
				if err != nil || len(p.Body) > doc.Len()/2 {
					t.Fatalf("%d bytes for %d: %v", len(p.Body), doc.Len(), err)
				}
				if same, err = p.Unpack(); err != nil {
					t.Fatal(err)
				}
				short++
			}
			a, b := c.Apply(whole), same.Apply(steps)
			if a.Code != b.Code || a.Version != b.Version {
				t.Fatalf("whole %+v, step %+v", a, b)
			}
		}
		x, _ := whole.Pack()
		y, _ := steps.Pack()
		if !bytes.Equal(x, y) {
			t.Fatalf("the states differ after %d steps", short)
		}
	})
}

// TestStepRefused: a step from another document, or to another, is refused.
func TestStepRefused(t *testing.T) {
	doc := func(n int) []byte { return append(bytes.Repeat([]byte(`{"a":1}`), 60), fmt.Sprint(n)...) }
	s := New("m", nil)
	(&SetConfig{Doc: doc(1)}).Apply(s)
	step := AsPatch(&SetNumberedConfig{Number: 9, Doc: doc(2)}, s.Config())
	if step == nil {
		t.Fatal("not shortened")
	}
	(&SetNumberedConfig{Number: 5, Doc: doc(3)}).Apply(s)
	before, _ := s.Pack()
	if r := step.Apply(s); r.Code != Conflict || r.Version != 5 {
		t.Errorf("another document: %+v", r)
	}
	step = AsPatch(&SetNumberedConfig{Number: 9, Doc: doc(2)}, s.Config())
	step.Step.Digest[0]++
	if r := step.Apply(s); r.Code != Conflict {
		t.Errorf("ends elsewhere: %+v", r)
	}
	if after, _ := s.Pack(); !bytes.Equal(before, after) {
		t.Error("a refused step changed the state")
	}
	if AsPatch(&SetNumberedConfig{Number: 9, Doc: []byte("short")}, s.Config()) != nil || AsPatch(&Noop{}, s.Config()) != nil {
		t.Error("shortened for nothing")
	}
}
