// Package model checks the agreement: Explore searches all states of a small
// model of it, and Monitor checks the recorded steps of the real code against the
// same rules. It is test support; no product code imports it.
package model

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"puffincrank/internal/ballot"
	"puffincrank/internal/trace"
)

// entry is an accepted entry.
type entry struct {
	ballot ballot.Number
	sum    string
}

// replica is what the monitor knows of one identity.
type replica struct {
	promised ballot.Number
	accepted map[uint64]entry
	applied  uint64
}

// vote is what a replica had accepted when it gave a promise.
type vote struct {
	accepted map[uint64]entry
	applied  uint64
}

// term is a ballot that was won.
type term struct {
	leader string
	slot   uint64
	voters []string
}

// proposal names a slot under a ballot.
type proposal struct {
	ballot ballot.Number
	slot   uint64
}

// round names a leader's question whether it still leads.
type round struct {
	replica string
	number  uint64
}

// Monitor checks the steps of all replicas of one cluster. It may be told by many
// goroutines.
type Monitor struct {
	mu       sync.Mutex
	replicas map[string]*replica
	votes    map[ballot.Number]map[string]vote
	terms    map[ballot.Number]term
	proposed map[proposal]string
	chosen   map[uint64]string   // the identity of each slot's entry
	members  map[uint64][]string // the members after each slot
	newest   uint64              // the highest slot that was chosen
	rounds   map[round]uint64    // what was chosen when a round began
	faults   []string
	adopting bool // replicas start from files that were written before
	// Steps counts what was checked, by kind.
	Steps map[string]int
}

// NewMonitor makes a monitor of a cluster that is not founded yet.
func NewMonitor() *Monitor {
	return &Monitor{replicas: map[string]*replica{}, votes: map[ballot.Number]map[string]vote{}, terms: map[ballot.Number]term{},
		proposed: map[proposal]string{}, chosen: map[uint64]string{}, members: map[uint64][]string{}, rounds: map[round]uint64{}, Steps: map[string]int{}}
}

// Faults lists the steps that the model does not allow.
func (m *Monitor) Faults() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.faults)
}

// Adopt makes the monitor take what replicas start with for chosen, until the
// first of them is elected: their files were written before it could see.
func (m *Monitor) Adopt() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.adopting = true
}

func (m *Monitor) fault(format string, a ...any) {
	if len(m.faults) < 20 {
		m.faults = append(m.faults, fmt.Sprintf(format, a...))
	}
}

// Tell checks one step.
func (m *Monitor) Tell(s trace.Step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Steps[strings.TrimPrefix(fmt.Sprintf("%T", s), "trace.")]++
	switch s := s.(type) {
	case trace.Opened:
		m.hold(s.Replica, s.Index, s.Digest, s.Members)
	case trace.Promised:
		m.promised(s)
	case trace.Accepted:
		m.accepted(s)
	case trace.Elected:
		m.elected(s)
	case trace.Proposed:
		m.proposes(s)
	case trace.Chosen:
		m.choose(s)
	case trace.Applied:
		m.applied(s)
	case trace.Installed:
		m.hold(s.Replica, s.Index, s.Digest, s.Members)
	case trace.RoundBegan:
		m.rounds[round{s.Replica, s.Round}] = m.newest
	case trace.RoundConfirmed:
		m.confirmed(s)
	case trace.Renamed:
		old := m.of(s.Former)
		m.of(s.Replica).applied = old.applied
		old.applied = 0
	case trace.Left:
		m.left(s)
	}
}

func (m *Monitor) of(id string) *replica {
	r := m.replicas[id]
	if r == nil {
		r = &replica{accepted: map[uint64]entry{}}
		m.replicas[id] = r
	}
	return r
}
