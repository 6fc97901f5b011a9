package store

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"puffincrank/internal/patch"
	"puffincrank/internal/statemachine"
)

// TestConfigReadReturnsPatch: a reader that has a kept version gets the patch
// from there, if it accepts patches and the patch is small enough; all others
// get the whole document.
func TestConfigReadReturnsPatch(t *testing.T) {
	doc := func(change int) []byte {
		var rows []string
		for i := range 200 {
			rows = append(rows, fmt.Sprintf(`{"name":"p%d","left":%d}`, i, i/max(change, 1)))
		}
		return []byte(strings.Join(rows, ","))
	}
	s := &Store{state: statemachine.New("m", nil)}
	docs := [][]byte{doc(1), append(doc(1), `,{"name":"more"}`...), doc(7)}
	for i, encoded := range docs {
		(&statemachine.SetConfig{Base: uint64(i), Doc: encoded}).Apply(s.state)
	}
	document := patch.NewDocument(4)
	for i, c := range []struct {
		request  ReadRequest
		versions int // how many versions are kept
		patched  bool
	}{
		{ReadRequest{Kind: "config", From: 1, AcceptsPatch: true}, 2, true},
		{ReadRequest{Kind: "config", From: 1}, 2, false},
		{ReadRequest{Kind: "config", AcceptsPatch: true}, 2, false},
		{ReadRequest{Kind: "config", From: 9, AcceptsPatch: true}, 2, false},
		{ReadRequest{Kind: "config", From: 2, AcceptsPatch: true}, 3, false}, // most rows differ
		{ReadRequest{Kind: "config", From: 1, AcceptsPatch: true}, 2, true},
	} {
		state := *s.state
		state.Configs = s.state.Configs[:c.versions]
		reader := &Store{state: &state, lastPatch: s.lastPatch}
		result := reader.withPatch(c.request, state.Read("config", "", c.request.From))
		s.lastPatch = reader.lastPatch
		if c.request.From > uint64(c.versions) {
			continue
		}
		if got := len(result.Patches) > 0; got != c.patched || got == (result.Doc != nil) {
			t.Errorf("%d: got a patch: %v, got the whole document: %v", i, got, result.Doc != nil)
		}
		if c.patched {
			document.Set(1, docs[0], nil)
			if got, ok := document.Build(result.Patches); !ok || !bytes.Equal(got, docs[1]) {
				t.Errorf("%d: the patch does not give the new document", i)
			}
		}
	}
}
