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

// host is a node that holds one configuration and nothing else. While it is
// frozen nobody is asked.
type host struct {
	thaw *atomic.Pointer[chan struct{}] // closed while there is no freeze
}

func (h host) Version() uint64 {
	<-*h.thaw.Load()
	return 1
}
func (host) ApplyConfig(uint64, []byte) ([]byte, bool) { return nil, true }
func (host) FillHeartbeat(*protocol.Heartbeat)         {}
func (host) MembersChanged(*membership.List)           {}
func (host) ProxyCountChanged(int)                     {}
func (host) ReplicaRefilled()                          {}
func (host) SessionRenewed()                           {}

// icy is the network of a process that may be frozen: the dials of before end
// only after it.
type icy struct {
	env.Net
	thaw atomic.Pointer[chan struct{}] // closed while there is no freeze
}

func (n *icy) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := n.Net.Dial(ctx, addr)
	<-*n.thaw.Load()
	return c, err
}

// TestFrozenRound: a node that finds every control node out of touch may act on
// what it holds; but a round that a freeze fell into says nothing, since its
// answers may wait unread: then a whole round after the freeze is needed.
func TestFrozenRound(t *testing.T) {
	for late := range 7 {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { frozenRound(t, time.Duration(late)*100*time.Millisecond) })
		})
	}
}

func frozenRound(t *testing.T, late time.Duration) {
	p := settings.Settings{ConfigBound: 2 * time.Second, RecoveryBound: 15 * time.Second, RetireAfter: 10 * time.Second, Seeds: []string{"c1:1", "c2:1"}}
	air, g := sim.NewNet(1, time.Millisecond, time.Millisecond), task.New(context.Background())
	var loop atomic.Pointer[chan struct{}]
	cold, none := &icy{Net: air.Host("h1")}, make(chan struct{})
	cold.thaw.Store(&none)
	loop.Store(&none)
	close(none)
	up := func(h string) (*transport.Node, *replica.Replica, *event.Log) {
		air.Place(h, "x")
		e := env.Env{Net: air.Host(h), Log: event.New(h, nil), WallClock: time.Now}
		if h == "h1" {
			e.Net = cold
		}
		w := transport.NewNode(transport.Hello{ClusterID: "m", Node: h, Zone: "x"}, e, g, 1<<20, 64, p.CallTimeout())
		f := membership.Member{Node: h, Incarnation: "s", Role: "proxy", Zone: "x", InternalAddr: h + ":1"}
		return w, replica.New(f, w, g, e.Log, hlc.New(time.Now, time.Minute), p.HeartbeatInterval(), p.RepairInterval(), p.TombstoneTTL()), e.Log
	}
	var all []*transport.Node
	for _, h := range []string{"c1", "c2"} {
		w, rep, _ := up(h)
		rep.SetMembers(&membership.List{})
		transport.Handle(w, "session.beat", func(context.Context, transport.Hello, protocol.Heartbeat) (protocol.HeartbeatResponse, error) {
			return protocol.HeartbeatResponse{InTouch: true, ConfigVersion: 1}, nil
		})
		if err := w.Listen(h + ":1"); err != nil {
			t.Fatal(err)
		}
		all = append(all, w)
	}
	var woke atomic.Pointer[time.Time]
	woke.Store(&time.Time{})
	w, rep, log := up("h1")
	x := controlclient.New(controlclient.Dependencies{Settings: p, Log: log, Group: g, Node: w, Replica: rep, Self: membership.Member{Node: "h1", Role: "proxy", Zone: "x"}, LastPauseEnd: func() time.Time { return *woke.Load() }}, host{&loop})
	g.Go("touch", x.Run)
	defer func() {
		g.Cancel()
		for _, w := range append(all, w) {
			w.Close()
		}
		g.Stop()
	}()
	wait := func(d time.Duration) { <-time.After(d); synctest.Wait() }
	wait(time.Second)
	if at, sure := x.Current(); at == "" || x.Confidence() == protocol.Unconfirmed || time.Since(sure) > p.ConfirmationTTL() {
		t.Fatalf("no session stands: %q %v", at, time.Since(sure))
	}
	air.Isolate("h1", true)
	wait(3*time.Second + late)
	if _, sure := x.Current(); x.Confidence() == protocol.Unconfirmed || time.Since(sure) <= p.ConfirmationTTL() {
		t.Fatalf("out of touch, it may not act: %v", time.Since(sure))
	}
	// Frozen at one of the instants of a round, with dials under way.
	ice := make(chan struct{})
	cold.thaw.Store(&ice)
	loop.Store(&ice)
	wait(p.HeartbeatInterval() + p.PauseThreshold()) // the shortest that a process notices
	at := time.Now()
	woke.Store(&at)
	if x.Confidence() != protocol.Unconfirmed {
		t.Error("it acts by a round of before the freeze's end")
	}
	// The loop goes on at once, its dials hear later.
	loop.Store(&none)
	wait(time.Millisecond)
	x.HeartbeatNow()
	synctest.Wait()
	if x.Confidence() != protocol.Unconfirmed {
		t.Error("it acts by what its dials of before the freeze say")
	}
	close(ice)
	for x.Confidence() == protocol.Unconfirmed && time.Since(at) < 3*time.Second {
		wait(10 * time.Millisecond)
	}
	if d := time.Since(at); d < p.CallTimeout()/2 || d > 2*p.CallTimeout()+2*p.HeartbeatInterval() {
		t.Errorf("it acts again %v after the freeze", d)
	}
	// Back in touch it is sure of the newest, without any such round.
	air.Isolate("h1", false)
	wait(2 * time.Second)
	if at, sure := x.Current(); at == "" || time.Since(sure) > p.ConfirmationTTL() {
		t.Errorf("no session came back: %q", at)
	}
}
