// Package controlclient is a node's session with one control node: the beats, what
// their receipts bring, and whether the node may act on what it holds.
package controlclient

import (
	"context"
	"sync"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/membership"
	"puffincrank/internal/patch"
	"puffincrank/internal/protocol"
	"puffincrank/internal/replica"
	"puffincrank/internal/settings"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

// Host is the node that the session is held for.
type Host interface {
	// Version names the configuration held, 0 for none.
	Version() uint64
	// Take puts a newer configuration in force and gives the document as it is
	// kept; false means that it can't.
	ApplyConfig(version uint64, doc []byte) ([]byte, bool)
	// Report adds to a beat what the node counted.
	FillHeartbeat(*protocol.Heartbeat)
	// Members hears of each new list of members.
	MembersChanged(all *membership.List)
	// Fronts hears how many fronts the mesh has.
	ProxyCountChanged(n int)
	// Filled is called when the replica was refilled.
	ReplicaRefilled()
	// Stands is called at each renewal of the session.
	SessionRenewed()
}

// Dependencies is what the session is built on.
type Dependencies struct {
	Settings     settings.Settings
	Log          *event.Log
	Group        *task.Group
	Node         *transport.Node
	Replica      *replica.Replica
	Self         membership.Member
	LastPauseEnd func() time.Time // the end of the newest freeze
	// Same gives a list as other nodes of this process hold it, if any do.
	SharedList func(*membership.List) *membership.List
}

// Client is the session with one control node.
type Client struct {
	deps               Dependencies
	host               Host
	mu                 sync.Mutex
	controlNode        string    // the control node of the session
	controlNodes       []string  // all control nodes known
	seeds              []string  // those that the settings name now
	confirmedAt        time.Time // when the configuration held here was last the newest, for certain
	disconnectedRound  time.Time // when the newest round began that found every control node out of touch
	disconnected       bool
	slow               bool // the newest round found neither one in touch nor a cut: answers are late
	stateChanged       chan struct{}
	beatNow            chan struct{}
	membersHash        uint64 // of the list of members, as the control node names it
	members            *membership.List
	lastRenewed        time.Time // when the session last stood
	refillAt           time.Time // when the control node is to be asked for a refill again
	refillAlternatives []string  // fellows that it filled meanwhile
	document           *patch.Document
	needFullDocument   bool // the next document must come whole: steps did not fit
}

// New readies a session; Run holds it.
func New(deps Dependencies, host Host) *Client {
	deps.Replica.SetRefillPending(true)
	return &Client{deps: deps, host: host, controlNodes: deps.Settings.Seeds, seeds: deps.Settings.Seeds, members: &membership.List{}, document: patch.NewDocument(stepsKept), stateChanged: make(chan struct{}), beatNow: make(chan struct{}, 1)}
}

func (t *Client) signalChange() {
	close(t.stateChanged)
	t.stateChanged = make(chan struct{})
}

// Run is the loop of beats.
func (t *Client) Run(ctx context.Context) {
	startedAt := time.Now()
	for {
		timer := time.NewTimer(t.nextDelay(startedAt))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-t.beatNow:
			timer.Stop()
		}
		t.renewSession(ctx)
	}
}

// nextDelay is how long the next beat is waited for. Until the first session stands
// nothing can be served, and after the loss of all the core is back within less
// than a beat: tries come in quick succession at first, each later by a quarter
// of the time that it has taken.
func (t *Client) nextDelay(startedAt time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastRenewed.IsZero() {
		return min(t.deps.Settings.HeartbeatInterval()/8+time.Since(startedAt)/4, t.deps.Settings.HeartbeatInterval())
	}
	return t.deps.Settings.HeartbeatInterval()
}

// HeartbeatNow makes the next beat come at once.
func (t *Client) HeartbeatNow() {
	select {
	case t.beatNow <- struct{}{}:
	default:
	}
}

// ControlNodes gives the control nodes known, that of the session first.
func (t *Client) ControlNodes() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.controlNode == "" {
		return t.controlNodes
	}
	return union([]string{t.controlNode}, t.controlNodes)
}

// SetSeeds names other control nodes to turn to when none of those known answers.
func (t *Client) SetSeeds(seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = seeds
	t.controlNodes = union(t.controlNodes, seeds)
}

// Current gives the control node of the session, and when the configuration held
// here was last the newest for certain.
func (t *Client) Current() (string, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.controlNode, t.confirmedAt
}

func union(a, b []string) []string {
	seen := map[string]bool{}
	var result []string
	for _, s := range append(append([]string(nil), a...), b...) {
		if !seen[s] {
			seen[s] = true
			result = append(result, s)
		}
	}
	return result
}
