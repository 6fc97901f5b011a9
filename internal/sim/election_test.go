package sim

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// writerLost are the ways in which a writer falls out at once.
var writerLost = []struct {
	name string
	do   func(l *lab, w *Core)
}{
	{"killed", func(l *lab, w *Core) { l.KillCore(w, false) }},
	{"dark", func(l *lab, w *Core) { l.Net.Isolate(w.Host, true); l.KillCore(w, true) }},
	{"frozen", func(l *lab, w *Core) {
		l.Net.Freeze("store-"+w.Host, true)
		l.Net.Freeze("core-"+w.Host, true)
		w.Registry = nil
	}},
	{"cut", func(l *lab, w *Core) { l.Net.Isolate(w.Host, true); w.Registry = nil }},
}

// TestWriterLost: the writer is killed, without power, frozen or cut off; the
// next write goes through within three quarters of change_ms, whatever the seed.
func TestWriterLost(t *testing.T) {
	t.Parallel()
	for _, c := range writerLost {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var all []time.Duration
			for seed := range seeds(6) {
				synctest.Test(t, func(t *testing.T) {
					l := newLab(t, seed+500, 3, 1)
					defer l.Stop()
					l.up()
					l.next(10 * time.Second)
					Wait(2*time.Second + time.Duration(rand.Int64N(int64(300*time.Millisecond))))
					w := l.mark(l.Writer())
					r := w.Registry
					c.do(l, w)
					all = append(all, l.next(5*time.Second))
					l.Net.Freeze("store-"+w.Host, false)
					l.Net.Freeze("core-"+w.Host, false)
					if w.Store != nil {
						w.Registry = r
					}
				})
			}
			slices.Sort(all)
			t.Logf("%d seeds: median %v, worst %v", len(all), all[len(all)/2].Round(time.Millisecond), all[len(all)-1].Round(time.Millisecond))
			if all[len(all)-1] > 1500*time.Millisecond {
				t.Errorf("away for %v", all[len(all)-1])
			}
		})
	}
}
