package statemachine

import "puffincrank/internal/ballot"

// PutKey sets a key. If If is set, the key's current revision must equal Revision,
// where 0 means that the key must not exist.
type PutKey struct {
	Name     string `msgpack:"n"`
	Value    []byte `msgpack:"v"`
	If       bool   `msgpack:"i"`
	Revision uint64 `msgpack:"r"`
}

// Apply implements Command.
func (c *PutKey) Apply(s *State) Result {
	key := s.Keys[c.Name]
	if c.If && key.Revision != c.Revision {
		return Result{Code: Conflict, Revision: key.Revision, Message: "the key's revision is another"}
	}
	s.recordChange(c.Name, c.Value, false)
	return Result{Code: OK, Revision: s.Revision}
}

// DeleteKey removes a key, under the same optional condition as PutKey.
type DeleteKey struct {
	Name     string `msgpack:"n"`
	If       bool   `msgpack:"i"`
	Revision uint64 `msgpack:"r"`
}

// Apply implements Command.
func (c *DeleteKey) Apply(s *State) Result {
	key, exists := s.Keys[c.Name]
	if !exists {
		return Result{Code: NotFound, Revision: s.Revision, Message: "no such key"}
	}
	if c.If && key.Revision != c.Revision {
		return Result{Code: Conflict, Revision: key.Revision, Message: "the key's revision is another"}
	}
	s.recordChange(c.Name, nil, true)
	return Result{Code: OK, Revision: s.Revision}
}

// CompactChanges drops the history of keys up to and including a revision. The
// leader decides by its own clock which changes are old enough, so that Apply needs
// no clock.
type CompactChanges struct {
	To uint64 `msgpack:"t"`
}

// Apply implements Command.
func (c *CompactChanges) Apply(s *State) Result {
	for len(s.Changes) > 0 && s.Changes[0].Revision <= c.To {
		s.Changes = s.Changes[1:]
	}
	s.Changes = append([]Change(nil), s.Changes...)
	s.OldestRevision = max(s.OldestRevision, c.To+1)
	return Result{Code: OK}
}

// NextNumber increments a named counter and returns its new value.
type NextNumber struct {
	Name string `msgpack:"n"`
}

// Apply implements Command.
func (c *NextNumber) Apply(s *State) Result {
	s.Numbers[c.Name]++
	return Result{Code: OK, Number: s.Numbers[c.Name]}
}

// AcquireLock acquires or renews a lock. If the owner acquires a lock that it already
// holds, the leader first releases it, so that the owner gets a new fencing token; with
// Same, the acquisition is a renewal that keeps the token.
type AcquireLock struct {
	Name      string `msgpack:"n"`
	Owner     string `msgpack:"o"`
	TTL       int64  `msgpack:"t"`
	Renew     bool   `msgpack:"r"` // only renew the acquisition that has the token Fence
	Fence     uint64 `msgpack:"f"`
	KeepFence bool   `msgpack:"s,omitempty"`
}

// Apply acquires the lock if it is free, and renews it if Owner already holds it.
func (c *AcquireLock) Apply(s *State) Result {
	lock, held := s.Locks[c.Name]
	if held && lock.Owner != c.Owner {
		return Result{Code: Conflict, Lock: &lock, Message: "held by another"}
	}
	// A renewal never acquires the lock again: the owner must learn that it lost it.
	if c.Renew && (!held || lock.Fence != c.Fence) {
		return Result{Code: NotFound, Message: "the lock is not held under that fence"}
	}
	if !held {
		s.Fence++
		lock = Lock{Owner: c.Owner, Fence: s.Fence}
	}
	// A renewal never shortens the lease: an owner that does not learn the outcome
	// relies on the time to live that it had before.
	lock.TTL = max(lock.TTL, c.TTL)
	lock.Renewals++
	s.Locks[c.Name] = lock
	return Result{Code: OK, Lock: &lock}
}

// ReleaseLock releases a lock. Fence 0 releases it whatever its fencing token is.
type ReleaseLock struct {
	Name  string `msgpack:"n"`
	Owner string `msgpack:"o"`
	Fence uint64 `msgpack:"f"`
}

// Apply releases the lock if the owner and the fencing token match.
func (c *ReleaseLock) Apply(s *State) Result {
	lock, held := s.Locks[c.Name]
	if !held {
		return Result{Code: NotFound, Message: "not held"}
	}
	if lock.Owner != c.Owner || (c.Fence != 0 && lock.Fence != c.Fence) {
		return Result{Code: Conflict, Lock: &lock, Message: "held by another"}
	}
	delete(s.Locks, c.Name)
	return Result{Code: OK}
}

// ExpireLock releases a lock whose time to live has expired by the leader's clock.
type ExpireLock struct {
	Name     string `msgpack:"n"`
	Fence    uint64 `msgpack:"f"`
	Renewals uint64 `msgpack:"r"`
}

// Apply releases the lock unless it has been renewed or acquired again since the
// leader proposed the command.
func (c *ExpireLock) Apply(s *State) Result {
	lock, held := s.Locks[c.Name]
	if !held || lock.Fence != c.Fence || lock.Renewals != c.Renewals {
		return Result{Code: Conflict}
	}
	delete(s.Locks, c.Name)
	return Result{Code: OK}
}

// FenceRole records the ballot of a role's new holder. Commands that carry a lower
// ballot for that role are refused from then on.
type FenceRole struct {
	Role   string        `msgpack:"d"`
	Ballot ballot.Number `msgpack:"n"`
}

// Apply implements Command.
func (c *FenceRole) Apply(s *State) Result { return s.fenceRole(c.Role, c.Ballot) }

// fenceRole refuses a ballot lower than the one recorded for the role, and records it
// otherwise.
func (s *State) fenceRole(role string, number ballot.Number) Result {
	if number.Less(s.Roles[role]) {
		return Result{Code: Fenced, Message: "the duty " + role + " has passed to " + s.Roles[role].Candidate}
	}
	s.Roles[role] = number
	return Result{Code: OK}
}
