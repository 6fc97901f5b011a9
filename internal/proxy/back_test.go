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

// TestNeverBack: a configuration that comes late, past the session's own look
// at its number, never takes the place of a newer one.
func TestNeverBack(t *testing.T) {
	p := settings.Settings{Node: "n", ClusterID: "m", Zone: "a", ConfigBound: 2 * time.Second, LeaveBound: 2 * time.Second, RetryWindow: 10 * time.Second, RecoveryBound: 15 * time.Second, RetireAfter: 10 * time.Second,
		MaxFrameBytes: 1 << 20, MaxBodyBytes: 1 << 20, MaxRequests: 16, GracePeriod: time.Second, Seeds: []string{"10.0.0.1:1"}}
	x := New(p, env.Env{WallClock: time.Now, Sleep: task.Sleep, Log: event.New("n", io.Discard)})
	doc := []byte(`{"services":[{"name":"s"}],"classes":[{"name":"c","share":100}],"paths":[{"name":"p","prefix":"/p","service":"s","class":"c"}]}`)
	for _, v := range []uint64{3, 2, 3, 1} {
		if !x.take(v, doc) || x.rules.Load().Version != 3 {
			t.Fatalf("version %d in force after %d came", x.rules.Load().Version, v)
		}
	}
	if x.take(4, []byte("{")) || x.rules.Load().Version != 3 {
		t.Error("a broken one was taken")
	}
	if !x.take(4, doc) || x.rules.Load().Version != 4 {
		t.Error("a newer one was not taken")
	}
}
