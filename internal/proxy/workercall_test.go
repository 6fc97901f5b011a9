package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/settings"
	"puffincrank/internal/task"
)

// isolatedSettings returns the settings of a node that no other node knows.
func isolatedSettings() settings.Settings {
	return settings.Settings{Node: "n", ClusterID: "m", Zone: "a", ConfigBound: 2 * time.Second, LeaveBound: 2 * time.Second, RetryWindow: 10 * time.Second, RecoveryBound: 15 * time.Second, RetireAfter: 10 * time.Second,
		MaxFrameBytes: 1 << 20, MaxBodyBytes: 1 << 20, MaxRequests: 16, GracePeriod: time.Second, Seeds: []string{"10.0.0.1:1"}}
}

// newIsolatedProxy creates a node that no other node knows.
func newIsolatedProxy() *Proxy {
	return New(isolatedSettings(), env.Env{WallClock: time.Now, Sleep: task.Sleep, Log: event.New("n", io.Discard)})
}

func testCall(worker, state string, number int64) workerCall {
	return workerCall{worker: worker, service: "s", addr: "10.0.0.2:1", slots: 2, state: state, number: number}
}

// isUp tells whether requests may go to the worker.
func (x *Proxy) isUp(worker string) bool {
	local := x.findWorker(worker)
	return local != nil && local.state.Is("up")
}

// TestOutOfOrderCalls checks that the newest of a worker's calls stands in whatever order they
// arrive, and that a sign-off is final.
func TestOutOfOrderCalls(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls []workerCall
		up    bool
	}{
		{"comes up", []workerCall{testCall("w", stateUp, 1)}, true},
		{"drains", []workerCall{testCall("w", stateUp, 1), testCall("w", stateDraining, 2)}, false},
		{"outdated heartbeat after the drain", []workerCall{testCall("w", stateDraining, 3), testCall("w", stateUp, 2)}, false},
		{"drain canceled by the worker", []workerCall{testCall("w", stateDraining, 3), testCall("w", stateUp, 4)}, true},
		{"outdated heartbeat after the sign-off", []workerCall{testCall("w", stateUp, 1), testCall("w", stateGone, 0), testCall("w", stateUp, 2)}, false},
		{"sign-off before any heartbeat", []workerCall{testCall("w", stateGone, 0), testCall("w", stateUp, 2)}, false},
		{"address taken over by another worker", []workerCall{testCall("w", stateUp, 7), testCall("v", stateUp, 1), testCall("w", stateUp, 8)}, false},
		{"calls without numbers", []workerCall{testCall("w", stateUp, 0), testCall("w", stateDraining, 0), testCall("w", stateUp, 0)}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newIsolatedProxy()
			defer x.Kill()
			for _, one := range c.calls {
				x.handleCall(one)
			}
			if x.isUp("w") != c.up {
				t.Errorf("up: %v", !c.up)
			}
			if len(c.calls) == 3 && c.calls[1].worker == "v" && !x.isUp("v") {
				t.Error("the worker that has the address now is not up")
			}
		})
	}
}

// TestConcurrentCalls checks that after concurrent calls the state of the newest one stands.
func TestConcurrentCalls(t *testing.T) {
	for seed := range uint64(50) {
		x := newIsolatedProxy()
		r := rand.New(rand.NewPCG(seed, 81))
		var calls []workerCall
		for n := range int64(12) {
			calls = append(calls, testCall("w", []string{stateUp, stateDraining}[r.IntN(2)], n+1))
		}
		want := calls[len(calls)-1].state == stateUp
		r.Shuffle(len(calls), func(i, j int) { calls[i], calls[j] = calls[j], calls[i] })
		var done sync.WaitGroup
		for _, one := range calls {
			done.Add(1)
			x.group.Go("call", func(context.Context) { defer done.Done(); x.handleCall(one) })
		}
		done.Wait()
		if x.isUp("w") != want {
			t.Errorf("seed %d: up: %v", seed, !want)
		}
		x.Kill()
	}
}

// TestSignOffSurvivesRestart checks that a restarted node, once refilled, knows which workers
// signed off before the restart.
func TestSignOffSurvivesRestart(t *testing.T) {
	first, second := newIsolatedProxy(), newIsolatedProxy()
	defer first.Kill()
	defer second.Kill()
	first.handleCall(testCall("w", stateUp, 1))
	first.handleCall(testCall("w", stateGone, 0))
	entries, err := first.replica.Map().All().Encode().Decode()
	if err != nil {
		t.Fatal(err)
	}
	second.replica.ReplaceRemote(entries)
	second.handleCall(testCall("w", stateUp, 2))
	if second.isUp("w") {
		t.Error("an outdated heartbeat brought the worker back after the restart")
	}
	second.handleCall(testCall("v", stateUp, 1))
	if !second.isUp("v") {
		t.Error("a new worker was not accepted")
	}
}
