package store

import (
	"puffincrank/internal/patch"
	"puffincrank/internal/statemachine"
)

// withPatch replaces the document in the result of a configuration read by the
// patch from the version that the reader has, if both versions are kept and
// the patch is less than half of the document's size. All registries read from
// the same version, so only the newest patch is cached. mu is held.
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
		result.Doc, result.Patches = nil, []patch.Patch{s.lastPatch}
	}
	return result
}
