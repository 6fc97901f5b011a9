package sim

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestSettingsUnderLoad: settings that change while jobs run are taken where
// they can be, and no job is cut or lost by it.
func TestSettingsUnderLoad(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := Fumettoteca(0.2)
		f := NewFleet(t, s, 48)
		defer f.Stop()
		f.Start()
		wait := f.Load(s.Lines, 12*time.Second)
		for i := range 10 {
			Wait(time.Second)
			for _, n := range f.Nodes {
				p := n.Proxy.Settings
				p.ConfigBound, p.LeaveBound, p.GracePeriod = p.ConfigBound*2, p.LeaveBound/2, p.GracePeriod/4
				p.MaxBodyBytes, p.MaxRequests, p.RetryRatio = 32<<10, 64+i, 0.3
				for _, name := range n.Proxy.Reload(p) {
					if name == "change_ms" || name == "leave_ms" || name == "grace_ms" {
						t.Errorf("%s can't be taken", name)
					}
				}
			}
		}
		wait()
		f.Judge()
		n := f.Nodes[0]
		if n.Proxy.Settings.ConfigBound != 2*time.Second {
			t.Errorf("a bound that beats follow from moved to %v", n.Proxy.Settings.ConfigBound)
		}
		for size, want := range map[int]int{16 << 10: 200, 64 << 10: 413} {
			r, _ := http.NewRequest("POST", "http://"+n.Host+":8000/scans/1", strings.NewReader(strings.Repeat("x", size)))
			w, err := f.way.RoundTrip(r)
			if err != nil || w.StatusCode != want {
				t.Errorf("a body of %d: %v %v, want %d", size, w, err, want)
			}
			if w != nil {
				_ = w.Body.Close()
			}
		}
		if done := f.Obs.Counts()["done"]; done < 2000 {
			t.Errorf("only %d jobs were done meanwhile", done)
		}
	})
}
