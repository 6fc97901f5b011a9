// Package statemachine is the state that the stores agree on, and the commands that
// change it. Commands are types with Apply: deterministic, without clocks.
package statemachine

import (
	"slices"
	"sort"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/ballot"
	"puffincrank/internal/fault"
)

// Member is one store that votes.
type Member struct {
	ID     string `msgpack:"i" json:"id"`
	Addr   string `msgpack:"a" json:"addr"`
	Zone   string `msgpack:"z,omitempty" json:"area,omitempty"`
	Region string `msgpack:"l,omitempty" json:"region,omitempty"` // the region of the area
}

// Config is one version of the configuration and why it stands.
type Config struct {
	Version uint64 `msgpack:"v" json:"version"`
	Doc     []byte `msgpack:"d" json:"-"`
	Who     string `msgpack:"w" json:"who"`
	Why     string `msgpack:"y" json:"why"`
	Sent    bool   `msgpack:"s,omitempty" json:"-"` // the document stands as an operator sent it
}

// Key is one small key.
type Key struct {
	Value           []byte `msgpack:"v" json:"value"`
	CreatedRevision uint64 `msgpack:"m" json:"made"`
	Revision        uint64 `msgpack:"r" json:"rev"`
}

// Change is one step in the history of keys, as watches see it.
type Change struct {
	Revision uint64 `msgpack:"r" json:"rev"`
	Name     string `msgpack:"n" json:"key"`
	Value    []byte `msgpack:"v" json:"value,omitempty"`
	Deleted  bool   `msgpack:"g" json:"gone,omitempty"`
}

// Lock is one lock that is held.
type Lock struct {
	Owner    string `msgpack:"o" json:"owner"`
	Fence    uint64 `msgpack:"f" json:"fence"`
	TTL      int64  `msgpack:"t" json:"ttl_ms"`
	Renewals uint64 `msgpack:"r" json:"renewals"`
}

// State is all that the stores agree on.
type State struct {
	ClusterID      string                   `msgpack:"mesh"`
	Members        []Member                 `msgpack:"members"`
	Configs        []Config                 `msgpack:"configs"`
	Revision       uint64                   `msgpack:"rev"`
	Keys           map[string]Key           `msgpack:"keys"`
	Changes        []Change                 `msgpack:"past"`
	OldestRevision uint64                   `msgpack:"oldest"` // the first revision whose change is kept
	Locks          map[string]Lock          `msgpack:"locks"`
	Fence          uint64                   `msgpack:"fence"`
	Numbers        map[string]uint64        `msgpack:"numbers"`
	Roles          map[string]ballot.Number `msgpack:"duties"`
	Trials         []Trial                  `msgpack:"trials"`
	TrialsBegun    uint64                   `msgpack:"tries"`
	WantedMembers  int                      `msgpack:"want,omitempty"` // stores that shall vote; 0 for three
	GroupKeys      map[string]GroupKey      `msgpack:"cells"`
	Groups         map[string]Group         `msgpack:"groups"`
	Puts           []Put                    `msgpack:"puts"`
	CompactedPuts  uint64                   `msgpack:"trimmed"` // puts that are no longer kept

	Requests          []AnsweredRequest `msgpack:"requests,omitempty"`  // operators' requests that were taken, the oldest first
	CompactedRequests uint64            `msgpack:"forgotten,omitempty"` // answered requests that are no longer kept
	Level             int               `msgpack:"level,omitempty"`     // of commands, that every member has known once

	answers        map[string]uint64 // request id to its place in the row of all answered ones
	size           int               // bytes of the puts that are kept
	firstRevisions map[string]uint64 // key and value to the revision that it first got, of the puts kept
	putsByGroup    map[string][]Put  // the puts kept, by group
}

// maxConfigs bounds how many configurations are kept, and maxConfigBytes how many bytes
// they may have together: every snapshot holds them whole. The newest one,
// and the newest that an operator sent, are kept whatever their size.
const (
	maxConfigs     = 64
	maxConfigBytes = 1 << 20
)

// New makes the state of a cluster that was just founded.
func New(mesh string, members []Member) *State {
	return &State{ClusterID: mesh, Members: members, OldestRevision: 1, Keys: map[string]Key{}, Locks: map[string]Lock{},
		Numbers: map[string]uint64{}, Roles: map[string]ballot.Number{}, GroupKeys: map[string]GroupKey{}, Groups: map[string]Group{},
		firstRevisions: map[string]uint64{}, putsByGroup: map[string][]Put{}, answers: map[string]uint64{}}
}

// Load reads a state from a snapshot. One that was raised to a level of commands
// that this program does not know is refused: it may hold what would be lost here.
func Load(b []byte) (*State, error) {
	s := New("", nil)
	if err := msgpack.Unmarshal(b, s); err != nil {
		return nil, fault.Wrap(fault.Stale, err, "read checkpoint")
	}
	if s.Level > Level {
		return nil, fault.New(fault.Input, "the state needs a program of level %d, this one is of %d", s.Level, Level)
	}
	for _, p := range s.Puts {
		s.index(p)
	}
	for i, a := range s.Requests {
		s.answers[a.ID] = s.CompactedRequests + uint64(i)
	}
	return s, nil
}

// Pack writes the state for a snapshot; maps are sorted, so that equal
// states give equal bytes.
func (s *State) Pack() ([]byte, error) {
	b, err := packed(s)
	return b, fault.Wrap(fault.Input, err, "pack checkpoint")
}

// Config gives the configuration in force; version 0 means none yet.
func (s *State) Config() Config {
	if len(s.Configs) == 0 {
		return Config{}
	}
	return s.Configs[len(s.Configs)-1]
}

func (s *State) setConfig(doc []byte, who, why string) Config {
	return s.putConfig(Config{Version: s.Config().Version + 1, Doc: doc, Who: who, Why: why})
}

// putConfig adds a version and drops the oldest that there is no room for.
func (s *State) putConfig(c Config) Config {
	s.Configs = append(s.Configs, c)
	var keep []Config
	size, sent := 0, false
	for i := len(s.Configs) - 1; i >= 0; i-- {
		c := s.Configs[i]
		size += len(c.Doc)
		need := i == len(s.Configs)-1 || c.Sent && !sent
		if need || size <= maxConfigBytes && len(keep) < maxConfigs {
			keep = append(keep, c)
		}
		sent = sent || c.Sent
	}
	slices.Reverse(keep)
	s.Configs = keep
	return c
}

// NewestSent gives the newest document that an operator sent, false when there is none.
func (s *State) NewestSent() (Config, bool) {
	for i := len(s.Configs) - 1; i >= 0; i-- {
		if s.Configs[i].Sent {
			return s.Configs[i], true
		}
	}
	return Config{}, false
}

func (s *State) change(name string, value []byte, gone bool) {
	s.Revision++
	s.Changes = append(s.Changes, Change{Revision: s.Revision, Name: name, Value: value, Deleted: gone})
	if gone {
		delete(s.Keys, name)
		return
	}
	k := s.Keys[name]
	if k.CreatedRevision == 0 {
		k.CreatedRevision = s.Revision
	}
	k.Value, k.Revision = value, s.Revision
	s.Keys[name] = k
}

// ChangesFrom gives the changes of a prefix from a revision on, at most most; false
// means that the history no longer reaches back so far.
func (s *State) ChangesFrom(prefix string, from uint64, most int) ([]Change, bool) {
	if from < s.OldestRevision {
		return nil, false
	}
	var out []Change
	at := sort.Search(len(s.Changes), func(i int) bool { return s.Changes[i].Revision >= from })
	for _, c := range s.Changes[at:] {
		if len(c.Name) >= len(prefix) && c.Name[:len(prefix)] == prefix {
			out = append(out, c)
			if len(out) == most {
				break
			}
		}
	}
	return out, true
}

// KeyNames lists the keys of a prefix in order.
func (s *State) KeyNames(prefix string) []string {
	var out []string
	for k := range s.Keys {
		if len(k) >= len(prefix) && k[:len(prefix)] == prefix {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}
