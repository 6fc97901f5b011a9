package sim

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/dialect"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/task"
)

// TestRetryAfterRejection offers 1.7 times the load that a service's slots can serve, and
// callers retry at most twice, when they are told to. No slot may be idle, and retries must
// not take slots from new requests that can still meet their target, so that most served
// requests meet it. When the queue was ordered only by the end of each request's wait, 0.53
// of them did.
func TestRetryAfterRejection(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		const target, timeout, duration, warmUp = 300 * time.Millisecond, 2400 * time.Millisecond, 10 * time.Second, 2 * time.Second
		shape := singleServiceShape()
		shape.Config = `{"services":[{"name":"s"}],"classes":[{"name":"a","share":100}],"paths":[{"name":"pa","prefix":"/a","service":"s","class":"a","left_ms":2400,"aim_ms":300}]}`
		f := NewFleet(t, shape, 118)
		defer f.Stop()
		f.Start()
		var mu sync.Mutex
		var pending sync.WaitGroup
		count := map[string]int{}
		attempt := func(host string, deadline time.Time) (int, time.Duration) {
			request, _ := http.NewRequest("GET", "http://"+host+":8000/a", nil)
			request.Header.Set(dialect.Default.Timeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
			response, err := f.client.RoundTrip(request)
			if err != nil {
				return 0, 0
			}
			defer func() { _ = response.Body.Close() }()
			raw, _ := io.ReadAll(response.Body)
			var refusal httpapi.ErrorBody
			_ = json.Unmarshal(raw, &refusal)
			return response.StatusCode, time.Duration(refusal.RetryMS) * time.Millisecond
		}
		runRequest := func(ctx context.Context, host string, counted bool) {
			start := time.Now()
			deadline, outcome := start.Add(timeout), "refused"
			for range 3 {
				code, retryAfter := attempt(host, deadline)
				if code == http.StatusOK {
					if outcome = "late"; time.Since(start) <= target {
						outcome = "in time"
					}
					break
				}
				task.Sleep(ctx, min(retryAfter, time.Until(deadline)/3))
			}
			if counted {
				mu.Lock()
				count[outcome]++
				mu.Unlock()
			}
		}
		start := time.Now()
		for i := 0; time.Since(start) < duration; i++ {
			host, counted := f.Nodes[i%len(f.Nodes)].Host, time.Since(start) > warmUp
			pending.Add(1)
			f.g.Go("job", func(ctx context.Context) {
				defer pending.Done()
				runRequest(ctx, host, counted)
			})
			Wait(time.Second / 600)
		}
		pending.Wait()
		served := float64(count["in time"] + count["late"])
		inTime, utilization := float64(count["in time"])/served, served/(360*(duration-warmUp).Seconds())
		t.Logf("%v: %.2f of the served requests met their target latency, slot utilization %.2f", count, inTime, utilization)
		if inTime < 0.85 {
			t.Errorf("%.2f of the served requests met their target latency", inTime)
		}
		if utilization < 0.9 {
			t.Errorf("slot utilization under overload was only %.2f", utilization)
		}
	})
}
