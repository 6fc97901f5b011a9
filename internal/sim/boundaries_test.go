package sim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/standin"
)

// TestByteBoundaries breaks connections between proxies and workers at every byte of a
// request and of a response, by a reset or by a stall, while several callers make calls
// that are safe to retry and calls that are not. A call that is not safe to retry runs at
// most once, a call that is answered busy did not run, and no caller gets another call's
// response or a part of one.
func TestByteBoundaries(t *testing.T) {
	t.Parallel()
	for _, reading := range []bool{true, false} {
		for _, silent := range []bool{true, false} {
			t.Run(fmt.Sprintf("reading %v, silent %v", reading, silent), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runBoundaries(t, reading, silent) })
			})
		}
	}
}

func runBoundaries(t *testing.T, reading, silent bool) {
	shape := smallShape()
	plan := &breakPlan{}
	f := NewFleet(t, shape, 970)
	f.WorkerNet = func(broken env.Net) env.Net { return &breakingNet{broken, plan} }
	defer f.Stop()
	f.Start()
	const offsets, step = 600, 60 * time.Millisecond
	waitForCalls := f.Load([]standin.CallKind{
		{Method: "POST", URI: "/loans/new", Service: "lending", Rate: 60, Size: 120},
		{Method: "GET", URI: "/pages/7", Service: "pages", Retryable: true, Rate: 60},
		{Method: "POST", URI: "/scans/up", Service: "scans", Rate: 30, Size: 900},
	}, offsets*step)
	f.g.Go("breaks", func(ctx context.Context) {
		for offset := 0; offset < offsets && ctx.Err() == nil; offset++ {
			plan.schedule(reading, silent, offset)
			Wait(step)
		}
	})
	waitForCalls()
	if broken := plan.count(); broken < offsets*2/3 {
		t.Errorf("only %d of %d connections were broken", broken, offsets)
	}
	f.CheckInvariants()
}
