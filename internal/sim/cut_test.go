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

// TestCutWriter: the writing store is cut off from the mesh, but not from
// callers, while the others win the duty and take a write. A read there is
// refused or new, never old; a mutant that reads without its round fails here.
func TestCutWriter(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, small(), 90)
		defer f.Stop()
		f.Start()
		old := f.mark(f.Writer())
		var ops []standin.Op
		do := func(at, value string) int {
			op := standin.Op{Key: "k", From: time.Now(), Write: value != "", Value: value}
			var code int
			if op.Write {
				code, _ = f.Ask("PUT", at+":7003", "/puffin/keys/k?left_ms=4000", `{"value":"`+value+`"}`)
			} else {
				var got map[string]any
				code, got = f.Ask("GET", at+":7003", "/puffin/keys/k?left_ms=300", "")
				op.Value, _ = got["value"].(string)
			}
			op.To, op.Unknown = time.Now(), code != 200
			ops = append(ops, op)
			// Calls that meet at one moment would count as overlapping.
			Wait(10 * time.Millisecond)
			return code
		}
		do(f.Nodes[0].Host, "one")
		for _, c := range f.Cores {
			f.Net.Cut(old.Host, c.Host, c != old)
			f.Net.Cut(c.Host, old.Host, c != old)
		}
		for _, n := range f.Nodes {
			f.Net.Cut(old.Host, n.Host, true)
			f.Net.Cut(n.Host, old.Host, true)
		}
		// Asked at once, while its lease would still stand by any clock: it can't
		// reach a majority any more, so it may not say what it holds.
		n := transport.NewNode(transport.Hello{ClusterID: "puffin", Node: "asker", Zone: "north", Role: "registry"}, f.env("asker", "10.0.9.5", "north", &old.skew), f.g, 1<<20, 4, time.Second)
		one, end := context.WithTimeout(t.Context(), 400*time.Millisecond)
		if got, err := transport.Call[store.LeaderResponse](one, n, old.Host+":7001", "store.read", store.ReadRequest{Kind: "key", Name: "k"}); err == nil && got.Done {
			t.Errorf("a read was answered without a majority: %+v", got.Result)
		}
		end()
		n.Close()
		// Reads go on at the old writer while the duty passes.
		wrote, done := make(chan int, 1), time.Time{}
		f.g.Go("write", func(context.Context) {
			Wait(2500 * time.Millisecond)
			code, _ := f.Ask("PUT", f.Nodes[1].Host+":7003", "/puffin/keys/k?left_ms=4000", `{"value":"two"}`)
			done = time.Now()
			wrote <- code
		})
		from, known := time.Now(), 0
		for time.Since(from) < 4*time.Second {
			if do(old.Host, "") == 200 {
				known++
			}
		}
		code := <-wrote
		ops = append(ops, standin.Op{Key: "k", From: from.Add(2500 * time.Millisecond), To: done, Write: true, Value: "two"})
		do(f.Nodes[1].Host, "")
		do(old.Host, "")
		if code != 200 || ops[len(ops)-2].Value != "two" {
			t.Fatalf("the others did not take the write: %d, then %q", code, ops[len(ops)-2].Value)
		}
		if !standin.Linear(ops) {
			t.Errorf("an old read at the cut-off writer: %+v", ops[len(ops)-1])
		}
		t.Logf("%d reads were answered at the cut-off writer", known)
	})
}
