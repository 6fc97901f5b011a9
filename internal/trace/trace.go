// Package trace names the steps of the agreement, as a replica takes them. A
// process is given an observer only by the simulator, whose monitor checks each
// step against the rules of the model (package model). Steps are told in the order
// in which they happen at a replica, before anybody else can know of them.
package trace

import "puffincrank/internal/ballot"

// Step is one step of a replica.
type Step interface{ step() }

// Observer is told of steps; nil for none.
type Observer func(Step)

// Notify tells a step, if anybody listens.
func (o Observer) Notify(s Step) {
	if o != nil {
		o(s)
	}
}

// Opened is a replica that starts, with what it has applied; Slot is 0 for an
// empty one.
type Opened struct {
	Replica string
	Index   uint64
	Digest  string
	Members []string
}

// Promised is a promise that is durable.
type Promised struct {
	Replica string
	Ballot  ballot.Number
}

// Accepted is an entry that is accepted and durable.
type Accepted struct {
	Replica string
	Ballot  ballot.Number
	Index   uint64
	Digest  string
}

// Elected is a replica that counts the votes of a majority.
type Elected struct {
	Replica string
	Ballot  ballot.Number
	Index   uint64 // what it has applied, after catching up with its voters
	Voters  []string
	Members []string
}

// Proposed is an entry that a leader asks the members to accept.
type Proposed struct {
	Replica string
	Ballot  ballot.Number
	Index   uint64
	Digest  string
}

// Chosen is an entry that a leader saw accepted by a majority.
type Chosen struct {
	Replica   string
	Ballot    ballot.Number
	Index     uint64
	Digest    string
	Acceptors []string
}

// Applied is an entry that a replica applied, and the members after it.
type Applied struct {
	Replica string
	Index   uint64
	Digest  string
	Members []string
}

// Installed is a snapshot that took the place of a replica's state.
type Installed struct {
	Replica string
	Index   uint64
	Digest  string
	Members []string
}

// RoundBegan is a leader that begins to ask whether it still leads.
type RoundBegan struct {
	Replica string
	Round   uint64
}

// RoundConfirmed is a round that a majority confirmed; Slot is what the leader
// has applied then.
type RoundConfirmed struct {
	Replica string
	Round   uint64
	Index   uint64
}

// Renamed is a replica that lost its place and takes up a new identity.
type Renamed struct {
	Replica string // the new one
	Former  string
}

// Left is a member that ended because the others hold all that it has.
type Left struct{ Replica string }

func (Opened) step()         {}
func (Promised) step()       {}
func (Accepted) step()       {}
func (Elected) step()        {}
func (Proposed) step()       {}
func (Chosen) step()         {}
func (Applied) step()        {}
func (Installed) step()      {}
func (RoundBegan) step()     {}
func (RoundConfirmed) step() {}
func (Renamed) step()        {}
func (Left) step()           {}
