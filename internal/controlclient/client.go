// Package controlclient maintains a node's session with one control node: it sends
// heartbeats, applies what their responses bring, and decides whether the node may act on
// the configuration that it holds.
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
	// Version returns the version of the configuration held, 0 for none.
	Version() uint64
	// ApplyConfig puts a newer configuration in force and returns the document as it is
	// kept; false means that it could not be applied.
	ApplyConfig(version uint64, doc []byte) ([]byte, bool)
	// FillHeartbeat adds the node's counters to a heartbeat.
	FillHeartbeat(*protocol.Heartbeat)
	// MembersChanged is called with each new member list.
	MembersChanged(list *membership.List)
	// ProxyCountChanged is called with the number of proxies in the cluster.
	ProxyCountChanged(count int)
	// ReplicaRefilled is called after the replica was refilled.
	ReplicaRefilled()
	// SessionRenewed is called at each renewal of the session.
	SessionRenewed()
}

// Dependencies are the components that a Client uses.
type Dependencies struct {
	Settings     settings.Settings
	Log          *event.Log
	Group        *task.Group
	Node         *transport.Node
	Replica      *replica.Replica
	Self         membership.Member
	LastPauseEnd func() time.Time // the end of the newest process pause
	// SharedList returns the list as another node of this process already holds it, if one
	// does, so that equal lists are kept once. It may be nil.
	SharedList func(*membership.List) *membership.List
}

// Client is a node's session with one control node.
type Client struct {
	deps                  Dependencies
	host                  Host
	mu                    sync.Mutex
	controlNode           string    // the control node that holds the session, "" for none
	controlNodes          []string  // all known control nodes
	seeds                 []string  // the control nodes named in the settings
	confirmedAt           time.Time // when the configuration held here was last known to be the newest
	lastDisconnectedRound time.Time // start of the newest round in which every control node was disconnected
	disconnected          bool
	slow                  bool // the newest round found no connected control node and no partition: answers are late
	stateChanged          chan struct{}
	heartbeatNow          chan struct{}
	membersHash           uint64 // hash of the member list, as the control node computed it
	members               *membership.List
	lastRenewed           time.Time // when the session was last renewed
	refillAt              time.Time // when to request a refill from the control node again
	refillAlternatives    []string  // peers that the control node has refilled meanwhile
	document              *patch.Document
	needFullDocument      bool // patches did not fit: the next document must come whole
}

// New returns a client; Run maintains its session.
func New(deps Dependencies, host Host) *Client {
	deps.Replica.SetRefillPending(true)
	return &Client{deps: deps, host: host, controlNodes: deps.Settings.Seeds, seeds: deps.Settings.Seeds, members: &membership.List{}, document: patch.NewDocument(stepsKept), stateChanged: make(chan struct{}), heartbeatNow: make(chan struct{}, 1)}
}

func (c *Client) signalChange() {
	close(c.stateChanged)
	c.stateChanged = make(chan struct{})
}

// Run sends heartbeats until the context ends.
func (c *Client) Run(ctx context.Context) {
	startedAt := time.Now()
	for {
		timer := time.NewTimer(c.nextDelay(startedAt))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-c.heartbeatNow:
			timer.Stop()
		}
		c.renewSession(ctx)
	}
}

// nextDelay returns the time until the next heartbeat. Before the first session nothing can
// be served, and after an outage of all machines the control plane is back within less than
// a heartbeat interval. So the first attempts follow each other quickly, and each further
// delay grows by a quarter of the time spent so far.
func (c *Client) nextDelay(startedAt time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastRenewed.IsZero() {
		return min(c.deps.Settings.HeartbeatInterval()/8+time.Since(startedAt)/4, c.deps.Settings.HeartbeatInterval())
	}
	return c.deps.Settings.HeartbeatInterval()
}

// HeartbeatNow triggers the next heartbeat at once.
func (c *Client) HeartbeatNow() {
	select {
	case c.heartbeatNow <- struct{}{}:
	default:
	}
}

// ControlNodes returns the known control nodes, the one that holds the session first.
func (c *Client) ControlNodes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.controlNode == "" {
		return c.controlNodes
	}
	return union([]string{c.controlNode}, c.controlNodes)
}

// SetSeeds replaces the seeds, which are tried when no known control node answers.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
	c.controlNodes = union(c.controlNodes, seeds)
}

// Current returns the control node that holds the session, and the time at which the
// configuration held here was last known to be the newest.
func (c *Client) Current() (string, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controlNode, c.confirmedAt
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
