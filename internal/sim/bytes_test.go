package sim

import (
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/transport"
)

// groups puts the kinds of message under what they are for.
var groups = map[string]string{"job.hand": "jobs", "gossip": "gossip", "replica.digest": "repair", "replica.mend": "repair", "replica.all": "repair", "replica.fill": "repair",
	"session.beat": "sessions", "session.share": "sessions", "config.push": "configuration", "store.read": "confirmed polls", "store.beat": "writer's beats",
	"store.accept": "versions", "store.duty": "duties", "store.offer": "coordination", "outer.call": "coordination", "store.watch": "coordination"}

// away sums the bytes sent to other areas, by what they are for.
func (f *Fleet) away() map[string]int64 {
	out := map[string]int64{}
	add := func(all map[transport.Flow]transport.Traffic) {
		for k, s := range all {
			if !k.OtherZone {
				continue
			}
			g := groups[k.Kind]
			if g == "" {
				g = "other"
			}
			out[g] += s.Bytes
		}
	}
	for _, n := range f.Nodes {
		add(n.Proxy.BytesSent())
	}
	for _, c := range f.Cores {
		add(c.Store.BytesSent())
		add(c.Registry.BytesSent())
	}
	return out
}

// TestBytes measures the bytes between areas for each job in the Fumettoteca's
// shape at its full rate, split by what they are for.
func TestBytes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, Fumettoteca(1), 120)
		defer f.Stop()
		f.Start()
		Wait(3 * time.Second)
		before := f.away()
		apps := f.apps(8 * time.Second)
		f.Load(f.S.Lines, 8*time.Second)()
		apps()
		f.Judge()
		jobs := float64(f.Obs.Counts()["done"])
		var names []string
		after := f.away()
		for k := range after {
			names = append(names, k)
		}
		sort.Strings(names)
		all := 0.0
		for _, k := range names {
			b := float64(after[k] - before[k])
			all += b
			t.Logf("%-16s %7.1f bytes between areas for each job", k, b/jobs)
		}
		t.Logf("%-16s %7.1f", "all", all/jobs)
		if jobs < 6000 || all/jobs > 800 {
			t.Errorf("%.0f jobs, %.0f bytes between areas for each", jobs, all/jobs)
		}
	})
}
