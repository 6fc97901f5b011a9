package statemachine

import (
	"fmt"

	"puffincrank/internal/ballot"
)

// SetConfig puts a whole new configuration in force.
type SetConfig struct {
	Base      uint64 `msgpack:"b"`
	Emergency bool   `msgpack:"n"` // an emergency: running trials end with it
	Doc       []byte `msgpack:"d"`
	Who       string `msgpack:"w"`
	Why       string `msgpack:"y"`
}

// Apply sets the configuration if its base is what stands. Running trials end
// with an emergency: they compared paths of a document that is gone.
func (c *SetConfig) Apply(s *State) Result {
	now := s.Config()
	if c.Base != now.Version {
		return Result{Code: Conflict, Version: now.Version, Message: fmt.Sprintf("based on version %d, but %d stands", c.Base, now.Version)}
	}
	for _, t := range s.Trials {
		if t.State == Running && !c.Emergency {
			return Result{Code: Conflict, Version: now.Version, Message: fmt.Sprintf("trial %d runs: wait, abort it, or apply as an emergency", t.ID)}
		}
	}
	return s.setWhole(Config{Version: now.Version + 1, Doc: c.Doc, Who: c.Who, Why: c.Why})
}

// setWhole puts a document in force as it was sent; running trials end.
func (s *State) setWhole(c Config) Result {
	c.Sent = true
	s.putConfig(c)
	for i := range s.Trials {
		if s.Trials[i].State == Running {
			s.Trials[i].State, s.Trials[i].Why = Dropped, "a whole configuration took its place"
			s.Trials[i].End = c.Version
		}
	}
	return Result{Code: OK, Version: c.Version}
}

// SetNumberedConfig puts a whole configuration in force under the operator's own
// number, if that is above the version that stands.
type SetNumberedConfig struct {
	Number uint64 `msgpack:"n"`
	Doc    []byte `msgpack:"d"`
	Who    string `msgpack:"w"`
	Why    string `msgpack:"y"`
}

// Apply sets the configuration if its number is the highest. One that is not
// is acknowledged all the same: it is overtaken, or was sent again.
func (c *SetNumberedConfig) Apply(s *State) Result {
	if now := s.Config().Version; c.Number <= now {
		return Result{Code: OK, Version: now, Message: "not above the version that stands"}
	}
	return s.setWhole(Config{Version: c.Number, Doc: c.Doc, Who: c.Who, Why: c.Why})
}

// The states of a trial.
const (
	Running  = "running"
	Promoted = "promoted"
	HeldBack = "held-back"
	Dropped  = "dropped"
)

// Trial is a change of paths that is tried on a slice of the traffic. Its
// paths stand beside the old ones in the configuration in force.
type Trial struct {
	ID          uint64   `msgpack:"i" json:"id"`
	State       string   `msgpack:"s" json:"state"`
	Routes      []string `msgpack:"p" json:"paths"`
	Slice       float64  `msgpack:"l" json:"slice"`
	Begin       uint64   `msgpack:"b" json:"begin_version"`
	End         uint64   `msgpack:"e" json:"end_version,omitempty"`
	Who         string   `msgpack:"w" json:"who"`
	Why         string   `msgpack:"y" json:"why,omitempty"`
	Statistics  []byte   `msgpack:"f" json:"-"`
	PromotedDoc []byte   `msgpack:"n" json:"-"` // the document if it is promoted
}

// Propose begins a trial: Doc is the configuration with both arms in it, and
// names the trial by ID.
type Propose struct {
	ID          uint64   `msgpack:"i"`
	Base        uint64   `msgpack:"b"`
	Doc         []byte   `msgpack:"d"`
	Routes      []string `msgpack:"p"`
	Slice       float64  `msgpack:"l"`
	Who         string   `msgpack:"w"`
	PromotedDoc []byte   `msgpack:"n"`
}

// Apply begins the trial as a new version.
func (c *Propose) Apply(s *State) Result {
	now := s.Config()
	if c.Base != now.Version {
		return Result{Code: Conflict, Version: now.Version, Message: fmt.Sprintf("based on version %d, but %d stands", c.Base, now.Version)}
	}
	for _, t := range s.Trials {
		if t.State == Running && overlap(t.Routes, c.Routes) {
			return Result{Code: Conflict, Version: now.Version, Message: fmt.Sprintf("trial %d runs on the same path", t.ID)}
		}
	}
	// The document names the trial, so it must be the next one.
	if c.ID != s.TrialsBegun+1 {
		return Result{Code: Conflict, Version: now.Version, Message: "another trial was proposed"}
	}
	s.TrialsBegun++
	got := s.setConfig(c.Doc, c.Who, fmt.Sprintf("trial %d proposed", s.TrialsBegun))
	s.Trials = append(s.Trials, Trial{ID: s.TrialsBegun, State: Running, Routes: c.Routes, Slice: c.Slice,
		Begin: got.Version, Who: c.Who, PromotedDoc: c.PromotedDoc})
	if len(s.Trials) > maxConfigs {
		s.Trials = append([]Trial(nil), s.Trials[len(s.Trials)-maxConfigs:]...)
	}
	return Result{Code: OK, Version: got.Version, Number: s.TrialsBegun}
}

func overlap(a, b []string) bool {
	for _, x := range a {
		for _, y := range b {
			if x == y {
				return true
			}
		}
	}
	return false
}

// Decide ends a trial by the judge's word: Doc is the configuration after it.
type Decide struct {
	ID         uint64        `msgpack:"i"`
	Ballot     ballot.Number `msgpack:"n"`
	Base       uint64        `msgpack:"b"`
	Doc        []byte        `msgpack:"d"`
	State      string        `msgpack:"s"`
	Why        string        `msgpack:"y"`
	Who        string        `msgpack:"w"`
	Statistics []byte        `msgpack:"f"`
}

// Apply ends the trial once; a second decision finds it ended.
func (c *Decide) Apply(s *State) Result {
	// An operator's abort carries no ballot and is not fenced.
	if c.Ballot.Round > 0 {
		if r := s.fenceRole("judge", c.Ballot); r.Code != OK {
			return r
		}
	}
	now := s.Config()
	if c.Base != now.Version {
		return Result{Code: Conflict, Version: now.Version, Message: "another version stands"}
	}
	for i := range s.Trials {
		t := &s.Trials[i]
		if t.ID != c.ID {
			continue
		}
		if t.State != Running {
			return Result{Code: Conflict, Version: now.Version, Message: "the trial has ended: " + t.State}
		}
		got := s.setConfig(c.Doc, c.Who, fmt.Sprintf("trial %d %s: %s", c.ID, c.State, c.Why))
		t.State, t.Why, t.Statistics, t.End = c.State, c.Why, c.Statistics, got.Version
		return Result{Code: OK, Version: got.Version}
	}
	return Result{Code: NotFound, Message: "no such trial"}
}
