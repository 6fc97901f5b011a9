package proxy

import (
	"fmt"
	"testing"

	"puffincrank/internal/rules"
	"puffincrank/internal/settings"
)

// TestBodyLimits checks that the configured limit on bodies holds as soon as it is in force, up
// to what a frame can carry, and that the process setting holds without one.
func TestBodyLimits(t *testing.T) {
	x := &Proxy{Settings: settings.Settings{MaxBodyBytes: 1 << 20, MaxFrameBytes: 16 << 20}}
	for _, c := range []struct{ configured, maxRequest, maxResponse int64 }{{0, 1 << 20, 1 << 20}, {4 << 20, 4 << 20, 4 << 20}, {64 << 20, 8 << 20, 8 << 20}, {1000, 1000, 1 << 20}} {
		doc := fmt.Sprintf(`{"version":1,"services":[{"name":"s"}],"paths":[{"name":"p","prefix":"/p/","service":"s"}],"limits":{"body_bytes":%d}}`, c.configured)
		if c.configured == 0 {
			doc = `{"version":1,"services":[{"name":"s"}],"paths":[{"name":"p","prefix":"/p/","service":"s"}]}`
		}
		x.rules.Store(compileRules(t, doc))
		if x.maxRequestBody() != c.maxRequest || x.maxResponseBody() != c.maxResponse {
			t.Errorf("limit %d: %d for requests and %d for responses", c.configured, x.maxRequestBody(), x.maxResponseBody())
		}
	}
}

// TestRetryLimits checks that the platform's retry limits override those of the configuration,
// also if only the ratio or only the allowance is set.
func TestRetryLimits(t *testing.T) {
	r := &rules.Rules{RetryRatio: 0.2, RetryAllowance: 50}
	for _, c := range []struct {
		ratio     float64
		allowance int
		want      [2]float64
	}{{0, 0, [2]float64{0.2, 50}}, {0.1, 60, [2]float64{0.1, 60}}, {0, 60, [2]float64{0, 60}}, {0.3, 0, [2]float64{0.3, 0}}} {
		x := &Proxy{Settings: settings.Settings{RetryRatio: c.ratio, RetryAllowance: c.allowance}}
		if ratio, allowance := x.retryLimits(r); ratio != c.want[0] || float64(allowance) != c.want[1] {
			t.Errorf("settings %g and %d: limits %g and %d", c.ratio, c.allowance, ratio, allowance)
		}
	}
}

func compileRules(t *testing.T, doc string) *rules.Rules {
	t.Helper()
	r, bad, err := rules.Compile(1, []byte(doc))
	if err != nil || len(bad) > 0 {
		t.Fatal(bad, err)
	}
	return r
}
