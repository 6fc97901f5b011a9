package sim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
	"puffincrank/internal/store"
	"puffincrank/internal/transport"
)

// TestCutLeader cuts the leader off from the other machines, but not from callers,
// while the others elect a new leader and accept a write. A read at the old leader
// must be refused or current, never stale. A mutant that reads without a quorum
// round fails here.
func TestCutLeader(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		fleet := NewFleet(t, smallShape(), 90)
		defer fleet.Stop()
		fleet.Start()
		oldLeader := fleet.markFaulted(fleet.Leader())
		var ops []standin.Op
		call := func(address, value string) int {
			op := standin.Op{Key: "k", From: time.Now(), Write: value != "", Value: value}
			var code int
			if op.Write {
				code, _ = fleet.Request("PUT", address+":7003", "/puffin/keys/k?left_ms=4000", `{"value":"`+value+`"}`)
			} else {
				var answer map[string]any
				code, answer = fleet.Request("GET", address+":7003", "/puffin/keys/k?left_ms=300", "")
				op.Value, _ = answer["value"].(string)
			}
			op.To, op.Unknown = time.Now(), code != 200
			ops = append(ops, op)
			// Calls that touch at one instant would count as concurrent.
			Wait(10 * time.Millisecond)
			return code
		}
		call(fleet.Nodes[0].Host, "one")
		for _, c := range fleet.ControlMachines {
			fleet.Net.Cut(oldLeader.Host, c.Host, c != oldLeader)
			fleet.Net.Cut(c.Host, oldLeader.Host, c != oldLeader)
		}
		for _, node := range fleet.Nodes {
			fleet.Net.Cut(oldLeader.Host, node.Host, true)
			fleet.Net.Cut(node.Host, oldLeader.Host, true)
		}
		// Even right away, when a lease would still be valid by any clock, the old
		// leader must not answer, since it can't reach a majority.
		client := transport.NewNode(transport.Hello{ClusterID: "puffin", Node: "asker", Zone: "north", Role: "registry"}, fleet.env("asker", "10.0.9.5", "north", &oldLeader.skew), fleet.g, 1<<20, 4, time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		if answer, err := transport.Call[store.LeaderResponse](ctx, client, oldLeader.Host+":7001", "store.read", store.ReadRequest{Kind: "key", Name: "k"}); err == nil && answer.Done {
			t.Errorf("a read was answered without a majority: %+v", answer.Result)
		}
		cancel()
		client.Close()
		// Reads continue at the old leader while the leadership changes.
		writeCode, writeEnd := make(chan int, 1), time.Time{}
		fleet.g.Go("write", func(context.Context) {
			Wait(2500 * time.Millisecond)
			code, _ := fleet.Request("PUT", fleet.Nodes[1].Host+":7003", "/puffin/keys/k?left_ms=4000", `{"value":"two"}`)
			writeEnd = time.Now()
			writeCode <- code
		})
		start, answered := time.Now(), 0
		for time.Since(start) < 4*time.Second {
			if call(oldLeader.Host, "") == 200 {
				answered++
			}
		}
		code := <-writeCode
		ops = append(ops, standin.Op{Key: "k", From: start.Add(2500 * time.Millisecond), To: writeEnd, Write: true, Value: "two"})
		call(fleet.Nodes[1].Host, "")
		call(oldLeader.Host, "")
		if code != 200 || ops[len(ops)-2].Value != "two" {
			t.Fatalf("the others did not accept the write: status %d, then read %q", code, ops[len(ops)-2].Value)
		}
		if !standin.LinearizableKey(ops) {
			t.Errorf("stale read at the old leader: %+v", ops[len(ops)-1])
		}
		t.Logf("the old leader answered %d reads", answered)
	})
}
