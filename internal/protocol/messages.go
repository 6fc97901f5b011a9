// Package protocol defines the messages between proxies and control nodes: heartbeats,
// configuration pushes, the control nodes' session reports, and the attempts that an
// ingress sends to a worker's owner.
package protocol

import (
	"puffincrank/internal/membership"
	"puffincrank/internal/patch"
	"puffincrank/internal/statemachine"
)

// Heartbeat renews a proxy's session with one control node.
type Heartbeat struct {
	Member           membership.Member `msgpack:"f"`
	ConfigVersion    uint64            `msgpack:"v"` // the version that the proxy holds
	MembersHash      uint64            `msgpack:"h"` // hash of the member list that the proxy holds
	Leaving          bool              `msgpack:"b"`
	TrialCounts      []ArmCounts       `msgpack:"t,omitempty"`
	ActiveRoutes     []string          `msgpack:"l,omitempty"` // routes with requests recently
	AcceptsDiff      bool              `msgpack:"d,omitempty"` // accepts a diff of the member list
	ControlNodesHash uint64            `msgpack:"c,omitempty"` // hash of the list of control nodes that the proxy knows
	Probe            bool              `msgpack:"k,omitempty"` // only asks whether the control node is connected; opens no session
	AcceptsPatch     bool              `msgpack:"p,omitempty"` // accepts a document as patches from the version held
	AcceptsCompact   bool              `msgpack:"z,omitempty"` // accepts members in the compact encoding, and a compressed document
}

// TrialReport holds the trial counters of one proxy, as its control node received them.
type TrialReport struct {
	Node         string      `msgpack:"n"`
	Incarnation  string      `msgpack:"s"`
	Counts       []ArmCounts `msgpack:"t"`
	ActiveRoutes []string    `msgpack:"l"`
}

// HeartbeatResponse answers a heartbeat. If Connected is false, the control node is not
// connected to a majority of the stores and the proxy must try another one.
type HeartbeatResponse struct {
	Connected          bool                `msgpack:"i"`
	ConfirmedAgoMS     int64               `msgpack:"a"` // ms since a majority confirmed ConfigVersion
	ConfigVersion      uint64              `msgpack:"v"`
	Document           []byte              `msgpack:"d,omitempty"`
	MembersHash        uint64              `msgpack:"h"`
	Members            []membership.Member `msgpack:"m,omitempty"`
	ControlNodes       []string            `msgpack:"c"`           // internal addresses of the control nodes, if they differ from the proxy's
	ProxyCount         int                 `msgpack:"n"`           // proxies in the cluster
	IsDiff             bool                `msgpack:"f,omitempty"` // Added and Removed lead from the heartbeat's list to MembersHash
	Added              []membership.Member `msgpack:"w,omitempty"`
	Removed            []string            `msgpack:"g,omitempty"`
	Patches            []patch.Patch       `msgpack:"s,omitempty"` // from the heartbeat's version to ConfigVersion, instead of Document
	CompactDiff        []byte              `msgpack:"z,omitempty"` // Added and Removed in the compact encoding
	CompressedDocument []byte              `msgpack:"u,omitempty"` // the compressed document, instead of Document
}

// MemberListRequest requests the parts of the member list that differ from the digests.
type MemberListRequest struct {
	Digests        []uint64 `msgpack:"d"`
	AcceptsCompact bool     `msgpack:"z,omitempty"` // accepts members in the compact encoding
}

// MemberListResponse contains some of the differing parts, and says whether there are more.
type MemberListResponse struct {
	Hash         uint64              `msgpack:"h"`
	Parts        []int               `msgpack:"p"`
	Members      []membership.Member `msgpack:"l"`
	More         bool                `msgpack:"m"`
	Compact      []byte              `msgpack:"z,omitempty"` // Members in the compact encoding
	Busy         bool                `msgpack:"b,omitempty"` // the refill capacity of this heartbeat interval is used up
	Alternatives []string            `msgpack:"t,omitempty"` // if busy: nodes that recently received the list
}

// ConfigPush sends a new configuration at once: as patches to a peer that is likely to hold
// the version they start from, or else whole.
type ConfigPush struct {
	Version      uint64        `msgpack:"v"`
	Document     []byte        `msgpack:"d"`
	Patches      []patch.Patch `msgpack:"s,omitempty"`
	AcceptsPatch bool          `msgpack:"p,omitempty"` // in a request: patches are accepted
}

// ConfigPushResponse returns the version that the peer holds after a push.
type ConfigPushResponse struct {
	Version uint64 `msgpack:"h"`
}

// SessionReport is what a control node reports of its sessions to the others.
type SessionReport struct {
	Sender        membership.Member     `msgpack:"f"`
	Hash          uint64                `msgpack:"h"`
	Members       []membership.Member   `msgpack:"l,omitempty"`
	Complete      bool                  `msgpack:"u"`
	Stores        []statemachine.Member `msgpack:"c,omitempty"`
	IsDiff        bool                  `msgpack:"d,omitempty"` // Added and Removed lead from the list with hash BaseHash to Hash
	BaseHash      uint64                `msgpack:"b,omitempty"`
	Added         []membership.Member   `msgpack:"w,omitempty"`
	Removed       []string              `msgpack:"g,omitempty"`
	ReachableHash uint64                `msgpack:"m,omitempty"` // identifies the set of control nodes that the sender can reach
	Compact       []byte                `msgpack:"z,omitempty"` // Members, or Added and Removed, in the compact encoding
}

// SessionReportResponse requests more if the hash isn't known: the difference from the list
// that is held, or the full list.
type SessionReportResponse struct {
	NeedMore       bool              `msgpack:"n"`
	Responder      membership.Member `msgpack:"m"`
	AcceptsDiff    bool              `msgpack:"d,omitempty"` // accepts a diff
	Hash           uint64            `msgpack:"h,omitempty"`
	Reachable      []string          `msgpack:"r,omitempty"` // control nodes reachable from the responder, if they differ from the sender's
	AcceptsCompact bool              `msgpack:"z,omitempty"` // accepts members in the compact encoding
}

// ForwardedCall is an HTTP API call that a proxy forwards to a control node.
type ForwardedCall struct {
	Method string `msgpack:"m"`
	URI    string `msgpack:"u"`
	Body   []byte `msgpack:"b"`
	// ProposalMarginMS is how long before the call's deadline an application's change may
	// last be proposed, in ms. 0: the control node decides from the time at which it read
	// the call.
	ProposalMarginMS int64 `msgpack:"r,omitempty"`
}

// ForwardedResponse answers a ForwardedCall.
type ForwardedResponse struct {
	Status     int    `msgpack:"s"`
	Body       []byte `msgpack:"b"`
	RetryAfter string `msgpack:"c,omitempty"` // the Retry-After header of a busy response
}

// ArmCounts holds one proxy's counters of one arm of a trial, since the proxy started.
type ArmCounts struct {
	Trial       uint64   `msgpack:"t" json:"trial"`
	Route       string   `msgpack:"p" json:"path"`
	Arm         string   `msgpack:"a" json:"arm"`
	Done        uint64   `msgpack:"d" json:"done"`
	Failed      uint64   `msgpack:"f" json:"failed"`
	Unknown     uint64   `msgpack:"u" json:"unknown"`
	Refused     uint64   `msgpack:"r" json:"refused"`
	LatencyBins []uint64 `msgpack:"h" json:"-"`      // latency histogram
	AgeMS       int64    `msgpack:"g" json:"age_ms"` // ms since the proxy learned of the trial
}

// Confidence is how certain a node is that its configuration is the newest.
type Confidence int

// Proxies of earlier versions send Unspecified; they were either Confirmed or Disconnected.
const (
	Unspecified  Confidence = iota
	Confirmed               // it was the newest a moment ago
	Disconnected            // every control node was found disconnected, so the node acts on what it has
	Unconfirmed             // neither of the two
)

// AttemptRequest is an attempt of a request, sent by the ingress to the worker's owner.
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
	WorkerAttemptID    string              `msgpack:"d,omitempty"`  // the ID passed to the worker; empty: AttemptID
	CallerService      string              `msgpack:"c2,omitempty"` // the service of the node at which the request entered
	TargetMS           int64               `msgpack:"i,omitempty"`  // remaining target latency in ms
	NoQueue            bool                `msgpack:"ru,omitempty"` // it goes to another worker rather than wait for a slot
	ResentByCaller     bool                `msgpack:"sn,omitempty"` // the caller sent the request again
	Retry              bool                `msgpack:"g,omitempty"`  // not the first attempt of the request
	NestedRetryShare   float64             `msgpack:"pt,omitempty"` // for a first attempt: the share of it, 0 to 1, that was caused by a retried run of its caller
	Confidence         Confidence          `msgpack:"x,omitempty"`  // the ingress's confidence in ConfigVersion, determined after it read the request
	MaxQueueMS         int64               `msgpack:"wt,omitempty"` // maximum wait for a slot in ms; 0: the owner decides
	QueueBudgetMS      int64               `msgpack:"st,omitempty"` // for an attempt refused elsewhere: remaining queueing time in ms; 0: no limit of its own
	Repeatable         bool                `msgpack:"sf,omitempty"` // it may run again, so its run is ended when the caller disconnects
	UsualRunMS         int64               `msgpack:"us,omitempty"` // usual run time of such requests at a worker in ms, as the ingress knows it; 0: unknown
	NeedsRetryBudget   bool                `msgpack:"up,omitempty"` // the ingress's retry budget is exhausted: the owner's share of the budget pays, or it refuses
	AllowUnfinishedRun bool                `msgpack:"la,omitempty"` // another run of the request is or will be lost: one that may not finish in time is better than none
	AllowStoppingNode  bool                `msgpack:"an,omitempty"` // with AllowUnfinishedRun: no other worker took it, so one whose node is stopping is better than none
	IngressWaitMS      int64               `msgpack:"re,omitempty"` // ms until an ingress that was told to stop no longer waits for answers; 0: not told to stop
}

// RunEndNoticeKind is the message kind of a RunEndNotice. An owner that was told to stop
// sends it to the ingress of an attempt whose run it is going to end.
const RunEndNoticeKind = "run.ends"

// RunEndNotice identifies an attempt and says in how many ms the owner ends its run.
type RunEndNotice struct {
	AttemptID   string `msgpack:"a"`
	RemainingMS int64  `msgpack:"l"`
}

// WorkerLeavingKind is the message kind with which a node has a control node record that
// its worker is leaving, before the node acknowledges that to the worker.
const WorkerLeavingKind = "worker.leaves"

// The outcomes of an attempt.
const (
	Done    = "done"
	Refused = "refused" // the worker certainly did not get it and never will
	Unknown = "unknown"
)

// AttemptResult is the outcome of an attempt.
type AttemptResult struct {
	Outcome          string              `msgpack:"k"`
	Reason           string              `msgpack:"y,omitempty"`
	TimedOut         bool                `msgpack:"l,omitempty"` // the outcome is unknown because the time ran out
	ConfigMismatch   bool                `msgpack:"r,omitempty"` // refused because ingress and owner hold different configurations
	Status           int                 `msgpack:"s,omitempty"`
	Header           map[string][]string `msgpack:"h,omitempty"`
	Body             []byte              `msgpack:"b,omitempty"`
	Digest           string              `msgpack:"e,omitempty"`
	Worker           string              `msgpack:"w,omitempty"`
	RetryAfterMS     int64               `msgpack:"o,omitempty"`  // for a refusal: ms until there may be capacity
	UsedSlots        int                 `msgpack:"u"`            // slots in use, -1 if not known
	ConfigVersion    uint64              `msgpack:"v,omitempty"`  // for a ConfigMismatch: the version that the owner holds
	RunMicros        int64               `msgpack:"q,omitempty"`  // time that the worker took, in µs
	ReachedWorker    bool                `msgpack:"n,omitempty"`  // it reached the worker, whether it ran or not
	CalledByRequests bool                `msgpack:"in,omitempty"` // the owner sees this route called from within other requests
	NoFreeSlot       bool                `msgpack:"pa,omitempty"` // refused because no slot was free and the attempt may not queue
	PaceEighths      uint8               `msgpack:"p,omitempty"`  // run time at this worker relative to similar workers, in eighths
	FailedPer64      uint8               `msgpack:"f,omitempty"`  // share of the worker's recent requests that failed, in 64ths
	StoppingForMS    int64               `msgpack:"st,omitempty"` // if it was not done: ms since the owner was told to stop; 0: it was not
}
