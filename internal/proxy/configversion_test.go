package proxy

import (
	"io"
	"testing"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/settings"
	"puffincrank/internal/task"
)

// TestConfigNeverReverts checks that a configuration that arrives late, after the session's own
// check of its version, never replaces a newer one.
func TestConfigNeverReverts(t *testing.T) {
	conf := settings.Settings{Node: "n", ClusterID: "m", Zone: "a", ConfigBound: 2 * time.Second, LeaveBound: 2 * time.Second, RetryWindow: 10 * time.Second, RecoveryBound: 15 * time.Second, RetireAfter: 10 * time.Second,
		MaxFrameBytes: 1 << 20, MaxBodyBytes: 1 << 20, MaxRequests: 16, GracePeriod: time.Second, Seeds: []string{"10.0.0.1:1"}}
	x := New(conf, env.Env{WallClock: time.Now, Sleep: task.Sleep, Log: event.New("n", io.Discard)})
	doc := []byte(`{"services":[{"name":"s"}],"classes":[{"name":"c","share":100}],"paths":[{"name":"p","prefix":"/p","service":"s","class":"c"}]}`)
	for _, v := range []uint64{3, 2, 3, 1} {
		if !x.applyConfig(v, doc) || x.rules.Load().Version != 3 {
			t.Fatalf("version %d in force after version %d arrived", x.rules.Load().Version, v)
		}
	}
	if x.applyConfig(4, []byte("{")) || x.rules.Load().Version != 3 {
		t.Error("an invalid configuration was applied")
	}
	if !x.applyConfig(4, doc) || x.rules.Load().Version != 4 {
		t.Error("a newer configuration was not applied")
	}
}
