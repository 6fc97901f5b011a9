package statemachine

import (
	"fmt"

	"puffincrank/internal/patch"
)

// LevelPatches is the lowest level that supports PatchConfig.
const LevelPatches = 1

// PatchConfig applies a patch to the current configuration document. Its effect is
// that of a SetConfig with the resulting document or, if Number is set, of a
// SetNumberedConfig. Log entries are applied in order from a snapshot, which contains
// the complete document, so no entry needs to contain it again.
type PatchConfig struct {
	Patch     patch.Patch `msgpack:"s"`
	Base      uint64      `msgpack:"b,omitempty"`
	Number    uint64      `msgpack:"n,omitempty"` // the operator's number, or 0 for the next version
	Emergency bool        `msgpack:"e,omitempty"` // see SetConfig
	Who       string      `msgpack:"w"`
	Why       string      `msgpack:"y"`
}

// AsPatch returns a PatchConfig with the same effect as command on the current
// configuration. It returns nil if the patch would be longer than half of the
// document, if command sets no document, or if there is no older version to patch.
func AsPatch(command Command, current Config) *PatchConfig {
	var patched PatchConfig
	var doc []byte
	newVersion := current.Version + 1
	switch command := command.(type) {
	case *SetConfig:
		doc, patched = command.Doc, PatchConfig{Base: command.Base, Emergency: command.Emergency, Who: command.Who, Why: command.Why}
	case *SetNumberedConfig:
		doc, patched = command.Doc, PatchConfig{Number: command.Number, Who: command.Who, Why: command.Why}
		newVersion = command.Number
	default:
		return nil
	}
	if current.Version == 0 || newVersion <= current.Version {
		return nil
	}
	if patched.Patch = patch.Make(current.Version, newVersion, current.Doc, doc); patched.Patch.Size() > len(doc)/2 {
		return nil
	}
	return &patched
}

// Apply sets the configuration. A patch that does not apply to the current document,
// or whose result does not match its digest, changes nothing. All replicas hold the
// same document, so this happens on all of them or on none.
func (c *PatchConfig) Apply(s *State) Result {
	current := s.Config()
	doc, err := c.Patch.Apply(current.Doc)
	// A command that is superseded or based on another version gets the same result
	// as with the complete document, even if the patch does not apply.
	stale := c.Number > 0 && c.Number <= current.Version || c.Number == 0 && c.Base != current.Version
	if err != nil && !stale {
		return Result{Code: Conflict, Version: current.Version, Message: fmt.Sprintf("a step does not fit version %d: %v", current.Version, err)}
	}
	if c.Number > 0 {
		return (&SetNumberedConfig{Number: c.Number, Doc: doc, Who: c.Who, Why: c.Why}).Apply(s)
	}
	return (&SetConfig{Base: c.Base, Emergency: c.Emergency, Doc: doc, Who: c.Who, Why: c.Why}).Apply(s)
}
