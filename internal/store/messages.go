package store

import (
	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/paxos"
	"puffincrank/internal/statemachine"
)

// The messages between stores, and from registries to stores.

type voteRequest struct {
	Num  ballot.Number `msgpack:"n"`
	ID   string        `msgpack:"i"`
	Real bool          `msgpack:"r"` // false only asks whether the duty is vacant
	Slot uint64        `msgpack:"s"` // what the asker has applied
	Mesh string        `msgpack:"m"`
	Addr string        `msgpack:"a,omitempty"` // of the candidate
}

type voteResponse struct {
	Yes     bool          `msgpack:"y"`
	ID      string        `msgpack:"i"`
	Seen    ballot.Number `msgpack:"s"`
	Out     bool          `msgpack:"o"` // the asker is no member
	Slot    uint64        `msgpack:"t"`
	Entries []paxos.Entry `msgpack:"e"`
	More    bool          `msgpack:"r,omitempty"` // entries were accepted beyond those
}

type acceptRequest struct {
	Entry paxos.Entry `msgpack:"e"`
	Addr  string      `msgpack:"a"`
	Slot  uint64      `msgpack:"s"` // chosen up to here
	Sum   []byte      `msgpack:"h"`
	Mesh  string      `msgpack:"m"`
}

type heartbeatRequest struct {
	Num  ballot.Number `msgpack:"n"`
	Addr string        `msgpack:"a"`
	Slot uint64        `msgpack:"s"`
	Sum  []byte        `msgpack:"h"`
	Mesh string        `msgpack:"m"`
}

type ack struct {
	Yes   bool          `msgpack:"y"`
	ID    string        `msgpack:"i"`
	Seen  ballot.Number `msgpack:"s"`
	Ill   bool          `msgpack:"l"`
	Slot  uint64        `msgpack:"t"`
	Knows int           `msgpack:"k,omitempty"` // the level of commands that it understands
	Held  bool          `msgpack:"h,omitempty"` // the others hold all that a leaving member has
	Going bool          `msgpack:"g,omitempty"` // the sender ends soon, and its disk may go with it
}

type fetchRequest struct {
	After uint64 `msgpack:"a"`
	Prev  []byte `msgpack:"p"`
	// Chunks tells that the asker can fetch a snapshot in chunks.
	Chunks bool `msgpack:"k,omitempty"`
}

type fetchResponse struct {
	Entries []paxos.Entry   `msgpack:"e"`
	Point   *paxos.Snapshot `msgpack:"c"` // a snapshot that fits a message
	Head    *snapshotHead   `msgpack:"h,omitempty"`
	Top     uint64          `msgpack:"t"`
}

type probeRequest struct {
	ID   string `msgpack:"i"`
	Addr string `msgpack:"a"`
}

type probeResponse struct {
	Empty   bool                  `msgpack:"e"`
	ID      string                `msgpack:"i"`
	Mesh    string                `msgpack:"m"`
	Members []statemachine.Member `msgpack:"b"`
	Head    string                `msgpack:"h"`
	Never   bool                  `msgpack:"n,omitempty"` // it may not found a mesh
	Area    string                `msgpack:"z,omitempty"`
	Land    string                `msgpack:"l,omitempty"`
	Knows   int                   `msgpack:"k,omitempty"` // the level of commands that it understands
	Slot    uint64                `msgpack:"s,omitempty"` // what it has applied
}

type genesis struct {
	Mesh    string                `msgpack:"m"`
	Members []statemachine.Member `msgpack:"b"`
	Want    int                   `msgpack:"w,omitempty"`
	Level   int                   `msgpack:"k,omitempty"` // of commands, that all members understand
}

type joinRequest struct {
	ID   string `msgpack:"i"`
	Addr string `msgpack:"a"`
	Mesh string `msgpack:"m"`
	Slot uint64 `msgpack:"s"`
	Area string `msgpack:"z,omitempty"`
	Land string `msgpack:"l,omitempty"`

	Knows int `msgpack:"k,omitempty"` // the level of commands that it understands
}

type joinResponse struct {
	Head string `msgpack:"h"` // who writes, when it isn't the one asked
	Say  string `msgpack:"s"`
	Done bool   `msgpack:"d"`           // the asker is a member
	Slot uint64 `msgpack:"t,omitempty"` // what the writer has applied
	Has  uint64 `msgpack:"a,omitempty"` // what the one asked has applied, whoever leads
}

// leaveAsk is a member's word that it stops: another may have its place.
type leaveAsk struct {
	ID string `msgpack:"i"`
	// Keeps tells that the member keeps its place, and asks whether the others
	// hold all that it has.
	Keeps bool `msgpack:"k,omitempty"`
}

// RemoveRequest is an operator's word to take a store out.
type RemoveRequest struct {
	ID      string      `msgpack:"i"`
	Request *RequestKey `msgpack:"o,omitempty"`
}

type vacateRequest struct {
	Num ballot.Number `msgpack:"n"`
}

// ProposeRequest asks the leader for a command.
type ProposeRequest struct {
	Command statemachine.Packed `msgpack:"c"`
	// Rest is how long before the call's own end the command may last be
	// proposed, in ms; 0: until the end.
	ProposalMarginMS int64 `msgpack:"r,omitempty"`
	// Once names the request of an operator that the command is for.
	Request *RequestKey `msgpack:"o,omitempty"`
}

// RequestKey identifies a request that its sender may send again.
type RequestKey struct {
	ID     string `msgpack:"i"`
	Digest []byte `msgpack:"d"`           // of the content sent under the id
	Number uint64 `msgpack:"n,omitempty"` // the operator's own number of a configuration
}

// LeaderResponse is the leader's word on an offer or a read; Head is set when another
// store writes and nothing was done here.
type LeaderResponse struct {
	LeaderAddr string                `msgpack:"h"`
	Done       bool                  `msgpack:"d"`
	Result     statemachine.Result   `msgpack:"r"`
	Members    []statemachine.Member `msgpack:"m"`
}

// ReadRequest asks the leader for a confirmed read.
type ReadRequest struct {
	Kind         string `msgpack:"w"`
	Name         string `msgpack:"n"`
	From         uint64 `msgpack:"f"`
	WaitMS       int64  `msgpack:"t"`           // ms to wait for a version above From
	AcceptsPatch bool   `msgpack:"p,omitempty"` // a document is taken as the steps from From
}

// RoleBallot is a ballot for a role of the registries.
type RoleBallot struct {
	Role   string        `msgpack:"d"`
	Ballot ballot.Number `msgpack:"n"`
	Op     string        `msgpack:"o"` // ask, beat or vacate
}

// RoleVote is a store's vote on it.
type RoleVote struct {
	Granted  bool          `msgpack:"y"`
	Promised ballot.Number `msgpack:"s"`
}

// Status is what a store says of itself.
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
// entry still speaks all that the last one did.
func Messages() []any {
	return []any{voteRequest{}, voteResponse{}, acceptRequest{}, heartbeatRequest{}, ack{}, fetchRequest{}, fetchResponse{}, chunkAsk{}, chunkGot{}, probeRequest{}, probeResponse{},
		genesis{}, RemoveRequest{}, joinRequest{}, joinResponse{}, vacateRequest{}, leaveAsk{}, ProposeRequest{}, LeaderResponse{}, ReadRequest{}, leftAsk{}, leftGot{}, RoleBallot{}, RoleVote{}, Status{}}
}
