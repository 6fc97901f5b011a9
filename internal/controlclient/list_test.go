package controlclient

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/hlc"
	"puffincrank/internal/membership"
	"puffincrank/internal/protocol"
	"puffincrank/internal/replica"
	"puffincrank/internal/settings"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

// TestListFromFellow: while the control node has handed out all that it may, a
// list comes from who has it; one that differs from the control node's is taken
// only by a node that knows next to nothing; and who has no session that stands
// gives none.
func TestListFromFellow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := task.New(context.Background())
		defer g.Stop()
		p := settings.Settings{ConfigBound: 2 * time.Second, RecoveryBound: 15 * time.Second, RetireAfter: 10 * time.Second}
		road := &transport.LocalNet{Network: transport.NewLocalNetwork(func(string, string) time.Duration { return time.Millisecond })}
		up := func(name string) *Client {
			e := env.Env{Net: road, Log: event.New(name, nil), WallClock: time.Now}
			w := transport.NewNode(transport.Hello{ClusterID: "m", Node: name, Zone: "x"}, e, g, 1<<20, 8, p.CallTimeout())
			self := membership.Member{Node: name, Role: "proxy", Zone: "x", InternalAddr: name + ":1"}
			rep := replica.New(self, w, g, e.Log, hlc.New(time.Now, time.Minute), p.HeartbeatInterval(), time.Hour, time.Hour)
			x := New(Dependencies{Settings: p, Log: e.Log, Group: g, Node: w, Replica: rep, Self: self}, nil)
			x.RegisterHandlers()
			if err := w.Listen(self.InternalAddr); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(w.Close)
			return x
		}
		var all []membership.Member
		for i := range 600 {
			all = append(all, membership.Member{Node: fmt.Sprint("n", i), Role: "proxy", Zone: "z", InternalAddr: fmt.Sprintf("n%d:1", i)})
		}
		newest, older := membership.NewList(all), membership.NewList(all[:590])
		fellow, node := up("fellow"), up("node")
		core := transport.NewNode(transport.Hello{ClusterID: "m", Node: "core", Zone: "x"}, env.Env{Net: road, Log: event.New("core", nil), WallClock: time.Now}, g, 1<<20, 8, p.CallTimeout())
		transport.Handle(core, "session.members", func(context.Context, transport.Hello, protocol.MemberListRequest) (protocol.MemberListResponse, error) {
			return protocol.MemberListResponse{Hash: newest.Hash(), Busy: true, Alternatives: []string{"fellow:1"}}, nil
		})
		if err := core.Listen("core:1"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(core.Close)
		ask := func(b *membership.List) *membership.List {
			return node.parts(t.Context(), "core:1", b, newest.Hash(), newest.ProxyCount())
		}
		fellow.book = newest
		if b := ask(&membership.List{}); b.Len() != 0 {
			t.Errorf("%d members from one without a session", b.Len())
		}
		fellow.since = time.Now()
		if b := ask(&membership.List{}); b.Hash() != newest.Hash() {
			t.Errorf("%d members of %d for one that knew none", b.Len(), newest.Len())
		}
		if b := ask(older); b.Hash() != newest.Hash() {
			t.Error("the newest list was not taken")
		}
		fellow.book = older
		if b := ask(membership.NewList(all[:595])); b.Len() != 595 {
			t.Errorf("an older list undid what was known: %d", b.Len())
		}
		if b := ask(membership.NewList(all[:5])); b.Hash() != older.Hash() {
			t.Errorf("nearly all is not taken by one that knows 5: %d", b.Len())
		}
		fellow.x.Replica.RecordRefillBytes(1 << 20)
		if b := ask(older); b.Hash() != older.Hash() {
			t.Error("one that handed out its part hands out more")
		}
	})
}
