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
	x     Dependencies
	host  Host
	mu    sync.Mutex
	at    string    // the control node of the session
	core  []string  // all control nodes known
	seeds []string  // those that the settings name now
	sure  time.Time // when the configuration held here was last the newest, for certain
	out   time.Time // when the newest round began that found every control node out of touch
	lost  bool
	slow  bool // the newest round found neither one in touch nor a cut: answers are late
	turn  chan struct{}
	kick  chan struct{}
	hash  uint64 // of the list of members, as the control node names it
	book  *membership.List
	since time.Time // when the session last stood
	due   time.Time // when the control node is to be asked for a refill again
	tips  []string  // fellows that it filled meanwhile
	held  *patch.Document
	whole bool // the next document must come whole: steps did not fit
}

// New readies a session; Run holds it.
func New(x Dependencies, host Host) *Client {
	x.Replica.SetRefillPending(true)
	return &Client{x: x, host: host, core: x.Settings.Seeds, seeds: x.Settings.Seeds, book: &membership.List{}, held: patch.NewDocument(spare), turn: make(chan struct{}), kick: make(chan struct{}, 1)}
}

func (t *Client) stir() {
	close(t.turn)
	t.turn = make(chan struct{})
}

// Run is the loop of beats.
func (t *Client) Run(ctx context.Context) {
	from := time.Now()
	for {
		tick := time.NewTimer(t.pause(from))
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		case <-t.kick:
			tick.Stop()
		}
		t.once(ctx)
	}
}

// pause is how long the next beat is waited for. Until the first session stands
// nothing can be served, and after the loss of all the core is back within less
// than a beat: tries come in quick succession at first, each later by a quarter
// of the time that it has taken.
func (t *Client) pause(from time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.since.IsZero() {
		return min(t.x.Settings.HeartbeatInterval()/8+time.Since(from)/4, t.x.Settings.HeartbeatInterval())
	}
	return t.x.Settings.HeartbeatInterval()
}

// HeartbeatNow makes the next beat come at once.
func (t *Client) HeartbeatNow() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// ControlNodes gives the control nodes known, that of the session first.
func (t *Client) ControlNodes() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.at == "" {
		return t.core
	}
	return union([]string{t.at}, t.core)
}

// SetSeeds names other control nodes to turn to when none of those known answers.
func (t *Client) SetSeeds(all []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = all
	t.core = union(t.core, all)
}

// Current gives the control node of the session, and when the configuration held
// here was last the newest for certain.
func (t *Client) Current() (string, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.at, t.sure
}

func union(a, b []string) []string {
	seen := map[string]bool{}
	var out []string
	for _, s := range append(append([]string(nil), a...), b...) {
		if !seen[s] {
			seen[s] = true
			out = append(out, s)
		}
	}
	return out
}
