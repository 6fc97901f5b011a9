package sim

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestSettingsUnderLoad changes settings while requests run. The settings that can change
// at run time take effect, and no request is aborted or lost.
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
						t.Errorf("%s could not be changed", name)
					}
				}
			}
		}
		wait()
		f.CheckInvariants()
		node := f.Nodes[0]
		if node.Proxy.Settings.ConfigBound != 2*time.Second {
			t.Errorf("change_ms, from which heartbeat intervals follow, changed to %v", node.Proxy.Settings.ConfigBound)
		}
		for size, want := range map[int]int{16 << 10: 200, 64 << 10: 413} {
			request, _ := http.NewRequest("POST", "http://"+node.Host+":8000/scans/1", strings.NewReader(strings.Repeat("x", size)))
			response, err := f.client.RoundTrip(request)
			if err != nil || response.StatusCode != want {
				t.Errorf("a body of %d bytes: %v %v, want %d", size, response, err, want)
			}
			if response != nil {
				_ = response.Body.Close()
			}
		}
		if done := f.Observer.Counts()["done"]; done < 2000 {
			t.Errorf("only %d requests were served meanwhile", done)
		}
	})
}
