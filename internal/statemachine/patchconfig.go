package statemachine

import (
	"fmt"

	"puffincrank/internal/patch"
)

// LevelSteps is the level from which on a program knows StepConfig.
const LevelSteps = 1

// PatchConfig puts in force what a step makes of the document that stands: the
// same as a SetConfig or, with a number, a NumberConfig with the whole of it.
// Versions are applied in order from a snapshot, which holds the whole, so
// none is needed between them.
type PatchConfig struct {
	Step   patch.Step `msgpack:"s"`
	Base   uint64     `msgpack:"b,omitempty"`
	Number uint64     `msgpack:"n,omitempty"` // the operator's own; 0: the next one
	Now    bool       `msgpack:"e,omitempty"`
	Who    string     `msgpack:"w"`
	Why    string     `msgpack:"y"`
}

// AsPatch gives the command that does the same as c from the configuration that
// stands, if that is much shorter; nil when it isn't, or c sets no document.
func AsPatch(command Command, current Config) *PatchConfig {
	var patched PatchConfig
	var doc []byte
	newVersion := current.Version + 1
	switch command := command.(type) {
	case *SetConfig:
		doc, patched = command.Doc, PatchConfig{Base: command.Base, Now: command.Now, Who: command.Who, Why: command.Why}
	case *SetNumberedConfig:
		doc, patched = command.Doc, PatchConfig{Number: command.Number, Who: command.Who, Why: command.Why}
		newVersion = command.Number
	default:
		return nil
	}
	if current.Version == 0 || newVersion <= current.Version {
		return nil
	}
	if patched.Step = patch.Make(current.Version, newVersion, current.Doc, doc); patched.Step.Size() > len(doc)/2 {
		return nil
	}
	return &patched
}

// Apply sets the configuration. A step that does not begin at the document that
// stands, or does not end where it says, changes nothing: at every replica, as
// all hold the same.
func (c *PatchConfig) Apply(s *State) Result {
	current := s.Config()
	doc, err := c.Step.Apply(current.Doc)
	// What would be turned away or passed over as a whole is so as a step.
	stale := c.Number > 0 && c.Number <= current.Version || c.Number == 0 && c.Base != current.Version
	if err != nil && !stale {
		return Result{Code: Conflict, Version: current.Version, Message: fmt.Sprintf("a step does not fit version %d: %v", current.Version, err)}
	}
	if c.Number > 0 {
		return (&SetNumberedConfig{Number: c.Number, Doc: doc, Who: c.Who, Why: c.Why}).Apply(s)
	}
	return (&SetConfig{Base: c.Base, Now: c.Now, Doc: doc, Who: c.Who, Why: c.Why}).Apply(s)
}
