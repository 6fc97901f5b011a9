package registry

import (
	"io"
	"testing"
	"time"

	"puffincrank/internal/disk"
	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/hlc"
	"puffincrank/internal/ormap"
	"puffincrank/internal/settings"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

// onDisk makes a control node that keeps its workers in a folder.
func onDisk(t *testing.T, folder string) *Registry {
	t.Helper()
	fs, err := disk.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	p := settings.Settings{Node: "c", ClusterID: "m", Zone: "a", InternalAddr: "10.0.0.1:1", ConfigBound: 2 * time.Second, LeaveBound: 2 * time.Second, RetryWindow: 10 * time.Second,
		RecoveryBound: 15 * time.Second, RetireAfter: 10 * time.Second, MaxFrameBytes: 1 << 20, MaxRequests: 16, Seeds: []string{"10.0.0.1:1"}}
	r := New(p, env.Env{WallClock: time.Now, Sleep: task.Sleep, Log: event.New("c", io.Discard), FS: fs})
	t.Cleanup(r.Kill)
	return r
}

// TestLastWorkerLeaves: that a worker is gone for good outlasts a loss of all
// processes also where it was the only one, and an emptied replica leaves the file
// as it is.
func TestLastWorkerLeaves(t *testing.T) {
	folder := t.TempDir()
	r := onDisk(t, folder)
	r.life.Fire("filled")
	dot := ormap.Dot{Node: "n#1", Stamp: hlc.New(time.Now, time.Second).Now()}
	entry := ormap.Entry{Dot: dot, Service: "s", Worker: "w", Owner: "n", InternalAddr: "10.0.0.2:1", Zone: "a", Meta: map[string]string{"state": "up"}}
	r.rep.Accept(ormap.Delta{Adds: []ormap.Entry{entry}})
	if !r.saveWorkers() {
		t.Fatal("the worker is not kept")
	}
	leave := ormap.Delta{Tombstones: []ormap.Tombstone{{Dot: dot, Reason: "signed off", Worker: "w"}}}
	if _, err := r.onWorkerLeaves(t.Context(), transport.Hello{}, leave); err != nil {
		t.Fatal(err)
	}
	emptied := onDisk(t, folder)
	emptied.life.Fire("filled")
	if !emptied.saveWorkers() {
		t.Error("nothing to keep is no failure")
	}
	again := onDisk(t, folder)
	again.loadWorkers()
	if !again.rep.Map().Departed("w") || len(again.rep.Map().Live(nil)) != 0 {
		t.Errorf("departed %v, registered again %v", again.rep.Map().Departed("w"), again.rep.Map().Live(nil))
	}
}
