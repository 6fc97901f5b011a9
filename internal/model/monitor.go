// Package model checks the consensus protocol. Explore searches the states of a small
// model of it, and Monitor checks the steps that the real code reports against the
// same rules. The package is test support; no product code imports it.
package model

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"puffincrank/internal/ballot"
	"puffincrank/internal/trace"
)

// entry is a log entry that a replica accepted.
type entry struct {
	ballot ballot.Number
	digest string
}

// replica is the state of one identity as its reported steps imply it.
type replica struct {
	promised ballot.Number
	accepted map[uint64]entry
	applied  uint64
}

// vote is what a replica had accepted and applied when it made a promise.
type vote struct {
	accepted map[uint64]entry
	applied  uint64
}

// term is a ballot that won an election.
type term struct {
	leader string
	index  uint64
	voters []string
}

// proposal identifies a log index under a ballot.
type proposal struct {
	ballot ballot.Number
	index  uint64
}

// readRound identifies a round in which a leader asks a majority whether it still
// leads, as it must before a linearizable read.
type readRound struct {
	replica string
	number  uint64
}

// Monitor checks the steps of all replicas of one cluster. Its methods are safe for
// concurrent use.
type Monitor struct {
	mu           sync.Mutex
	replicas     map[string]*replica
	votes        map[ballot.Number]map[string]vote
	terms        map[ballot.Number]term
	proposed     map[proposal]string
	chosen       map[uint64]string    // the digest of the entry chosen at each index
	members      map[uint64][]string  // the membership after each index is applied
	lastChosen   uint64               // the highest index that was chosen
	readRounds   map[readRound]uint64 // lastChosen when each round began
	violations   []string
	trustInitial bool // replicas start from files that predate the monitor
	// Steps counts the checked steps by kind.
	Steps map[string]int
}

// NewMonitor returns a monitor for a cluster that is not formed yet.
func NewMonitor() *Monitor {
	return &Monitor{replicas: map[string]*replica{}, votes: map[ballot.Number]map[string]vote{}, terms: map[ballot.Number]term{},
		proposed: map[proposal]string{}, chosen: map[uint64]string{}, members: map[uint64][]string{}, readRounds: map[readRound]uint64{}, Steps: map[string]int{}}
}

// Violations describes the first 20 steps that the rules do not allow.
func (m *Monitor) Violations() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.violations)
}

// TrustInitialState makes the monitor accept the state that replicas start with as chosen, until
// the first election. It serves replicas whose files were written before the monitor
// started.
func (m *Monitor) TrustInitialState() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trustInitial = true
}

func (m *Monitor) addViolation(format string, a ...any) {
	if len(m.violations) < 20 {
		m.violations = append(m.violations, fmt.Sprintf(format, a...))
	}
}

// Observe checks one step. The steps of a replica must arrive in the order in which the
// replica took them.
func (m *Monitor) Observe(s trace.Step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Steps[strings.TrimPrefix(fmt.Sprintf("%T", s), "trace.")]++
	switch s := s.(type) {
	case trace.Opened:
		m.checkState(s.Replica, s.Index, s.Digest, s.Members)
	case trace.Promised:
		m.checkPromised(s)
	case trace.Accepted:
		m.checkAccepted(s)
	case trace.Elected:
		m.checkElected(s)
	case trace.Proposed:
		m.checkProposed(s)
	case trace.Chosen:
		m.checkChosen(s)
	case trace.Applied:
		m.checkApplied(s)
	case trace.Installed:
		m.checkState(s.Replica, s.Index, s.Digest, s.Members)
	case trace.RoundBegan:
		m.readRounds[readRound{s.Replica, s.Round}] = m.lastChosen
	case trace.RoundConfirmed:
		m.checkReadRound(s)
	case trace.Renamed:
		old := m.replica(s.Former)
		m.replica(s.Replica).applied = old.applied
		old.applied = 0
	case trace.Left:
		m.checkLeft(s)
	}
}

func (m *Monitor) replica(id string) *replica {
	r := m.replicas[id]
	if r == nil {
		r = &replica{accepted: map[uint64]entry{}}
		m.replicas[id] = r
	}
	return r
}
