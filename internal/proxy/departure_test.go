package proxy

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/ormap"
	"puffincrank/internal/standin/actors"
	"puffincrank/internal/task"
)

// registryStates returns what a node's earlier life had registered of its worker w: before it left,
// and after it reported the given state as its second call.
func registryStates(t *testing.T, state string) (before, after ormap.Delta) {
	t.Helper()
	earlier := newIsolatedProxy()
	defer earlier.Kill()
	earlier.handleCall(testCall("w", stateUp, 1))
	before = earlier.replica.Map().All()
	earlier.handleCall(testCall("w", state, 3))
	return before, earlier.replica.Map().All()
}

// offersOrAdmits reports whether a node offers a worker to ingresses, or admits requests for it.
func (x *Proxy) offersOrAdmits(worker string) bool {
	for _, entry := range x.replica.Lookup("s") {
		if entry.Worker == worker && entry.Meta["state"] != stateDraining {
			return true
		}
	}
	local := x.findWorker(worker)
	// A worker that has just begun to drain still takes what is on its way.
	return local != nil && x.accepts(local) && !local.state.Is("draining")
}

// newRestartedProxy creates a node that knows its worker's address, as after a restart.
func newRestartedProxy() *Proxy {
	conf := isolatedSettings()
	conf.WorkerAddr, conf.Service = "10.0.0.2:1", "s"
	return New(conf, env.Env{WallClock: time.Now, Sleep: task.Sleep, Log: event.New("n", io.Discard), Dialect: actors.PlainDialect})
}

// TestLeaveInAnyOrder guards against a worker that comes back after an acknowledged leave: a late
// heartbeat reached its node between a restart and the refill, and the registry, which knew of the
// leave, was asked only when a heartbeat came. Here the news of a restarted node come in any order:
// a heartbeat from before the leave, a refill from a peer that knows of the leave or from one that
// was frozen and doesn't, and gossip.
func TestLeaveInAnyOrder(t *testing.T) {
	for _, state := range []string{stateGone, stateDraining} {
		before, after := registryStates(t, state)
		news := map[byte]func(x *Proxy){
			'h': func(x *Proxy) { x.handleCall(testCall("w", stateUp, 2)) },
			'R': func(x *Proxy) { x.replica.ReplaceRemote(after); controlHost{x}.ReplicaRefilled() },
			'r': func(x *Proxy) { x.replica.ReplaceRemote(before); controlHost{x}.ReplicaRefilled() },
			'G': func(x *Proxy) { x.replica.Accept(after) },
			'd': func(x *Proxy) { x.handleCall(testCall("w", state, 3)) },
		}
		for _, order := range []string{"hR", "Rh", "hRh", "hG", "Gh", "hrG", "rG", "rGh", "rhG", "Grh", "hGr", "dh", "hd", "dhr", "dhR", "drh", "hdr", "rdh", "drhG", "hRr"} {
			t.Run(fmt.Sprintf("%s, %s", state, order), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					x := newRestartedProxy()
					defer x.Kill()
					for _, step := range []byte(order) {
						news[step](x)
					}
					synctest.Wait()
					if x.offersOrAdmits("w") {
						t.Error("the worker that left is offered, or requests for it are admitted")
					}
					x.handleCall(testCall("v", stateUp, 1))
					if !x.offersOrAdmits("v") {
						t.Error("the next worker is shut out")
					}
				})
			})
		}
	}
}

// TestWorkerServedBeforeRefill checks that a node that has started while no control node can be
// reached serves its worker from its first heartbeat on, and goes on doing so after the refill.
func TestWorkerServedBeforeRefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, _ := registryStates(t, stateGone)
		x := newRestartedProxy()
		defer x.Kill()
		x.handleCall(testCall("w", stateUp, 4))
		if !x.offersOrAdmits("w") {
			t.Error("before the refill the worker is shut out")
		}
		x.replica.ReplaceRemote(before)
		controlHost{x}.ReplicaRefilled()
		synctest.Wait()
		if !x.offersOrAdmits("w") {
			t.Error("after the refill the worker is shut out")
		}
	})
}
