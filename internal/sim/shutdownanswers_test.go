package sim

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// TestCallersAnsweredAtShutdown: requests at an ingress that is stopped take longer
// than its grace period. Each caller gets a complete answer before the process ends.
// Connections closed without an answer were seen with large answers on slow links,
// which reached their ingress only after it had ended.
func TestCallersAnsweredAtShutdown(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := Fumettoteca(0.1)
		s.ServiceTimes["scans"] = 40 * time.Second
		s.Config = strings.ReplaceAll(s.Config, `"left_ms":1000`, `"left_ms":60000`)
		f := NewFleet(t, s, 73)
		defer f.Stop()
		f.Start()
		node := f.Nodes[0]
		callers := standin.NewCallers(f.env("own", node.Host, node.Zone, &node.skew), []string{node.Host + ":8000"}, nil, 50*time.Second)
		results := make(chan standin.Call, 20)
		for range cap(results) {
			f.g.Go("call", func(context.Context) { results <- callers.CallAt(node.Host+":8000", s.Lines[2]) })
		}
		Wait(500 * time.Millisecond)
		node.Proxy.Stop()
		Wait(time.Second)
		for range cap(results) {
			if c := <-results; c.Status == 0 || c.Cut || c.Status == 200 {
				t.Errorf("a caller got %d (cut off: %v) after %v", c.Status, c.Cut, c.To.Sub(c.From))
			}
		}
	})
}
