package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/task"
)

// TestFormerLifeAtRestartedNode guards against a live worker that is shut out for a minute: a late
// heartbeat of the former life of the worker at its address, read by a node that had restarted in
// between, marked it as gone for good. The live worker goes on calling and is back before it would
// count as down; the former life is then gone for good, and comes back by no later heartbeat.
func TestFormerLifeAtRestartedNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newRestartedProxy()
		defer x.Kill()
		beat := x.Settings.WorkerHeartbeat()
		number := int64(0)
		callAgain := func() { number++; x.handleCall(testCall("live", stateUp, number)) }
		callAgain()
		x.handleCall(testCall("former", stateUp, 7))
		start := time.Now()
		for !x.offersOrAdmits("live") {
			task.Sleep(t.Context(), beat)
			callAgain()
			if time.Since(start) > x.Settings.WorkerTimeout() {
				t.Fatal("the live worker is still shut out")
			}
		}
		x.handleCall(testCall("former", stateUp, 8))
		if x.offersOrAdmits("former") || !x.offersOrAdmits("live") {
			t.Error("a heartbeat of the former life was taken although the live worker goes on calling")
		}
		for range 6 {
			task.Sleep(t.Context(), beat)
			callAgain()
		}
		if !x.hasDeparted("former") || x.hasDeparted("live") {
			t.Errorf("gone for good: the former life %v, the live worker %v", x.hasDeparted("former"), x.hasDeparted("live"))
		}
	})
}
