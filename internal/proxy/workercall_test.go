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

// lone makes a node that nobody else knows.
func lone() *Proxy {
	p := settings.Settings{Node: "n", ClusterID: "m", Zone: "a", ConfigBound: 2 * time.Second, LeaveBound: 2 * time.Second, RetryWindow: 10 * time.Second, RecoveryBound: 15 * time.Second, RetireAfter: 10 * time.Second,
		MaxFrameBytes: 1 << 20, MaxBodyBytes: 1 << 20, MaxRequests: 16, GracePeriod: time.Second, Seeds: []string{"10.0.0.1:1"}}
	return New(p, env.Env{Wall: time.Now, Sleep: task.Sleep, Log: event.New("n", io.Discard)})
}

func call(worker, state string, number int64) workerCall {
	return workerCall{worker: worker, service: "s", addr: "10.0.0.2:1", slots: 2, state: state, number: number}
}

// up tells whether the worker is one that requests may go to.
func (x *Proxy) up(worker string) bool {
	local := x.findWorker(worker)
	return local != nil && local.state.Is("up")
}

// TestOlderCall: of a worker's calls the newest stands, in whatever order they come
// and however many come at once; a sign-off stands over all.
func TestOlderCall(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls []workerCall
		up    bool
	}{
		{"it comes up", []workerCall{call("w", stateUp, 1)}, true},
		{"it drains", []workerCall{call("w", stateUp, 1), call("w", stateDraining, 2)}, false},
		{"a beat of before it drained", []workerCall{call("w", stateDraining, 3), call("w", stateUp, 2)}, false},
		{"it takes the drain back", []workerCall{call("w", stateDraining, 3), call("w", stateUp, 4)}, true},
		{"a beat of before its sign-off", []workerCall{call("w", stateUp, 1), call("w", stateGone, 0), call("w", stateUp, 2)}, false},
		{"a sign-off before any beat", []workerCall{call("w", stateGone, 0), call("w", stateUp, 2)}, false},
		{"another has its address", []workerCall{call("w", stateUp, 7), call("v", stateUp, 1), call("w", stateUp, 8)}, false},
		{"calls without numbers", []workerCall{call("w", stateUp, 0), call("w", stateDraining, 0), call("w", stateUp, 0)}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := lone()
			defer x.Kill()
			for _, one := range c.calls {
				x.handleCall(one)
			}
			if x.up("w") != c.up {
				t.Errorf("up: %v", !c.up)
			}
			if len(c.calls) == 3 && c.calls[1].worker == "v" && !x.up("v") {
				t.Error("the one that has the address now is not up")
			}
		})
	}
}

// TestCallsAtOnce: calls that come at once end in what the newest of them says.
func TestCallsAtOnce(t *testing.T) {
	for seed := range uint64(50) {
		x := lone()
		r := rand.New(rand.NewPCG(seed, 81))
		var all []workerCall
		for n := range int64(12) {
			all = append(all, call("w", []string{stateUp, stateDraining}[r.IntN(2)], n+1))
		}
		want := all[len(all)-1].state == stateUp
		r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		var over sync.WaitGroup
		for _, one := range all {
			over.Add(1)
			x.group.Go("call", func(context.Context) { defer over.Done(); x.handleCall(one) })
		}
		over.Wait()
		if x.up("w") != want {
			t.Errorf("seed %d: up: %v", seed, !want)
		}
		x.Kill()
	}
}

// TestDepartedAcrossStarts: a start of a node that is refilled knows who signed off
// at the start before.
func TestDepartedAcrossStarts(t *testing.T) {
	first, second := lone(), lone()
	defer first.Kill()
	defer second.Kill()
	first.handleCall(call("w", stateUp, 1))
	first.handleCall(call("w", stateGone, 0))
	all, err := first.replica.Map().All().Encode().Decode()
	if err != nil {
		t.Fatal(err)
	}
	second.replica.ReplaceRemote(all)
	second.handleCall(call("w", stateUp, 2))
	if second.up("w") {
		t.Error("a beat of before the sign-off brought the worker back at the next start")
	}
	second.handleCall(call("v", stateUp, 1))
	if !second.up("v") {
		t.Error("a new worker is not taken")
	}
}
