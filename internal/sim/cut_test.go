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

// TestCutLeader: the writing store is cut off from the mesh, but not from
// callers, while the others win the duty and take a write. A read there is
// refused or new, never old; a mutant that reads without its round fails here.
func TestCutLeader(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		fleet := NewFleet(t, small(), 90)
		defer fleet.Stop()
		fleet.Start()
		oldLeader := fleet.mark(fleet.Writer())
		var ops []standin.Op
		call := func(address, value string) int {
			op := standin.Op{Key: "k", From: time.Now(), Write: value != "", Value: value}
			var code int
			if op.Write {
				code, _ = fleet.Ask("PUT", address+":7003", "/puffin/keys/k?left_ms=4000", `{"value":"`+value+`"}`)
			} else {
				var answer map[string]any
				code, answer = fleet.Ask("GET", address+":7003", "/puffin/keys/k?left_ms=300", "")
				op.Value, _ = answer["value"].(string)
			}
			op.To, op.Unknown = time.Now(), code != 200
			ops = append(ops, op)
			// Calls that meet at one moment would count as overlapping.
			Wait(10 * time.Millisecond)
			return code
		}
		call(fleet.Nodes[0].Host, "one")
		for _, c := range fleet.Cores {
			fleet.Net.Cut(oldLeader.Host, c.Host, c != oldLeader)
			fleet.Net.Cut(c.Host, oldLeader.Host, c != oldLeader)
		}
		for _, client := range fleet.Nodes {
			fleet.Net.Cut(oldLeader.Host, client.Host, true)
			fleet.Net.Cut(client.Host, oldLeader.Host, true)
		}
		// Asked at once, while its lease would still stand by any clock: it can't
		// reach a majority any more, so it may not say what it holds.
		client := transport.NewNode(transport.Hello{ClusterID: "puffin", Node: "asker", Zone: "north", Role: "registry"}, fleet.env("asker", "10.0.9.5", "north", &oldLeader.skew), fleet.g, 1<<20, 4, time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		if answer, err := transport.Call[store.LeaderResponse](ctx, client, oldLeader.Host+":7001", "store.read", store.ReadRequest{Kind: "key", Name: "k"}); err == nil && answer.Done {
			t.Errorf("a read was answered without a majority: %+v", answer.Result)
		}
		cancel()
		client.Close()
		// Reads go on at the old writer while the duty passes.
		writeCode, writeEnd := make(chan int, 1), time.Time{}
		fleet.g.Go("write", func(context.Context) {
			Wait(2500 * time.Millisecond)
			code, _ := fleet.Ask("PUT", fleet.Nodes[1].Host+":7003", "/puffin/keys/k?left_ms=4000", `{"value":"two"}`)
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
			t.Fatalf("the others did not take the write: %d, then %q", code, ops[len(ops)-2].Value)
		}
		if !standin.Linear(ops) {
			t.Errorf("an old read at the cut-off writer: %+v", ops[len(ops)-1])
		}
		t.Logf("%d reads were answered at the cut-off writer", answered)
	})
}
