package controlclient_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/controlclient"
	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/hlc"
	"puffincrank/internal/membership"
	"puffincrank/internal/protocol"
	"puffincrank/internal/replica"
	"puffincrank/internal/settings"
	"puffincrank/internal/sim"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

// pausableHost is a node that holds one configuration and nothing else. Version blocks
// while the process is paused.
type pausableHost struct {
	resumed *atomic.Pointer[chan struct{}] // closed while the process is not paused
}

func (h pausableHost) Version() uint64 {
	<-*h.resumed.Load()
	return 1
}
func (pausableHost) ApplyConfig(uint64, []byte) ([]byte, bool) { return nil, true }
func (pausableHost) FillHeartbeat(*protocol.Heartbeat)         {}
func (pausableHost) MembersChanged(*membership.List)           {}
func (pausableHost) ProxyCountChanged(int)                     {}
func (pausableHost) ReplicaRefilled()                          {}
func (pausableHost) SessionRenewed()                           {}

// pausableNet is the network of a process that can be paused: dials that are in progress
// return only after the pause.
type pausableNet struct {
	env.Net
	resumed atomic.Pointer[chan struct{}] // closed while the process is not paused
}

func (n *pausableNet) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := n.Net.Dial(ctx, addr)
	<-*n.resumed.Load()
	return conn, err
}

// A node that finds every control node disconnected may act on the configuration that it
// holds. But a round during which the process was paused proves nothing, since its answers
// may be waiting unread: a whole round after the pause is needed.
func TestPauseDuringProbeRound(t *testing.T) {
	for offset := range 7 {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testPauseDuringProbeRound(t, time.Duration(offset)*100*time.Millisecond) })
		})
	}
}

func testPauseDuringProbeRound(t *testing.T, offset time.Duration) {
	nodeSettings := settings.Settings{ConfigBound: 2 * time.Second, RecoveryBound: 15 * time.Second, RetireAfter: 10 * time.Second, Seeds: []string{"c1:1", "c2:1"}}
	network, group := sim.NewNet(1, time.Millisecond, time.Millisecond), task.New(context.Background())
	var hostResumed atomic.Pointer[chan struct{}]
	pausable, running := &pausableNet{Net: network.Host("h1")}, make(chan struct{})
	pausable.resumed.Store(&running)
	hostResumed.Store(&running)
	close(running)
	newNode := func(host string) (*transport.Node, *replica.Replica, *event.Log) {
		network.SetZone(host, "x")
		environment := env.Env{Net: network.Host(host), Log: event.New(host, nil), WallClock: time.Now}
		if host == "h1" {
			environment.Net = pausable
		}
		node := transport.NewNode(transport.Hello{ClusterID: "m", Node: host, Zone: "x"}, environment, group, 1<<20, 64, nodeSettings.CallTimeout())
		self := membership.Member{Node: host, Incarnation: "s", Role: "proxy", Zone: "x", InternalAddr: host + ":1"}
		return node, replica.New(self, node, group, environment.Log, hlc.New(time.Now, time.Minute), nodeSettings.HeartbeatInterval(), nodeSettings.RepairInterval(), nodeSettings.TombstoneTTL()), environment.Log
	}
	var controlNodes []*transport.Node
	for _, host := range []string{"c1", "c2"} {
		node, nodeReplica, _ := newNode(host)
		nodeReplica.SetMembers(&membership.List{})
		transport.Handle(node, "session.beat", func(context.Context, transport.Hello, protocol.Heartbeat) (protocol.HeartbeatResponse, error) {
			return protocol.HeartbeatResponse{Connected: true, ConfigVersion: 1}, nil
		})
		if err := node.Listen(host + ":1"); err != nil {
			t.Fatal(err)
		}
		controlNodes = append(controlNodes, node)
	}
	var pauseEnd atomic.Pointer[time.Time]
	pauseEnd.Store(&time.Time{})
	node, nodeReplica, log := newNode("h1")
	client := controlclient.New(controlclient.Dependencies{Settings: nodeSettings, Log: log, Group: group, Node: node, Replica: nodeReplica, Self: membership.Member{Node: "h1", Role: "proxy", Zone: "x"}, LastPauseEnd: func() time.Time { return *pauseEnd.Load() }}, pausableHost{&hostResumed})
	group.Go("touch", client.Run)
	defer func() {
		group.Cancel()
		for _, node := range append(controlNodes, node) {
			node.Close()
		}
		group.Stop()
	}()
	wait := func(d time.Duration) { <-time.After(d); synctest.Wait() }
	wait(time.Second)
	if addr, confirmedAt := client.Current(); addr == "" || client.Confidence() == protocol.Unconfirmed || time.Since(confirmedAt) > nodeSettings.ConfirmationTTL() {
		t.Fatalf("no session: control node %q, last confirmed %v ago", addr, time.Since(confirmedAt))
	}
	network.Isolate("h1", true)
	wait(3*time.Second + offset)
	if _, confirmedAt := client.Current(); client.Confidence() == protocol.Unconfirmed || time.Since(confirmedAt) <= nodeSettings.ConfirmationTTL() {
		t.Fatalf("the disconnected node may not act, last confirmed %v ago", time.Since(confirmedAt))
	}
	// Pause at some point of a round, with dials in progress.
	pause := make(chan struct{})
	pausable.resumed.Store(&pause)
	hostResumed.Store(&pause)
	wait(nodeSettings.HeartbeatInterval() + nodeSettings.PauseThreshold()) // the shortest pause that a process notices
	resumedAt := time.Now()
	pauseEnd.Store(&resumedAt)
	if client.Confidence() != protocol.Unconfirmed {
		t.Error("the node acts on a round from before the end of the pause")
	}
	// The loop resumes at once, its dials later.
	hostResumed.Store(&running)
	wait(time.Millisecond)
	client.HeartbeatNow()
	synctest.Wait()
	if client.Confidence() != protocol.Unconfirmed {
		t.Error("the node acts on dials from before the end of the pause")
	}
	close(pause)
	for client.Confidence() == protocol.Unconfirmed && time.Since(resumedAt) < 3*time.Second {
		wait(10 * time.Millisecond)
	}
	if d := time.Since(resumedAt); d < nodeSettings.CallTimeout()/2 || d > 2*nodeSettings.CallTimeout()+2*nodeSettings.HeartbeatInterval() {
		t.Errorf("the node acts again %v after the pause", d)
	}
	// Once reconnected, the node confirms the newest configuration without such a round.
	network.Isolate("h1", false)
	wait(2 * time.Second)
	if addr, confirmedAt := client.Current(); addr == "" || time.Since(confirmedAt) > nodeSettings.ConfirmationTTL() {
		t.Errorf("no session after reconnecting: control node %q", addr)
	}
}
