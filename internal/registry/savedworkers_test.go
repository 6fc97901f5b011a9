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

// newRegistryOnDisk returns a control node that saves its workers in a directory.
func newRegistryOnDisk(t *testing.T, directory string) *Registry {
	t.Helper()
	fs, err := disk.Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	nodeSettings := settings.Settings{Node: "c", ClusterID: "m", Zone: "a", InternalAddr: "10.0.0.1:1", ConfigBound: 2 * time.Second, LeaveBound: 2 * time.Second, RetryWindow: 10 * time.Second,
		RecoveryBound: 15 * time.Second, RetireAfter: 10 * time.Second, MaxFrameBytes: 1 << 20, MaxRequests: 16, Seeds: []string{"10.0.0.1:1"}}
	registry := New(nodeSettings, env.Env{WallClock: time.Now, Sleep: task.Sleep, Log: event.New("c", io.Discard), FS: fs})
	t.Cleanup(registry.Kill)
	return registry
}

// TestLastWorkerLeaves checks that the departure of a worker survives the loss of all
// processes even if it was the only worker, so that there are no live entries left to save,
// and that an emptied replica leaves the file unchanged.
func TestLastWorkerLeaves(t *testing.T) {
	directory := t.TempDir()
	registry := newRegistryOnDisk(t, directory)
	registry.lifecycle.Fire("filled")
	dot := ormap.Dot{Node: "n#1", Stamp: hlc.New(time.Now, time.Second).Now()}
	entry := ormap.Entry{Dot: dot, Service: "s", Worker: "w", Owner: "n", InternalAddr: "10.0.0.2:1", Zone: "a", Meta: map[string]string{"state": "up"}}
	registry.replica.Accept(ormap.Delta{Adds: []ormap.Entry{entry}})
	if !registry.saveWorkers() {
		t.Fatal("the worker was not saved")
	}
	leave := ormap.Delta{Tombstones: []ormap.Tombstone{{Dot: dot, Reason: "signed off", Worker: "w"}}}
	if _, err := registry.onWorkerLeaving(t.Context(), transport.Hello{}, leave); err != nil {
		t.Fatal(err)
	}
	emptied := newRegistryOnDisk(t, directory)
	emptied.lifecycle.Fire("filled")
	if !emptied.saveWorkers() {
		t.Error("saving an empty replica reported a failure")
	}
	restarted := newRegistryOnDisk(t, directory)
	restarted.loadWorkers()
	if !restarted.replica.Map().Departed("w") || len(restarted.replica.Map().Live(nil)) != 0 {
		t.Errorf("departed %v, live entries %v", restarted.replica.Map().Departed("w"), restarted.replica.Map().Live(nil))
	}
}

// TestLeaveAtEmptyRegistry guards against a leave that is acknowledged and not on the disk: a
// registry that held no live entries, as right after its start or when the worker's entry had gone
// before, took its file for current.
func TestLeaveAtEmptyRegistry(t *testing.T) {
	directory := t.TempDir()
	registry := newRegistryOnDisk(t, directory)
	leave := ormap.Delta{Tombstones: []ormap.Tombstone{{Dot: ormap.Dot{Node: "n#1", Stamp: hlc.New(time.Now, time.Second).Now()}, Reason: "signed off", Worker: "w"}}}
	if _, err := registry.onWorkerLeaving(t.Context(), transport.Hello{}, leave); err == nil {
		t.Error("a registry that was starting acknowledged the leave")
	}
	registry.lifecycle.Fire("filled")
	if _, err := registry.onWorkerLeaving(t.Context(), transport.Hello{}, leave); err != nil {
		t.Fatal(err)
	}
	restarted := newRegistryOnDisk(t, directory)
	restarted.loadWorkers()
	if !restarted.replica.Map().Departed("w") {
		t.Error("the acknowledged leave was not on the disk")
	}
}
