package statemachine

import (
	"fmt"

	"puffincrank/internal/ballot"
)

// SetConfig replaces the configuration with a complete document.
type SetConfig struct {
	Base      uint64 `msgpack:"b"`
	Emergency bool   `msgpack:"n"` // emergency: accepted while trials run, and drops them
	Doc       []byte `msgpack:"d"`
	Who       string `msgpack:"w"`
	Why       string `msgpack:"y"`
}

// Apply sets the configuration if Base is the current version. While a trial runs,
// only an emergency change is accepted; it drops the running trials, because they
// compare routes of a document that is no longer in force.
func (c *SetConfig) Apply(s *State) Result {
	current := s.Config()
	if c.Base != current.Version {
		return Result{Code: Conflict, Version: current.Version, Message: fmt.Sprintf("based on version %d, but %d stands", c.Base, current.Version)}
	}
	for _, t := range s.Trials {
		if t.State == Running && !c.Emergency {
			return Result{Code: Conflict, Version: current.Version, Message: fmt.Sprintf("trial %d runs: wait, abort it, or apply as an emergency", t.ID)}
		}
	}
	return s.replaceConfig(Config{Version: current.Version + 1, Doc: c.Doc, Who: c.Who, Why: c.Why})
}

// replaceConfig makes a submitted document the current configuration and drops all
// running trials.
func (s *State) replaceConfig(config Config) Result {
	config.Submitted = true
	s.appendConfig(config)
	for i := range s.Trials {
		if s.Trials[i].State == Running {
			s.Trials[i].State, s.Trials[i].Why = Dropped, "a whole configuration took its place"
			s.Trials[i].End = config.Version
		}
	}
	return Result{Code: OK, Version: config.Version}
}

// SetNumberedConfig replaces the configuration with a complete document, whose
// version is a number chosen by the operator.
type SetNumberedConfig struct {
	Number uint64 `msgpack:"n"`
	Doc    []byte `msgpack:"d"`
	Who    string `msgpack:"w"`
	Why    string `msgpack:"y"`
}

// Apply sets the configuration if its number is higher than the current version. A
// lower or equal number is acknowledged without effect: the document has been
// superseded, or the request is a retry.
func (c *SetNumberedConfig) Apply(s *State) Result {
	if current := s.Config().Version; c.Number <= current {
		return Result{Code: OK, Version: current, Message: "not above the version that stands"}
	}
	return s.replaceConfig(Config{Version: c.Number, Doc: c.Doc, Who: c.Who, Why: c.Why})
}

// The states of a trial.
const (
	Running  = "running"
	Promoted = "promoted"
	HeldBack = "held-back"
	Dropped  = "dropped"
)

// Trial is a change of routes that is tested on a slice of the traffic. While it
// runs, the current configuration contains both the old and the new routes.
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
	PromotedDoc []byte   `msgpack:"n" json:"-"` // the document that takes effect on promotion
}

// Propose starts a trial. Doc is the configuration with both arms and refers to the
// trial by ID.
type Propose struct {
	ID          uint64   `msgpack:"i"`
	Base        uint64   `msgpack:"b"`
	Doc         []byte   `msgpack:"d"`
	Routes      []string `msgpack:"p"`
	Slice       float64  `msgpack:"l"`
	Who         string   `msgpack:"w"`
	PromotedDoc []byte   `msgpack:"n"`
}

// Apply starts the trial and makes Doc the next configuration version. It is refused
// while a running trial covers one of the same routes.
func (c *Propose) Apply(s *State) Result {
	current := s.Config()
	if c.Base != current.Version {
		return Result{Code: Conflict, Version: current.Version, Message: fmt.Sprintf("based on version %d, but %d stands", c.Base, current.Version)}
	}
	for _, t := range s.Trials {
		if t.State == Running && overlap(t.Routes, c.Routes) {
			return Result{Code: Conflict, Version: current.Version, Message: fmt.Sprintf("trial %d runs on the same path", t.ID)}
		}
	}
	// Doc already contains the trial ID, so it must be the next free one.
	if c.ID != s.TrialsBegun+1 {
		return Result{Code: Conflict, Version: current.Version, Message: "another trial was proposed"}
	}
	s.TrialsBegun++
	config := s.setNextConfig(c.Doc, c.Who, fmt.Sprintf("trial %d proposed", s.TrialsBegun))
	s.Trials = append(s.Trials, Trial{ID: s.TrialsBegun, State: Running, Routes: c.Routes, Slice: c.Slice,
		Begin: config.Version, Who: c.Who, PromotedDoc: c.PromotedDoc})
	if len(s.Trials) > maxConfigs {
		s.Trials = append([]Trial(nil), s.Trials[len(s.Trials)-maxConfigs:]...)
	}
	return Result{Code: OK, Version: config.Version, Number: s.TrialsBegun}
}

func overlap(first, second []string) bool {
	for _, x := range first {
		for _, y := range second {
			if x == y {
				return true
			}
		}
	}
	return false
}

// Decide ends a trial with the decision of the judge or an operator's abort. Doc is
// the configuration without the trial.
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

// Apply ends the trial. A second decision on the same trial is a conflict.
func (c *Decide) Apply(s *State) Result {
	// An operator's abort carries no ballot and is not fenced.
	if c.Ballot.Round > 0 {
		if fenced := s.fenceRole("judge", c.Ballot); fenced.Code != OK {
			return fenced
		}
	}
	current := s.Config()
	if c.Base != current.Version {
		return Result{Code: Conflict, Version: current.Version, Message: "another version stands"}
	}
	for i := range s.Trials {
		trial := &s.Trials[i]
		if trial.ID != c.ID {
			continue
		}
		if trial.State != Running {
			return Result{Code: Conflict, Version: current.Version, Message: "the trial has ended: " + trial.State}
		}
		config := s.setNextConfig(c.Doc, c.Who, fmt.Sprintf("trial %d %s: %s", c.ID, c.State, c.Why))
		trial.State, trial.Why, trial.Statistics, trial.End = c.State, c.Why, c.Statistics, config.Version
		return Result{Code: OK, Version: config.Version}
	}
	return Result{Code: NotFound, Message: "no such trial"}
}
