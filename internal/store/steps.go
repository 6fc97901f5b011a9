package store

import (
	"puffincrank/internal/patch"
	"puffincrank/internal/statemachine"
)

// stepped gives a poll the step from the document that the asker has in the
// place of the whole, if both are kept and it is worth it. All registries ask
// for the same one, so the last is kept. mu is held.
func (s *Store) stepped(in ReadRequest, r statemachine.Result) statemachine.Result {
	if !in.AcceptsPatch || in.Kind != "config" || r.Doc == nil || in.From == 0 {
		return r
	}
	if s.step.From != in.From || s.step.To != r.Version {
		var old []byte
		for _, c := range s.state.Configs {
			if c.Version == in.From {
				old = c.Doc
			}
		}
		if old == nil {
			return r
		}
		s.step = patch.Make(in.From, r.Version, old, r.Doc)
	}
	if s.step.Size() < len(r.Doc)/2 {
		r.Doc, r.Patches = nil, []patch.Patch{s.step}
	}
	return r
}
