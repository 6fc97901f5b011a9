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
		shape := Fumettoteca(0.2)
		f := NewFleet(t, shape, 48)
		defer f.Stop()
		f.Start()
		wait := f.Load(shape.Lines, 12*time.Second)
		for i := range 10 {
			Wait(time.Second)
			for _, node := range f.Nodes {
				settings := node.Proxy.Settings
				settings.ConfigBound, settings.LeaveBound, settings.GracePeriod = settings.ConfigBound*2, settings.LeaveBound/2, settings.GracePeriod/4
				settings.MaxBodyBytes, settings.MaxRequests, settings.RetryRatio = 32<<10, 64+i, 0.3
				for _, name := range node.Proxy.Reload(settings) {
					if name == "change_ms" || name == "leave_ms" || name == "grace_ms" {
						t.Errorf("%s can't be taken", name)
					}
				}
			}
		}
		wait()
		f.Judge()
		node := f.Nodes[0]
		if node.Proxy.Settings.ConfigBound != 2*time.Second {
			t.Errorf("a bound that beats follow from moved to %v", node.Proxy.Settings.ConfigBound)
		}
		for size, want := range map[int]int{16 << 10: 200, 64 << 10: 413} {
			request, _ := http.NewRequest("POST", "http://"+node.Host+":8000/scans/1", strings.NewReader(strings.Repeat("x", size)))
			response, err := f.way.RoundTrip(request)
			if err != nil || response.StatusCode != want {
				t.Errorf("a body of %d: %v %v, want %d", size, response, err, want)
			}
			if response != nil {
				_ = response.Body.Close()
			}
		}
		if done := f.Obs.Counts()["done"]; done < 2000 {
			t.Errorf("only %d jobs were done meanwhile", done)
		}
	})
}
