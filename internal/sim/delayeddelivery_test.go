package sim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/protocol"
	"puffincrank/internal/rules"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

// TestDelayedDelivery: attempts that a cut link held back on their way to the owner run
// only if their timeout has not passed. The timeout counts from when they were sent,
// not from when the owner read them.
func TestDelayedDelivery(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, smallShape(), 390)
		defer f.Stop()
		f.Start()
		n := f.Nodes[0]
		line := f.Shape.Lines[0]
		for _, l := range f.Shape.Lines {
			if l.Service == n.Worker.Service {
				line = l
			}
		}
		tasks := task.New(t.Context())
		// The idle limit of an hour keeps its links open for the whole test.
		ingress := transport.NewNode(transport.Hello{ClusterID: "puffin", Node: "held", Zone: "north", Role: "proxy"}, f.env("held", "10.0.9.5", "north", &n.skew), tasks, 1<<20, 4, time.Hour)
		compiled, problems, err := rules.Compile(1, []byte(f.Shape.Config))
		if err != nil || len(problems) > 0 {
			t.Fatal(problems, err)
		}
		route := compiled.Match("", line.Method, line.URI)
		deliver := func(i int, timeout time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			result, err := transport.Call[protocol.AttemptResult](ctx, ingress, n.Host+":7002", "job.hand", protocol.AttemptRequest{RequestID: fmt.Sprint("held", i), AttemptID: fmt.Sprint("held", i, ".1"),
				Route: route.Name, ConfigVersion: 1, Service: line.Service, Class: route.Base.Class, Worker: n.Worker.ID, Method: line.Method, URI: line.URI, TimeoutMS: 60_000})
			if err == nil && result.Outcome != protocol.Done {
				t.Errorf("%+v", result)
			}
			return err
		}
		if err := deliver(0, time.Second); err != nil {
			t.Fatal(err)
		}
		before := n.Worker.Ran()
		f.Net.Cut("10.0.9.5", n.Host, true)
		errs := make(chan error, 2)
		for i, timeout := range []time.Duration{time.Second, 4 * time.Second} {
			go func() { errs <- deliver(i+1, timeout) }()
		}
		Wait(2 * time.Second)
		f.Net.Cut("10.0.9.5", n.Host, false)
		if err := <-errs; !fault.Is(err, fault.Unknown) {
			t.Errorf("the attempt with a 1 s timeout ended with %v", err)
		}
		if err := <-errs; err != nil {
			t.Errorf("the attempt with a 4 s timeout ended with %v", err)
		}
		Wait(time.Second)
		if ran := n.Worker.Ran() - before; ran != 1 {
			t.Errorf("%d of the two attempts ran, want 1", ran)
		}
		ingress.Close()
		tasks.Stop()
	})
}
