package actors_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestClosedClientDoesNotRetry checks that a client whose machine is gone does not retry, even
// though the request has time left and got Retry-After: the address may belong to another
// machine by then.
func TestClosedClientDoesNotRetry(t *testing.T) {
	for _, closed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			bed := newTestbed(t, usualBehavior, func(w http.ResponseWriter, _ *http.Request, _ []byte, _ func() (*http.Response, []byte, error)) bool {
				w.Header().Set("Retry-After", "0.2")
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			})
			bed.tasks.Go("job", func(ctx context.Context) { bed.client.Request(ctx, bed.line, bed.line.Timeout, nil) })
			<-time.After(100 * time.Millisecond)
			if closed {
				bed.client.Close()
			}
			<-time.After(2 * time.Second)
			if attempts, want := bed.recorder.Outcomes()["tries"], map[bool]int{false: 2, true: 1}[closed]; attempts != want {
				t.Errorf("client closed: %v, got %d attempts", closed, attempts)
			}
			bed.client.Close()
			bed.worker.Kill()
			bed.tasks.Stop()
		})
	}
}
