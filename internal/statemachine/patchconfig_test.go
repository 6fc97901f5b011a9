package statemachine

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestPatchMatchesDocument checks that a sequence of configurations sent as patches
// gives the same results and the same state as the complete documents. It includes
// commands that are refused or superseded.
func TestPatchMatchesDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, patched := New("m", nil), New("m", nil)
		rows := make([]int, 80)
		patches := 0
		for n := range rapid.IntRange(2, 30).Draw(t, "changes") {
			rows[rapid.IntRange(0, len(rows)-1).Draw(t, "row")] = n
			var doc bytes.Buffer
			for i, r := range rows {
				fmt.Fprintf(&doc, `{"name":"path-%d","left_ms":%d}`, i, r)
			}
			var original Command = &SetNumberedConfig{Number: whole.Config().Version + rapid.Uint64Range(0, 3).Draw(t, "up"), Doc: doc.Bytes(), Who: "w", Why: "y"}
			if rapid.Bool().Draw(t, "by base") {
				original = &SetConfig{Base: whole.Config().Version - min(whole.Config().Version, rapid.Uint64Range(0, 1).Draw(t, "behind")), Doc: doc.Bytes(), Who: "w", Why: "y"}
			}
			command := original
			if patch := AsPatch(original, patched.Config()); patch != nil {
				packed, err := Pack("config.step", patch)
				if err != nil || len(packed.Body) > doc.Len()/2 {
					t.Fatalf("patch of %d bytes for a document of %d: %v", len(packed.Body), doc.Len(), err)
				}
				if command, err = packed.Unpack(); err != nil {
					t.Fatal(err)
				}
				patches++
			}
			wholeResult, patchedResult := original.Apply(whole), command.Apply(patched)
			if wholeResult.Code != patchedResult.Code || wholeResult.Version != patchedResult.Version {
				t.Fatalf("result of the document is %+v, of the patch %+v", wholeResult, patchedResult)
			}
		}
		wholeState, _ := whole.Pack()
		patchedState, _ := patched.Pack()
		if !bytes.Equal(wholeState, patchedState) {
			t.Fatalf("the states differ after %d patches", patches)
		}
	})
}

// TestMismatchedPatchRefused checks that a patch is refused if it was made from another
// document or if its result does not match its digest.
func TestMismatchedPatchRefused(t *testing.T) {
	doc := func(number int) []byte { return append(bytes.Repeat([]byte(`{"a":1}`), 60), fmt.Sprint(number)...) }
	s := New("m", nil)
	(&SetConfig{Doc: doc(1)}).Apply(s)
	patch := AsPatch(&SetNumberedConfig{Number: 9, Doc: doc(2)}, s.Config())
	if patch == nil {
		t.Fatal("no patch was made")
	}
	(&SetNumberedConfig{Number: 5, Doc: doc(3)}).Apply(s)
	before, _ := s.Pack()
	if result := patch.Apply(s); result.Code != Conflict || result.Version != 5 {
		t.Errorf("patch from another document: %+v", result)
	}
	patch = AsPatch(&SetNumberedConfig{Number: 9, Doc: doc(2)}, s.Config())
	patch.Patch.Digest[0]++
	if result := patch.Apply(s); result.Code != Conflict {
		t.Errorf("patch with another digest: %+v", result)
	}
	if after, _ := s.Pack(); !bytes.Equal(before, after) {
		t.Error("a refused patch changed the state")
	}
	if AsPatch(&SetNumberedConfig{Number: 9, Doc: []byte("short")}, s.Config()) != nil || AsPatch(&Noop{}, s.Config()) != nil {
		t.Error("a patch was made that saves nothing")
	}
}
