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

// When the control node has used up its refill capacity, the list comes from a peer that
// has it. A list that differs from the control node's is accepted only by a node that knows
// next to nothing, and a peer without a current session serves no list.
func TestMemberListFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := task.New(context.Background())
		defer group.Stop()
		nodeSettings := settings.Settings{ConfigBound: 2 * time.Second, RecoveryBound: 15 * time.Second, RetireAfter: 10 * time.Second}
		network := &transport.LocalNet{Network: transport.NewLocalNetwork(func(string, string) time.Duration { return time.Millisecond })}
		newClient := func(name string) *Client {
			environment := env.Env{Net: network, Log: event.New(name, nil), WallClock: time.Now}
			transportNode := transport.NewNode(transport.Hello{ClusterID: "m", Node: name, Zone: "x"}, environment, group, 1<<20, 8, nodeSettings.CallTimeout())
			self := membership.Member{Node: name, Role: "proxy", Zone: "x", InternalAddr: name + ":1"}
			nodeReplica := replica.New(self, transportNode, group, environment.Log, hlc.New(time.Now, time.Minute), nodeSettings.HeartbeatInterval(), time.Hour, time.Hour)
			client := New(Dependencies{Settings: nodeSettings, Log: environment.Log, Group: group, Node: transportNode, Replica: nodeReplica, Self: self}, nil)
			client.RegisterHandlers()
			if err := transportNode.Listen(self.InternalAddr); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(transportNode.Close)
			return client
		}
		var members []membership.Member
		for i := range 600 {
			members = append(members, membership.Member{Node: fmt.Sprint("n", i), Role: "proxy", Zone: "z", InternalAddr: fmt.Sprintf("n%d:1", i)})
		}
		newest, older := membership.NewList(members), membership.NewList(members[:590])
		peer, node := newClient("fellow"), newClient("node")
		controlNode := transport.NewNode(transport.Hello{ClusterID: "m", Node: "core", Zone: "x"}, env.Env{Net: network, Log: event.New("core", nil), WallClock: time.Now}, group, 1<<20, 8, nodeSettings.CallTimeout())
		transport.Handle(controlNode, "session.members", func(context.Context, transport.Hello, protocol.MemberListRequest) (protocol.MemberListResponse, error) {
			return protocol.MemberListResponse{Hash: newest.Hash(), Busy: true, Alternatives: []string{"fellow:1"}}, nil
		})
		if err := controlNode.Listen("core:1"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(controlNode.Close)
		repair := func(list *membership.List) *membership.List {
			return node.repairMembers(t.Context(), "core:1", list, newest.Hash(), newest.ProxyCount())
		}
		peer.members = newest
		if list := repair(&membership.List{}); list.Len() != 0 {
			t.Errorf("got %d members from a peer without a session", list.Len())
		}
		peer.lastRenewed = time.Now()
		if list := repair(&membership.List{}); list.Hash() != newest.Hash() {
			t.Errorf("got %d of %d members for a node that knew none", list.Len(), newest.Len())
		}
		if list := repair(older); list.Hash() != newest.Hash() {
			t.Error("the newest list was not accepted")
		}
		peer.members = older
		if list := repair(membership.NewList(members[:595])); list.Len() != 595 {
			t.Errorf("an older list replaced a newer one: %d members", list.Len())
		}
		if list := repair(membership.NewList(members[:5])); list.Hash() != older.Hash() {
			t.Errorf("a node that knows 5 members did not accept a nearly complete list: %d", list.Len())
		}
		peer.deps.Replica.RecordRefillBytes(1 << 20)
		if list := repair(older); list.Hash() != older.Hash() {
			t.Error("a peer without refill capacity served its list")
		}
	})
}
