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
	return New(p, env.Env{WallClock: time.Now, Sleep: task.Sleep, Log: event.New("n", io.Discard)})
}

func call(worker, state string, number int64) workerCall {
	return workerCall{worker: worker, service: "s", addr: "10.0.0.2:1", slots: 2, state: state, number: number}
}

// up tells whether the worker is one that requests may go to.
func (x *Proxy) up(worker string) bool {
	g := x.gateOf(worker)
	return g != nil && g.state.Is("up")
}

// TestOlderCall: of a worker's calls the newest stands, in whatever order they come
// and however many come at once; a sign-off stands over all.
func TestOlderCall(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls []workerCall
		up    bool
	}{
		{"it comes up", []workerCall{call("w", saysUp, 1)}, true},
		{"it drains", []workerCall{call("w", saysUp, 1), call("w", saysDraining, 2)}, false},
		{"a beat of before it drained", []workerCall{call("w", saysDraining, 3), call("w", saysUp, 2)}, false},
		{"it takes the drain back", []workerCall{call("w", saysDraining, 3), call("w", saysUp, 4)}, true},
		{"a beat of before its sign-off", []workerCall{call("w", saysUp, 1), call("w", saysGone, 0), call("w", saysUp, 2)}, false},
		{"a sign-off before any beat", []workerCall{call("w", saysGone, 0), call("w", saysUp, 2)}, false},
		{"another has its address", []workerCall{call("w", saysUp, 7), call("v", saysUp, 1), call("w", saysUp, 8)}, false},
		{"calls without numbers", []workerCall{call("w", saysUp, 0), call("w", saysDraining, 0), call("w", saysUp, 0)}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := lone()
			defer x.Kill()
			for _, one := range c.calls {
				x.takeCall(one)
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
			all = append(all, call("w", []string{saysUp, saysDraining}[r.IntN(2)], n+1))
		}
		want := all[len(all)-1].state == saysUp
		r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		var over sync.WaitGroup
		for _, one := range all {
			over.Add(1)
			x.g.Go("call", func(context.Context) { defer over.Done(); x.takeCall(one) })
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
	first.takeCall(call("w", saysUp, 1))
	first.takeCall(call("w", saysGone, 0))
	all, err := first.rep.Map().All().Encode().Decode()
	if err != nil {
		t.Fatal(err)
	}
	second.rep.ReplaceRemote(all)
	second.takeCall(call("w", saysUp, 2))
	if second.up("w") {
		t.Error("a beat of before the sign-off brought the worker back at the next start")
	}
	second.takeCall(call("v", saysUp, 1))
	if !second.up("v") {
		t.Error("a new worker is not taken")
	}
}
