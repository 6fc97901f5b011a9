// Package statemachine is the replicated state machine of the control plane's stores:
// the state and the commands that change it. Applying a command is deterministic and
// uses no clock.
package statemachine

import (
	"slices"
	"sort"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/ballot"
	"puffincrank/internal/fault"
)

// Member is a voting store.
type Member struct {
	ID     string `msgpack:"i" json:"id"`
	Addr   string `msgpack:"a" json:"addr"`
	Zone   string `msgpack:"z,omitempty" json:"area,omitempty"`
	Region string `msgpack:"l,omitempty" json:"region,omitempty"` // the region of the zone
}

// Config is one version of the configuration, with who set it and why.
type Config struct {
	Version   uint64 `msgpack:"v" json:"version"`
	Doc       []byte `msgpack:"d" json:"-"`
	Who       string `msgpack:"w" json:"who"`
	Why       string `msgpack:"y" json:"why"`
	Submitted bool   `msgpack:"s,omitempty" json:"-"` // an operator submitted this document as it is
}

// Key is a key of an application, with the revisions that created and last changed it.
type Key struct {
	Value           []byte `msgpack:"v" json:"value"`
	CreatedRevision uint64 `msgpack:"m" json:"made"`
	Revision        uint64 `msgpack:"r" json:"rev"`
}

// Change is one update in the history of keys, as reported to watches.
type Change struct {
	Revision uint64 `msgpack:"r" json:"rev"`
	Name     string `msgpack:"n" json:"key"`
	Value    []byte `msgpack:"v" json:"value,omitempty"`
	Deleted  bool   `msgpack:"g" json:"gone,omitempty"`
}

// Lock is a held lock.
type Lock struct {
	Owner    string `msgpack:"o" json:"owner"`
	Fence    uint64 `msgpack:"f" json:"fence"`
	TTL      int64  `msgpack:"t" json:"ttl_ms"` // in milliseconds
	Renewals uint64 `msgpack:"r" json:"renewals"`
}

// State is the complete replicated state.
type State struct {
	ClusterID      string                   `msgpack:"mesh"`
	Members        []Member                 `msgpack:"members"`
	Configs        []Config                 `msgpack:"configs"`
	Revision       uint64                   `msgpack:"rev"`
	Keys           map[string]Key           `msgpack:"keys"`
	Changes        []Change                 `msgpack:"past"`
	OldestRevision uint64                   `msgpack:"oldest"` // the lowest revision whose change is retained
	Locks          map[string]Lock          `msgpack:"locks"`
	Fence          uint64                   `msgpack:"fence"`
	Numbers        map[string]uint64        `msgpack:"numbers"`
	Roles          map[string]ballot.Number `msgpack:"duties"`
	Trials         []Trial                  `msgpack:"trials"`
	TrialsBegun    uint64                   `msgpack:"tries"`
	WantedMembers  int                      `msgpack:"want,omitempty"` // the target number of voters, see VoterCount
	GroupKeys      map[string]GroupKey      `msgpack:"cells"`
	Groups         map[string]Group         `msgpack:"groups"`
	Puts           []Put                    `msgpack:"puts"`
	CompactedPuts  uint64                   `msgpack:"trimmed"` // the number of puts that are no longer retained

	Requests          []AnsweredRequest `msgpack:"requests,omitempty"`  // operators' requests that took effect, oldest first
	CompactedRequests uint64            `msgpack:"forgotten,omitempty"` // the number of answered requests that are no longer retained
	Level             int               `msgpack:"level,omitempty"`     // the command level in use, see RaiseLevel

	answerPositions map[string]uint64 // request ID to its position among all requests ever recorded
	putBytes        int               // the size of the retained puts
	firstRevisions  map[string]uint64 // putID to the revision of that put, for retained puts
	putsByGroup     map[string][]Put  // the retained puts by group
}

// maxConfigs bounds the number of retained configurations, and maxConfigBytes their
// total size, because every snapshot contains them in full. The newest one and the
// newest that an operator submitted are retained whatever their size.
const (
	maxConfigs     = 64
	maxConfigBytes = 1 << 20
)

// New returns the initial state of a newly founded cluster.
func New(clusterID string, members []Member) *State {
	return &State{ClusterID: clusterID, Members: members, OldestRevision: 1, Keys: map[string]Key{}, Locks: map[string]Lock{},
		Numbers: map[string]uint64{}, Roles: map[string]ballot.Number{}, GroupKeys: map[string]GroupKey{}, Groups: map[string]Group{},
		firstRevisions: map[string]uint64{}, putsByGroup: map[string][]Put{}, answerPositions: map[string]uint64{}}
}

// Load decodes the state from a snapshot. It refuses a state whose command level this
// program does not support, because it may contain data that would be lost here.
func Load(encoded []byte) (*State, error) {
	state := New("", nil)
	if err := msgpack.Unmarshal(encoded, state); err != nil {
		return nil, fault.Wrap(fault.Stale, err, "read checkpoint")
	}
	if state.Level > Level {
		return nil, fault.New(fault.Input, "the state needs a program of level %d, this one is of %d", state.Level, Level)
	}
	for _, p := range state.Puts {
		state.indexPut(p)
	}
	for i, a := range state.Requests {
		state.answerPositions[a.ID] = state.CompactedRequests + uint64(i)
	}
	return state, nil
}

// Pack encodes the state for a snapshot. Map keys are sorted, so that equal states
// give equal bytes.
func (s *State) Pack() ([]byte, error) {
	encoded, err := encodeSorted(s)
	return encoded, fault.Wrap(fault.Input, err, "encode snapshot")
}

// Config returns the current configuration. Version 0 means that there is none yet.
func (s *State) Config() Config {
	if len(s.Configs) == 0 {
		return Config{}
	}
	return s.Configs[len(s.Configs)-1]
}

// setNextConfig makes a document the current configuration under the next version.
func (s *State) setNextConfig(doc []byte, who, why string) Config {
	return s.appendConfig(Config{Version: s.Config().Version + 1, Doc: doc, Who: who, Why: why})
}

// appendConfig adds a configuration and drops the oldest ones beyond maxConfigs and
// maxConfigBytes.
func (s *State) appendConfig(config Config) Config {
	s.Configs = append(s.Configs, config)
	var kept []Config
	totalBytes, foundSubmitted := 0, false
	for i := len(s.Configs) - 1; i >= 0; i-- {
		config := s.Configs[i]
		totalBytes += len(config.Doc)
		required := i == len(s.Configs)-1 || config.Submitted && !foundSubmitted
		if required || totalBytes <= maxConfigBytes && len(kept) < maxConfigs {
			kept = append(kept, config)
		}
		foundSubmitted = foundSubmitted || config.Submitted
	}
	slices.Reverse(kept)
	s.Configs = kept
	return config
}

// NewestSubmitted returns the newest configuration that an operator submitted, or
// false if there is none.
func (s *State) NewestSubmitted() (Config, bool) {
	for i := len(s.Configs) - 1; i >= 0; i-- {
		if s.Configs[i].Submitted {
			return s.Configs[i], true
		}
	}
	return Config{}, false
}

// recordChange updates or deletes a key under the next revision and adds the change to
// the history.
func (s *State) recordChange(name string, value []byte, deleted bool) {
	s.Revision++
	s.Changes = append(s.Changes, Change{Revision: s.Revision, Name: name, Value: value, Deleted: deleted})
	if deleted {
		delete(s.Keys, name)
		return
	}
	key := s.Keys[name]
	if key.CreatedRevision == 0 {
		key.CreatedRevision = s.Revision
	}
	key.Value, key.Revision = value, s.Revision
	s.Keys[name] = key
}

// ChangesFrom returns at most limit changes of keys with a prefix, starting at revision from.
// It returns false if the change at that revision has been compacted.
func (s *State) ChangesFrom(prefix string, from uint64, limit int) ([]Change, bool) {
	if from < s.OldestRevision {
		return nil, false
	}
	var changes []Change
	start := sort.Search(len(s.Changes), func(i int) bool { return s.Changes[i].Revision >= from })
	for _, c := range s.Changes[start:] {
		if len(c.Name) >= len(prefix) && c.Name[:len(prefix)] == prefix {
			changes = append(changes, c)
			if len(changes) == limit {
				break
			}
		}
	}
	return changes, true
}

// KeyNames returns the sorted names of all keys with a prefix.
func (s *State) KeyNames(prefix string) []string {
	var names []string
	for k := range s.Keys {
		if len(k) >= len(prefix) && k[:len(prefix)] == prefix {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	return names
}
