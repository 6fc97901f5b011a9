package store

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"puffincrank/internal/patch"
	"puffincrank/internal/statemachine"
)

// TestStepped: who polls with an entry that is kept gets the step from there,
// if it takes steps and the step is worth it; all others get the whole.
func TestStepped(t *testing.T) {
	doc := func(change int) []byte {
		var rows []string
		for i := range 200 {
			rows = append(rows, fmt.Sprintf(`{"name":"p%d","left":%d}`, i, i/max(change, 1)))
		}
		return []byte(strings.Join(rows, ","))
	}
	s := &Store{state: statemachine.New("m", nil)}
	docs := [][]byte{doc(1), append(doc(1), `,{"name":"more"}`...), doc(7)}
	for i, d := range docs {
		(&statemachine.SetConfig{Base: uint64(i), Doc: d}).Apply(s.state)
	}
	held := patch.NewDocument(4)
	for i, c := range []struct {
		q    ReadRequest
		at   int // how many entries are there
		step bool
	}{
		{ReadRequest{Kind: "config", From: 1, AcceptsPatch: true}, 2, true},
		{ReadRequest{Kind: "config", From: 1}, 2, false},
		{ReadRequest{Kind: "config", AcceptsPatch: true}, 2, false},
		{ReadRequest{Kind: "config", From: 9, AcceptsPatch: true}, 2, false},
		{ReadRequest{Kind: "config", From: 2, AcceptsPatch: true}, 3, false}, // most rows differ
		{ReadRequest{Kind: "config", From: 1, AcceptsPatch: true}, 2, true},
	} {
		led := *s.state
		led.Configs = s.state.Configs[:c.at]
		one := &Store{state: &led, step: s.step}
		r := one.stepped(c.q, led.Read("config", "", c.q.From))
		s.step = one.step
		if c.q.From > uint64(c.at) {
			continue
		}
		if got := len(r.Patches) > 0; got != c.step || got == (r.Doc != nil) {
			t.Errorf("%d: steps %v, whole %v", i, got, r.Doc != nil)
		}
		if c.step {
			held.Set(1, docs[0], nil)
			if got, ok := held.Build(r.Patches); !ok || !bytes.Equal(got, docs[1]) {
				t.Errorf("%d: the steps do not lead there", i)
			}
		}
	}
}
