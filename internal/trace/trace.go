// Package trace defines the steps of consensus that a replica reports. Only
// the simulator installs an observer: its monitor checks each step against the
// rules of the model (package model). Steps are reported in the order in which
// they happen at a replica, before any other replica can know of them.
package trace

import "puffincrank/internal/ballot"

// Step is one step of a replica.
type Step interface{ step() }

// Observer is called with each step; nil for no observer.
type Observer func(Step)

// Notify reports a step, if there is an observer.
func (o Observer) Notify(s Step) {
	if o != nil {
		o(s)
	}
}

// Opened is reported at the start of a replica, with the state that it has
// applied; Index is 0 for an empty one.
type Opened struct {
	Replica string
	Index   uint64
	Digest  string
	Members []string
}

// Promised is reported when a promise is durable.
type Promised struct {
	Replica string
	Ballot  ballot.Number
}

// Accepted is reported when an accepted entry is durable.
type Accepted struct {
	Replica string
	Ballot  ballot.Number
	Index   uint64
	Digest  string
}

// Elected is reported when a candidate has the votes of a majority.
type Elected struct {
	Replica string
	Ballot  ballot.Number
	Index   uint64 // the newest applied index, after catching up with the voters
	Voters  []string
	Members []string
}

// Proposed is reported before a leader sends an entry to the members.
type Proposed struct {
	Replica string
	Ballot  ballot.Number
	Index   uint64
	Digest  string
}

// Chosen is reported when a leader has counted a majority of acceptors.
type Chosen struct {
	Replica   string
	Ballot    ballot.Number
	Index     uint64
	Digest    string
	Acceptors []string
}

// Applied is reported when an entry is applied, with the members after it.
type Applied struct {
	Replica string
	Index   uint64
	Digest  string
	Members []string
}

// Installed is reported when a snapshot has replaced a replica's state.
type Installed struct {
	Replica string
	Index   uint64
	Digest  string
	Members []string
}

// RoundBegan is reported when a leader starts to ask whether it still leads.
type RoundBegan struct {
	Replica string
	Round   uint64
}

// RoundConfirmed is reported when a majority has confirmed a round; Index is
// what the leader has applied by then.
type RoundConfirmed struct {
	Replica string
	Round   uint64
	Index   uint64
}

// Renamed is reported when a replica that lost its membership takes a new
// identity.
type Renamed struct {
	Replica string // the new identity
	Former  string
}

// Left is reported when a member stops because the others hold everything that
// it has.
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
