package sim

import (
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/transport"
)

// purposes groups the message kinds by purpose.
var purposes = map[string]string{"job.hand": "jobs", "gossip": "gossip", "replica.digest": "repair", "replica.mend": "repair", "replica.all": "repair", "replica.fill": "repair",
	"session.beat": "sessions", "session.share": "sessions", "config.push": "configuration", "store.read": "confirmed polls", "store.beat": "leader's heartbeats",
	"store.accept": "versions", "store.duty": "duties", "store.offer": "coordination", "outer.call": "coordination", "store.watch": "coordination"}

// crossZoneBytes sums the bytes sent to other zones by purpose.
func (f *Fleet) crossZoneBytes() map[string]int64 {
	sums := map[string]int64{}
	add := func(traffic map[transport.Flow]transport.Traffic) {
		for flow, sent := range traffic {
			if !flow.OtherZone {
				continue
			}
			purpose := purposes[flow.Kind]
			if purpose == "" {
				purpose = "other"
			}
			sums[purpose] += sent.Bytes
		}
	}
	for _, n := range f.Nodes {
		add(n.Proxy.BytesSent())
	}
	for _, c := range f.ControlMachines {
		add(c.Store.BytesSent())
		add(c.Registry.BytesSent())
	}
	return sums
}

// TestBytes measures the bytes sent between zones for each request by purpose, at the full
// rate of the Fumettoteca shape.
func TestBytes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, Fumettoteca(1), 120)
		defer f.Stop()
		f.Start()
		Wait(3 * time.Second)
		before := f.crossZoneBytes()
		waitForApps := f.runCoordination(8 * time.Second)
		f.Load(f.Shape.Lines, 8*time.Second)()
		waitForApps()
		f.CheckInvariants()
		requests := float64(f.Observer.Counts()["done"])
		var names []string
		after := f.crossZoneBytes()
		for purpose := range after {
			names = append(names, purpose)
		}
		sort.Strings(names)
		total := 0.0
		for _, purpose := range names {
			bytes := float64(after[purpose] - before[purpose])
			total += bytes
			t.Logf("%-16s %7.1f bytes between zones for each request", purpose, bytes/requests)
		}
		t.Logf("%-16s %7.1f", "all", total/requests)
		if requests < 6000 || total/requests > 800 {
			t.Errorf("%.0f requests, %.0f bytes between zones for each", requests, total/requests)
		}
	})
}
