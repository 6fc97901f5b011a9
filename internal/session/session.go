// Package session is what proxies and control nodes say to each other: beats,
// pushes of the configuration, and the control nodes' word on their sessions.
package session

import (
	"puffincrank/internal/ledger"
	"puffincrank/internal/member"
)

// Beat renews a proxy's session with one control node.
type Beat struct {
	Fellow  member.Fellow `msgpack:"f"`
	Version uint64        `msgpack:"v"` // the configuration it holds
	Hash    uint64        `msgpack:"h"` // the list of members it holds
	Bye     bool          `msgpack:"b"`
	Tallies []Tally       `msgpack:"t,omitempty"`
	Live    []string      `msgpack:"l,omitempty"` // paths that had jobs lately
}

// Report is one front's tallies as its control node holds them.
type Report struct {
	Node    string   `msgpack:"n"`
	Start   string   `msgpack:"s"`
	Tallies []Tally  `msgpack:"t"`
	Live    []string `msgpack:"l"`
}

// Receipt answers a beat. Without In the control node is out of touch with
// the stores and the proxy must try another.
type Receipt struct {
	In      bool            `msgpack:"i"`
	Age     int64           `msgpack:"a"` // ms since a majority confirmed Version
	Version uint64          `msgpack:"v"`
	Doc     []byte          `msgpack:"d,omitempty"`
	Hash    uint64          `msgpack:"h"`
	Members []member.Fellow `msgpack:"m,omitempty"`
	Core    []string        `msgpack:"c"` // inner addresses of the control nodes now
	Count   int             `msgpack:"n"` // fronts in the mesh
}

// Push sends a new configuration over the session at once.
type Push struct {
	Version uint64 `msgpack:"v"`
	Doc     []byte `msgpack:"d"`
}

// Share is a control node's word on its sessions to the others.
type Share struct {
	From member.Fellow   `msgpack:"f"`
	Hash uint64          `msgpack:"h"`
	List []member.Fellow `msgpack:"l,omitempty"`
	Full bool            `msgpack:"u"`
	Core []ledger.Member `msgpack:"c,omitempty"`
}

// ShareBack asks for the whole list when the hash is not known.
type ShareBack struct {
	Need bool          `msgpack:"n"`
	Me   member.Fellow `msgpack:"m"`
}

// Outer is an outside call that a proxy hands over.
type Outer struct {
	Method string `msgpack:"m"`
	URI    string `msgpack:"u"`
	Body   []byte `msgpack:"b"`
}

// OuterBack is its answer.
type OuterBack struct {
	Status int    `msgpack:"s"`
	Body   []byte `msgpack:"b"`
	Come   string `msgpack:"c,omitempty"` // the Retry-After of a busy answer
}

// Tally is one front's count of one arm of a trial, since the front began.
type Tally struct {
	Trial   uint64   `msgpack:"t" json:"trial"`
	Path    string   `msgpack:"p" json:"path"`
	Arm     string   `msgpack:"a" json:"arm"`
	Done    uint64   `msgpack:"d" json:"done"`
	Failed  uint64   `msgpack:"f" json:"failed"`
	Unknown uint64   `msgpack:"u" json:"unknown"`
	Refused uint64   `msgpack:"r" json:"refused"`
	Times   []uint64 `msgpack:"h" json:"-"`      // histogram of latency
	AgeMS   int64    `msgpack:"g" json:"age_ms"` // since the front knows the trial
}

// Hand is a job on its way from the front to the owner.
type Hand struct {
	Job     string              `msgpack:"j"`
	Attempt string              `msgpack:"a"`
	Path    string              `msgpack:"p"`
	Arm     string              `msgpack:"r"`
	Version uint64              `msgpack:"v"`
	Service string              `msgpack:"s"`
	Class   string              `msgpack:"c"`
	Worker  string              `msgpack:"w"`
	Method  string              `msgpack:"m"`
	URI     string              `msgpack:"u"`
	Head    map[string][]string `msgpack:"h"`
	Body    []byte              `msgpack:"b"`
	Left    int64               `msgpack:"l"`
}

// The outcomes of an attempt.
const (
	Done    = "done"
	Refused = "refused" // certain that the worker never got it and never will
	Unknown = "unknown"
)

// Back is the outcome of an attempt.
type Back struct {
	Kind   string              `msgpack:"k"`
	Why    string              `msgpack:"y,omitempty"`
	Late   bool                `msgpack:"l,omitempty"` // unknown for want of time
	Rules  bool                `msgpack:"r,omitempty"` // refused since front and owner hold different configurations
	Status int                 `msgpack:"s,omitempty"`
	Head   map[string][]string `msgpack:"h,omitempty"`
	Body   []byte              `msgpack:"b,omitempty"`
	Seal   string              `msgpack:"e,omitempty"`
	Worker string              `msgpack:"w,omitempty"`
	Come   int64               `msgpack:"o,omitempty"` // of a refusal: ms until there may be room
	Used   int                 `msgpack:"u"`           // slots in use, -1 when not known
}
