package store

import (
	"puffincrank/internal/patch"
	"puffincrank/internal/statemachine"
)

// withPatch gives a poll the step from the document that the asker has in the
// place of the whole, if both are kept and it is worth it. All registries ask
// for the same one, so the last is kept. mu is held.
func (s *Store) withPatch(request ReadRequest, result statemachine.Result) statemachine.Result {
	if !request.AcceptsPatch || request.Kind != "config" || result.Doc == nil || request.From == 0 {
		return result
	}
	if s.lastPatch.From != request.From || s.lastPatch.To != result.Version {
		var old []byte
		for _, c := range s.state.Configs {
			if c.Version == request.From {
				old = c.Doc
			}
		}
		if old == nil {
			return result
		}
		s.lastPatch = patch.Make(request.From, result.Version, old, result.Doc)
	}
	if s.lastPatch.Size() < len(result.Doc)/2 {
		result.Doc, result.Steps = nil, []patch.Step{s.lastPatch}
	}
	return result
}
