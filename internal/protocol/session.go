// Package protocol is what proxies and control nodes say to each other: beats,
// pushes of the configuration, and the control nodes' word on their sessions.
package protocol

import (
	"puffincrank/internal/membership"
	"puffincrank/internal/patch"
	"puffincrank/internal/statemachine"
)

// Beat renews a proxy's session with one control node.
type Beat struct {
	Fellow  membership.Fellow `msgpack:"f"`
	Version uint64            `msgpack:"v"` // the configuration it holds
	Hash    uint64            `msgpack:"h"` // the list of members it holds
	Bye     bool              `msgpack:"b"`
	Tallies []Tally           `msgpack:"t,omitempty"`
	Live    []string          `msgpack:"l,omitempty"` // paths that had jobs lately
	Diff    bool              `msgpack:"d,omitempty"` // it takes what differs
	Core    uint64            `msgpack:"c,omitempty"` // the hash of the control nodes that it knows
	Look    bool              `msgpack:"k,omitempty"` // asks only whether the control node is in touch
	Patch   bool              `msgpack:"p,omitempty"` // it takes a document as the steps from the one it holds
	Short   bool              `msgpack:"z,omitempty"` // it takes members in their short form, and a document compressed
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
	In      bool                `msgpack:"i"`
	Age     int64               `msgpack:"a"` // ms since a majority confirmed Version
	Version uint64              `msgpack:"v"`
	Doc     []byte              `msgpack:"d,omitempty"`
	Hash    uint64              `msgpack:"h"`
	Members []membership.Fellow `msgpack:"m,omitempty"`
	Core    []string            `msgpack:"c"`           // inner addresses of the control nodes now, if they differ
	Count   int                 `msgpack:"n"`           // fronts in the mesh
	Diff    bool                `msgpack:"f,omitempty"` // Come and Gone lead from the beat's list to Hash
	Come    []membership.Fellow `msgpack:"w,omitempty"`
	Gone    []string            `msgpack:"g,omitempty"`
	Steps   []patch.Step        `msgpack:"s,omitempty"` // from the beat's Version to Version, in the place of Doc
	Short   []byte              `msgpack:"z,omitempty"` // Come and Gone in their short form
	Shrunk  []byte              `msgpack:"u,omitempty"` // the document compressed, in the place of Doc
}

// ListAsk asks for the parts of the list of members that differ from the
// digests.
type ListAsk struct {
	Digests []uint64 `msgpack:"d"`
	Short   bool     `msgpack:"z,omitempty"` // it takes members in their short form
}

// ListBack brings some of the parts that differ, and says whether others do.
type ListBack struct {
	Hash  uint64              `msgpack:"h"`
	Parts []int               `msgpack:"p"`
	List  []membership.Fellow `msgpack:"l"`
	More  bool                `msgpack:"m"`
	Short []byte              `msgpack:"z,omitempty"` // List in its short form
	Busy  bool                `msgpack:"b,omitempty"` // more was asked for than is handed out in a beat
	Try   []string            `msgpack:"t,omitempty"` // of a busy one: who was given it lately
}

// Push sends a new configuration over the session at once: as steps from an
// earlier one to a fellow that is likely to hold that, or whole.
type Push struct {
	Version uint64       `msgpack:"v"`
	Doc     []byte       `msgpack:"d"`
	Steps   []patch.Step `msgpack:"s,omitempty"`
	Patch   bool         `msgpack:"p,omitempty"` // of a question: steps are taken
}

// PushBack tells which version the fellow holds after a push.
type PushBack struct {
	Have uint64 `msgpack:"h"`
}

// Share is a control node's word on its sessions to the others.
type Share struct {
	From membership.Fellow     `msgpack:"f"`
	Hash uint64                `msgpack:"h"`
	List []membership.Fellow   `msgpack:"l,omitempty"`
	Full bool                  `msgpack:"u"`
	Core []statemachine.Member `msgpack:"c,omitempty"`
	Diff bool                  `msgpack:"d,omitempty"` // Come and Gone lead from the list with hash Base to Hash
	Base uint64                `msgpack:"b,omitempty"`
	Come []membership.Fellow   `msgpack:"w,omitempty"`
	Gone []string              `msgpack:"g,omitempty"`
	Met  uint64                `msgpack:"m,omitempty"` // names the control nodes that From hears
	Pack []byte                `msgpack:"z,omitempty"` // List, or Come and Gone, in their short form
}

// ShareBack asks for more when the hash is not known: for what differs from
// the list that is held, or for the whole.
type ShareBack struct {
	Need bool              `msgpack:"n"`
	Me   membership.Fellow `msgpack:"m"`
	Diff bool              `msgpack:"d,omitempty"` // it takes what differs
	Have uint64            `msgpack:"h,omitempty"`
	Near []string          `msgpack:"r,omitempty"` // control nodes heard here, when the asker hears others
	Pack bool              `msgpack:"z,omitempty"` // it takes members in their short form
}

// Outer is an outside call that a proxy hands over.
type Outer struct {
	Method string `msgpack:"m"`
	URI    string `msgpack:"u"`
	Body   []byte `msgpack:"b"`
	// Rest is how long before the call's own end an application's change may
	// last be proposed, in ms; 0: as told by the control node's own reading.
	Rest int64 `msgpack:"r,omitempty"`
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

// Word is how sure a node is of the configuration that it holds.
type Word int

// The words. Fronts of before don't give one; they were Sure or Lost.
const (
	Unsaid Word = iota
	Sure        // it was the newest a moment ago
	Lost        // every control node was found out of touch, so the node acts by what it has
	Unsure      // neither
)

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
	Host    string              `msgpack:"o"`
	Said    string              `msgpack:"d,omitempty"`  // the id that the worker is given; empty: Attempt
	Caller  string              `msgpack:"c2,omitempty"` // the service at which the job began
	Aim     int64               `msgpack:"i,omitempty"`  // ms left of the aim
	Rush    bool                `msgpack:"ru,omitempty"` // it goes elsewhere rather than wait for a slot
	Seen    bool                `msgpack:"sn,omitempty"` // its caller came back with it
	Again   bool                `msgpack:"g,omitempty"`  // not the job's first send
	Part    float64             `msgpack:"pt,omitempty"` // of a first send: how far it is the call of a repeated run, 0 to 1
	Word    Word                `msgpack:"x,omitempty"`  // how sure the front was of Version, after the job was read
	Wait    int64               `msgpack:"wt,omitempty"` // ms that it may wait for a slot at most; 0: as the owner sees fit
	Stay    int64               `msgpack:"st,omitempty"` // of one that was refused elsewhere: ms of waiting that it has left; 0: no bound of its own
	Safe    bool                `msgpack:"sf,omitempty"` // it may run again: its run ends when its caller leaves
	Usual   int64               `msgpack:"us,omitempty"` // ms that such requests run at a worker, as the front knows; 0: it does not
	Unpaid  bool                `msgpack:"up,omitempty"` // its front has no repeat left; the owner's part of the bound pays for it, or it is refused
	Last    bool                `msgpack:"la,omitempty"` // another run of it is or will be lost: better one that may not end in time than none
	Any     bool                `msgpack:"an,omitempty"` // of such a one: no other worker took it, so better one whose node ends than none
	Rest    int64               `msgpack:"re,omitempty"` // ms until the front, told to end, waits for answers no more; 0: it was not told to
}

// RunEndsKind is the kind of message by which the node beside a worker, told to end,
// tells the front of an attempt by when it ends the run.
const RunEndsKind = "run.ends"

// RunEnds names an attempt, and the ms until its run is ended.
type RunEnds struct {
	Attempt string `msgpack:"a"`
	Left    int64  `msgpack:"l"`
}

// WorkerLeaves is the kind of message by which a node has a control node note that
// its worker leaves, before it acknowledges that.
const WorkerLeaves = "worker.leaves"

// The outcomes of an attempt.
const (
	Done    = "done"
	Refused = "refused" // certain that the worker never got it and never will
	Unknown = "unknown"
)

// Back is the outcome of an attempt.
type Back struct {
	Kind    string              `msgpack:"k"`
	Why     string              `msgpack:"y,omitempty"`
	Late    bool                `msgpack:"l,omitempty"` // unknown for want of time
	Rules   bool                `msgpack:"r,omitempty"` // refused since front and owner hold different configurations
	Status  int                 `msgpack:"s,omitempty"`
	Head    map[string][]string `msgpack:"h,omitempty"`
	Body    []byte              `msgpack:"b,omitempty"`
	Seal    string              `msgpack:"e,omitempty"`
	Worker  string              `msgpack:"w,omitempty"`
	Come    int64               `msgpack:"o,omitempty"`  // of a refusal: ms until there may be room
	Used    int                 `msgpack:"u"`            // slots in use, -1 when not known
	Version uint64              `msgpack:"v,omitempty"`  // of a refusal for the rules: what the owner holds
	Ran     int64               `msgpack:"q,omitempty"`  // us that the worker took
	Came    bool                `msgpack:"n,omitempty"`  // it arrived at the worker, run or not
	Inner   bool                `msgpack:"in,omitempty"` // the path is called by other jobs, as the owner sees it
	Pass    bool                `msgpack:"pa,omitempty"` // refused since no slot was free for one that would not wait
	Pace    uint8               `msgpack:"p,omitempty"`  // how long jobs run there against its like, in eighths
	Fail    uint8               `msgpack:"f,omitempty"`  // part of its last jobs that failed, in 64ths
	Stopped int64               `msgpack:"st,omitempty"` // of one that was not done: ms since the owner was told to end; 0: it was not
}
