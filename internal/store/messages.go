package store

import (
	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/paxos"
	"puffincrank/internal/statemachine"
)

// The messages between stores, and from registries to stores. The fields' tags
// are the names on the wire.

// voteRequest is a candidate's request for a member's vote.
type voteRequest struct {
	Ballot    ballot.Number `msgpack:"n"`
	ID        string        `msgpack:"i"`
	Binding   bool          `msgpack:"r"` // false: a pre-vote, which only asks whether the leadership is vacant
	Applied   uint64        `msgpack:"s"` // the newest index that the candidate has applied
	ClusterID string        `msgpack:"m"`
	Addr      string        `msgpack:"a,omitempty"` // of the candidate
}

// voteResponse is a member's vote, with the entries that it has accepted.
type voteResponse struct {
	Granted   bool          `msgpack:"y"`
	ID        string        `msgpack:"i"`
	Promised  ballot.Number `msgpack:"s"`
	NotMember bool          `msgpack:"o"` // the candidate is not a member
	Applied   uint64        `msgpack:"t"`
	Entries   []paxos.Entry `msgpack:"e"`
	Truncated bool          `msgpack:"r,omitempty"` // the voter accepted more entries than listed
}

// acceptRequest is the leader's request to accept an entry.
type acceptRequest struct {
	Entry        paxos.Entry `msgpack:"e"`
	Addr         string      `msgpack:"a"`
	ChosenIndex  uint64      `msgpack:"s"` // all up to this index is chosen
	ChosenDigest []byte      `msgpack:"h"`
	ClusterID    string      `msgpack:"m"`
}

// heartbeatRequest is the leader's heartbeat.
type heartbeatRequest struct {
	Ballot       ballot.Number `msgpack:"n"`
	Addr         string        `msgpack:"a"`
	ChosenIndex  uint64        `msgpack:"s"`
	ChosenDigest []byte        `msgpack:"h"`
	ClusterID    string        `msgpack:"m"`
}

// ack is a response to the leader or from it; each handler sets the fields
// that its sender needs.
type ack struct {
	OK           bool          `msgpack:"y"`
	ID           string        `msgpack:"i"`
	Promised     ballot.Number `msgpack:"s"`
	DiskFailing  bool          `msgpack:"l"`
	Applied      uint64        `msgpack:"t"`
	CommandLevel int           `msgpack:"k,omitempty"` // the highest level of commands that the sender understands
	HeldByOthers bool          `msgpack:"h,omitempty"` // the other members hold all that a leaving member has
	Leaving      bool          `msgpack:"g,omitempty"` // the sender stops soon, and its disk may be lost with it
}

// fetchRequest requests the applied entries after an index, or a snapshot.
type fetchRequest struct {
	After          uint64 `msgpack:"a"`
	PreviousDigest []byte `msgpack:"p"`
	// AcceptsChunks says that the sender can fetch a snapshot in chunks.
	AcceptsChunks bool `msgpack:"k,omitempty"`
}

// fetchResponse returns entries, a whole snapshot, or the header of a snapshot that
// is to be fetched in chunks.
type fetchResponse struct {
	Entries  []paxos.Entry   `msgpack:"e"`
	Snapshot *paxos.Snapshot `msgpack:"c"` // a snapshot small enough for one message
	Header   *snapshotHeader `msgpack:"h,omitempty"`
	Applied  uint64          `msgpack:"t"`
}

// probeRequest asks a store what it holds.
type probeRequest struct {
	ID   string `msgpack:"i"`
	Addr string `msgpack:"a"`
}

// probeResponse reports what a store holds.
type probeResponse struct {
	Empty        bool                  `msgpack:"e"`
	ID           string                `msgpack:"i"`
	ClusterID    string                `msgpack:"m"`
	Members      []statemachine.Member `msgpack:"b"`
	LeaderAddr   string                `msgpack:"h"`
	MayNotFound  bool                  `msgpack:"n,omitempty"` // the sender must not found a cluster
	Zone         string                `msgpack:"z,omitempty"`
	Region       string                `msgpack:"l,omitempty"`
	CommandLevel int                   `msgpack:"k,omitempty"` // the highest level of commands that the sender understands
	Applied      uint64                `msgpack:"s,omitempty"` // the newest index that the sender has applied
}

// genesis is the founding state, which the founder sends to all founders.
type genesis struct {
	ClusterID     string                `msgpack:"m"`
	Members       []statemachine.Member `msgpack:"b"`
	WantedMembers int                   `msgpack:"w,omitempty"`
	CommandLevel  int                   `msgpack:"k,omitempty"` // the level of commands that all founders understand
}

// joinRequest is a learner's report to the leader.
type joinRequest struct {
	ID        string `msgpack:"i"`
	Addr      string `msgpack:"a"`
	ClusterID string `msgpack:"m"`
	Applied   uint64 `msgpack:"s"`
	Zone      string `msgpack:"z,omitempty"`
	Region    string `msgpack:"l,omitempty"`

	CommandLevel int `msgpack:"k,omitempty"` // the highest level of commands that the sender understands
}

// joinResponse is the response to a learner's report.
type joinResponse struct {
	LeaderAddr    string `msgpack:"h"` // the leader, if the receiver is not the leader itself
	Reason        string `msgpack:"s"`
	IsMember      bool   `msgpack:"d"`           // the asking store is a member
	LeaderApplied uint64 `msgpack:"t,omitempty"` // the newest index that the leader has applied
	Applied       uint64 `msgpack:"a,omitempty"` // the newest index that the receiver has applied, leader or not
}

// leaveRequest announces that a member stops, so that a learner can replace
// it.
type leaveRequest struct {
	ID string `msgpack:"i"`
	// KeepsMembership says that the member stays a member, and only asks
	// whether the others hold all that it has.
	KeepsMembership bool `msgpack:"k,omitempty"`
}

// RemoveRequest is an operator's request to remove a store from the members.
type RemoveRequest struct {
	ID      string      `msgpack:"i"`
	Request *RequestKey `msgpack:"o,omitempty"`
}

// vacateRequest announces that the leadership under a ballot is vacant.
type vacateRequest struct {
	Ballot ballot.Number `msgpack:"n"`
}

// ProposeRequest asks the leader to propose a command.
type ProposeRequest struct {
	Command statemachine.Packed `msgpack:"c"`
	// ProposalMarginMS is how long before the call's deadline the command may
	// last be proposed, in ms; 0: up to the deadline.
	ProposalMarginMS int64 `msgpack:"r,omitempty"`
	// Request identifies the operator's request that the command is for, if
	// any.
	Request *RequestKey `msgpack:"o,omitempty"`
}

// RequestKey identifies a request that its sender may retry.
type RequestKey struct {
	ID     string `msgpack:"i"`
	Digest []byte `msgpack:"d"`           // of the content sent under this ID
	Number uint64 `msgpack:"n,omitempty"` // the operator's own number of a configuration
}

// LeaderResponse is the leader's response to a proposal or a read. A store
// that is not the leader does nothing and sets LeaderAddr, if it knows the
// leader.
type LeaderResponse struct {
	LeaderAddr string                `msgpack:"h"`
	Done       bool                  `msgpack:"d"`
	Result     statemachine.Result   `msgpack:"r"`
	Members    []statemachine.Member `msgpack:"m"`
}

// ReadRequest asks the leader for a linearizable read.
type ReadRequest struct {
	Kind         string `msgpack:"w"`
	Name         string `msgpack:"n"`
	From         uint64 `msgpack:"f"`
	WaitMS       int64  `msgpack:"t"`           // ms to wait for a version above From
	AcceptsPatch bool   `msgpack:"p,omitempty"` // the document may be returned as a patch from version From
}

// RoleBallot is a ballot for a role of the registries: judge or steward.
type RoleBallot struct {
	Role   string        `msgpack:"d"`
	Ballot ballot.Number `msgpack:"n"`
	Op     string        `msgpack:"o"` // ask, beat or vacate
}

// RoleVote is a store's response to a RoleBallot.
type RoleVote struct {
	Granted  bool          `msgpack:"y"`
	Promised ballot.Number `msgpack:"s"`
}

// Status is a store's report of its own state.
type Status struct {
	Node        string                `msgpack:"node" json:"node"`
	Addr        string                `msgpack:"addr" json:"addr"`
	Zone        string                `msgpack:"area" json:"area"`
	Role        string                `msgpack:"role" json:"role"`
	Index       uint64                `msgpack:"slot" json:"version_slot"`
	Leader      string                `msgpack:"head" json:"writer"`
	Ballot      string                `msgpack:"ballot" json:"ballot"`
	Config      uint64                `msgpack:"config" json:"config_version"`
	DiskFailing bool                  `msgpack:"ill" json:"disk_ill"`
	Ready       bool                  `msgpack:"ready" json:"ready"`
	Reason      string                `msgpack:"why" json:"why,omitempty"`
	Members     []statemachine.Member `msgpack:"members" json:"members"`
	Events      []event.Entry         `msgpack:"events" json:"-"`
}

// Messages lists every message of this package, for the check that a later
// version of the program still understands all fields of an earlier one.
func Messages() []any {
	return []any{voteRequest{}, voteResponse{}, acceptRequest{}, heartbeatRequest{}, ack{}, fetchRequest{}, fetchResponse{}, chunkRequest{}, chunkResponse{}, probeRequest{}, probeResponse{},
		genesis{}, RemoveRequest{}, joinRequest{}, joinResponse{}, vacateRequest{}, leaveRequest{}, ProposeRequest{}, LeaderResponse{}, ReadRequest{}, remainingLeasesRequest{}, remainingLeasesResponse{}, RoleBallot{}, RoleVote{}, Status{}}
}
