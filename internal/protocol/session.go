// Package protocol is what proxies and control nodes say to each other: beats,
// pushes of the configuration, and the control nodes' word on their sessions.
package protocol

import (
	"puffincrank/internal/membership"
	"puffincrank/internal/patch"
	"puffincrank/internal/statemachine"
)

// Heartbeat renews a proxy's session with one control node.
type Heartbeat struct {
	Member           membership.Member `msgpack:"f"`
	ConfigVersion    uint64            `msgpack:"v"` // the configuration it holds
	MembersHash      uint64            `msgpack:"h"` // the list of members it holds
	Leaving          bool              `msgpack:"b"`
	TrialCounts      []ArmCounts       `msgpack:"t,omitempty"`
	ActiveRoutes     []string          `msgpack:"l,omitempty"` // paths that had jobs lately
	AcceptsDiff      bool              `msgpack:"d,omitempty"` // it takes what differs
	ControlNodesHash uint64            `msgpack:"c,omitempty"` // the hash of the control nodes that it knows
	Probe            bool              `msgpack:"k,omitempty"` // asks only whether the control node is in touch
	AcceptsPatch     bool              `msgpack:"p,omitempty"` // it takes a document as the steps from the one it holds
	AcceptsCompact   bool              `msgpack:"z,omitempty"` // it takes members in their short form, and a document compressed
}

// TrialReport is one front's tallies as its control node holds them.
type TrialReport struct {
	Node         string      `msgpack:"n"`
	Start        string      `msgpack:"s"`
	Counts       []ArmCounts `msgpack:"t"`
	ActiveRoutes []string    `msgpack:"l"`
}

// HeartbeatResponse answers a beat. Without In the control node is out of touch with
// the stores and the proxy must try another.
type HeartbeatResponse struct {
	InTouch            bool                `msgpack:"i"`
	ConfirmedAgoMS     int64               `msgpack:"a"` // ms since a majority confirmed Version
	ConfigVersion      uint64              `msgpack:"v"`
	Document           []byte              `msgpack:"d,omitempty"`
	MembersHash        uint64              `msgpack:"h"`
	Members            []membership.Member `msgpack:"m,omitempty"`
	ControlNodes       []string            `msgpack:"c"`           // inner addresses of the control nodes now, if they differ
	ProxyCount         int                 `msgpack:"n"`           // fronts in the mesh
	IsDiff             bool                `msgpack:"f,omitempty"` // Come and Gone lead from the beat's list to Hash
	Added              []membership.Member `msgpack:"w,omitempty"`
	Removed            []string            `msgpack:"g,omitempty"`
	Patches            []patch.Patch       `msgpack:"s,omitempty"` // from the beat's Version to Version, in the place of Doc
	CompactDiff        []byte              `msgpack:"z,omitempty"` // Come and Gone in their short form
	CompressedDocument []byte              `msgpack:"u,omitempty"` // the document compressed, in the place of Doc
}

// MemberListRequest asks for the parts of the list of members that differ from the
// digests.
type MemberListRequest struct {
	Digests        []uint64 `msgpack:"d"`
	AcceptsCompact bool     `msgpack:"z,omitempty"` // it takes members in their short form
}

// MemberListResponse brings some of the parts that differ, and says whether others do.
type MemberListResponse struct {
	Hash         uint64              `msgpack:"h"`
	Parts        []int               `msgpack:"p"`
	Members      []membership.Member `msgpack:"l"`
	More         bool                `msgpack:"m"`
	Compact      []byte              `msgpack:"z,omitempty"` // List in its short form
	Busy         bool                `msgpack:"b,omitempty"` // more was asked for than is handed out in a beat
	Alternatives []string            `msgpack:"t,omitempty"` // of a busy one: who was given it lately
}

// ConfigPush sends a new configuration over the session at once: as steps from an
// earlier one to a fellow that is likely to hold that, or whole.
type ConfigPush struct {
	Version      uint64        `msgpack:"v"`
	Document     []byte        `msgpack:"d"`
	Patches      []patch.Patch `msgpack:"s,omitempty"`
	AcceptsPatch bool          `msgpack:"p,omitempty"` // of a question: steps are taken
}

// ConfigPushResponse tells which version the fellow holds after a push.
type ConfigPushResponse struct {
	Version uint64 `msgpack:"h"`
}

// SessionReport is a control node's word on its sessions to the others.
type SessionReport struct {
	Sender        membership.Member     `msgpack:"f"`
	Hash          uint64                `msgpack:"h"`
	Members       []membership.Member   `msgpack:"l,omitempty"`
	Complete      bool                  `msgpack:"u"`
	Stores        []statemachine.Member `msgpack:"c,omitempty"`
	IsDiff        bool                  `msgpack:"d,omitempty"` // Come and Gone lead from the list with hash Base to Hash
	BaseHash      uint64                `msgpack:"b,omitempty"`
	Added         []membership.Member   `msgpack:"w,omitempty"`
	Removed       []string              `msgpack:"g,omitempty"`
	ReachableHash uint64                `msgpack:"m,omitempty"` // names the control nodes that From hears
	Compact       []byte                `msgpack:"z,omitempty"` // List, or Come and Gone, in their short form
}

// SessionReportResponse asks for more when the hash is not known: for what differs from
// the list that is held, or for the whole.
type SessionReportResponse struct {
	NeedMore       bool              `msgpack:"n"`
	Responder      membership.Member `msgpack:"m"`
	AcceptsDiff    bool              `msgpack:"d,omitempty"` // it takes what differs
	Hash           uint64            `msgpack:"h,omitempty"`
	Reachable      []string          `msgpack:"r,omitempty"` // control nodes heard here, when the asker hears others
	AcceptsCompact bool              `msgpack:"z,omitempty"` // it takes members in their short form
}

// ForwardedCall is an outside call that a proxy hands over.
type ForwardedCall struct {
	Method string `msgpack:"m"`
	URI    string `msgpack:"u"`
	Body   []byte `msgpack:"b"`
	// Rest is how long before the call's own end an application's change may
	// last be proposed, in ms; 0: as told by the control node's own reading.
	ProposalMarginMS int64 `msgpack:"r,omitempty"`
}

// ForwardedResponse is its answer.
type ForwardedResponse struct {
	Status     int    `msgpack:"s"`
	Body       []byte `msgpack:"b"`
	RetryAfter string `msgpack:"c,omitempty"` // the Retry-After of a busy answer
}

// ArmCounts is one front's count of one arm of a trial, since the front began.
type ArmCounts struct {
	Trial       uint64   `msgpack:"t" json:"trial"`
	Route       string   `msgpack:"p" json:"path"`
	Arm         string   `msgpack:"a" json:"arm"`
	Done        uint64   `msgpack:"d" json:"done"`
	Failed      uint64   `msgpack:"f" json:"failed"`
	Unknown     uint64   `msgpack:"u" json:"unknown"`
	Refused     uint64   `msgpack:"r" json:"refused"`
	LatencyBins []uint64 `msgpack:"h" json:"-"`      // histogram of latency
	AgeMS       int64    `msgpack:"g" json:"age_ms"` // since the front knows the trial
}

// Confidence is how sure a node is of the configuration that it holds.
type Confidence int

// The words. Fronts of before don't give one; they were Sure or Lost.
const (
	Unspecified  Confidence = iota
	Confirmed               // it was the newest a moment ago
	Disconnected            // every control node was found out of touch, so the node acts by what it has
	Unconfirmed             // neither
)

// AttemptRequest is a job on its way from the front to the owner.
type AttemptRequest struct {
	RequestID          string              `msgpack:"j"`
	AttemptID          string              `msgpack:"a"`
	Route              string              `msgpack:"p"`
	Arm                string              `msgpack:"r"`
	ConfigVersion      uint64              `msgpack:"v"`
	Service            string              `msgpack:"s"`
	Class              string              `msgpack:"c"`
	Worker             string              `msgpack:"w"`
	Method             string              `msgpack:"m"`
	URI                string              `msgpack:"u"`
	Header             map[string][]string `msgpack:"h"`
	Body               []byte              `msgpack:"b"`
	TimeoutMS          int64               `msgpack:"l"`
	Host               string              `msgpack:"o"`
	WorkerAttemptID    string              `msgpack:"d,omitempty"`  // the id that the worker is given; empty: Attempt
	CallerService      string              `msgpack:"c2,omitempty"` // the service at which the job began
	TargetMS           int64               `msgpack:"i,omitempty"`  // ms left of the aim
	NoQueue            bool                `msgpack:"ru,omitempty"` // it goes elsewhere rather than wait for a slot
	ResentByCaller     bool                `msgpack:"sn,omitempty"` // its caller came back with it
	Retry              bool                `msgpack:"g,omitempty"`  // not the job's first send
	NestedRetryShare   float64             `msgpack:"pt,omitempty"` // of a first send: how far it is the call of a repeated run, 0 to 1
	Confidence         Confidence          `msgpack:"x,omitempty"`  // how sure the front was of Version, after the job was read
	MaxQueueMS         int64               `msgpack:"wt,omitempty"` // ms that it may wait for a slot at most; 0: as the owner sees fit
	QueueBudgetMS      int64               `msgpack:"st,omitempty"` // of one that was refused elsewhere: ms of waiting that it has left; 0: no bound of its own
	Repeatable         bool                `msgpack:"sf,omitempty"` // it may run again: its run ends when its caller leaves
	UsualRunMS         int64               `msgpack:"us,omitempty"` // ms that such requests run at a worker, as the front knows; 0: it does not
	NeedsRetryBudget   bool                `msgpack:"up,omitempty"` // its front has no repeat left; the owner's part of the bound pays for it, or it is refused
	AllowUnfinishedRun bool                `msgpack:"la,omitempty"` // another run of it is or will be lost: better one that may not end in time than none
	AllowStoppingNode  bool                `msgpack:"an,omitempty"` // of such a one: no other worker took it, so better one whose node ends than none
	IngressWaitMS      int64               `msgpack:"re,omitempty"` // ms until the front, told to end, waits for answers no more; 0: it was not told to
}

// RunEndNoticeKind is the kind of message by which the node beside a worker, told to end,
// tells the front of an attempt by when it ends the run.
const RunEndNoticeKind = "run.ends"

// RunEndNotice names an attempt, and the ms until its run is ended.
type RunEndNotice struct {
	AttemptID   string `msgpack:"a"`
	RemainingMS int64  `msgpack:"l"`
}

// WorkerLeavingKind is the kind of message by which a node has a control node note that
// its worker leaves, before it acknowledges that.
const WorkerLeavingKind = "worker.leaves"

// The outcomes of an attempt.
const (
	Done    = "done"
	Refused = "refused" // certain that the worker never got it and never will
	Unknown = "unknown"
)

// AttemptResult is the outcome of an attempt.
type AttemptResult struct {
	Outcome          string              `msgpack:"k"`
	Reason           string              `msgpack:"y,omitempty"`
	TimedOut         bool                `msgpack:"l,omitempty"` // unknown for want of time
	ConfigMismatch   bool                `msgpack:"r,omitempty"` // refused since front and owner hold different configurations
	Status           int                 `msgpack:"s,omitempty"`
	Header           map[string][]string `msgpack:"h,omitempty"`
	Body             []byte              `msgpack:"b,omitempty"`
	Digest           string              `msgpack:"e,omitempty"`
	Worker           string              `msgpack:"w,omitempty"`
	RetryAfterMS     int64               `msgpack:"o,omitempty"`  // of a refusal: ms until there may be room
	UsedSlots        int                 `msgpack:"u"`            // slots in use, -1 when not known
	ConfigVersion    uint64              `msgpack:"v,omitempty"`  // of a refusal for the rules: what the owner holds
	RunMicros        int64               `msgpack:"q,omitempty"`  // us that the worker took
	ReachedWorker    bool                `msgpack:"n,omitempty"`  // it arrived at the worker, run or not
	CalledByRequests bool                `msgpack:"in,omitempty"` // the path is called by other jobs, as the owner sees it
	NoFreeSlot       bool                `msgpack:"pa,omitempty"` // refused since no slot was free for one that would not wait
	PaceEighths      uint8               `msgpack:"p,omitempty"`  // how long jobs run there against its like, in eighths
	FailedPer64      uint8               `msgpack:"f,omitempty"`  // part of its last jobs that failed, in 64ths
	StoppingForMS    int64               `msgpack:"st,omitempty"` // of one that was not done: ms since the owner was told to end; 0: it was not
}
