package statemachine

import (
	"fmt"

	"puffincrank/internal/patch"
)

// LevelPatches is the level from which on a program knows StepConfig.
const LevelPatches = 1

// PatchConfig puts in force what a step makes of the document that stands: the
// same as a SetConfig or, with a number, a NumberConfig with the whole of it.
// Versions are applied in order from a snapshot, which holds the whole, so
// none is needed between them.
type PatchConfig struct {
	Step   patch.Patch `msgpack:"s"`
	Base   uint64      `msgpack:"b,omitempty"`
	Number uint64      `msgpack:"n,omitempty"` // the operator's own; 0: the next one
	Now    bool        `msgpack:"e,omitempty"`
	Who    string      `msgpack:"w"`
	Why    string      `msgpack:"y"`
}

// AsPatch gives the command that does the same as c from the configuration that
// stands, if that is much shorter; nil when it isn't, or c sets no document.
func AsPatch(c Command, now Config) *PatchConfig {
	var out PatchConfig
	var doc []byte
	to := now.Version + 1
	switch c := c.(type) {
	case *SetConfig:
		doc, out = c.Doc, PatchConfig{Base: c.Base, Now: c.Emergency, Who: c.Who, Why: c.Why}
	case *SetNumberedConfig:
		doc, out = c.Doc, PatchConfig{Number: c.Number, Who: c.Who, Why: c.Why}
		to = c.Number
	default:
		return nil
	}
	if now.Version == 0 || to <= now.Version {
		return nil
	}
	if out.Step = patch.Make(now.Version, to, now.Doc, doc); out.Step.Size() > len(doc)/2 {
		return nil
	}
	return &out
}

// Apply sets the configuration. A step that does not begin at the document that
// stands, or does not end where it says, changes nothing: at every replica, as
// all hold the same.
func (c *PatchConfig) Apply(s *State) Result {
	now := s.Config()
	doc, err := c.Step.Apply(now.Doc)
	// What would be turned away or passed over as a whole is so as a step.
	old := c.Number > 0 && c.Number <= now.Version || c.Number == 0 && c.Base != now.Version
	if err != nil && !old {
		return Result{Code: Conflict, Version: now.Version, Message: fmt.Sprintf("a step does not fit version %d: %v", now.Version, err)}
	}
	if c.Number > 0 {
		return (&SetNumberedConfig{Number: c.Number, Doc: doc, Who: c.Who, Why: c.Why}).Apply(s)
	}
	return (&SetConfig{Base: c.Base, Emergency: c.Now, Doc: doc, Who: c.Who, Why: c.Why}).Apply(s)
}
