package actors_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestGoneClient: a client whose machine is gone tries no more, though its job has
// time left and was told to come back: its address may be another machine's now.
func TestGoneClient(t *testing.T) {
	for _, gone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			d := newGround(t, usual, func(w http.ResponseWriter, _ *http.Request, _ []byte, _ func() (*http.Response, []byte, error)) bool {
				w.Header().Set("Retry-After", "0.2")
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			})
			d.g.Go("job", func(ctx context.Context) { d.c.Job(ctx, d.line, d.line.Left, nil) })
			<-time.After(100 * time.Millisecond)
			if gone {
				d.c.Close()
			}
			<-time.After(2 * time.Second)
			if n, want := d.wit.Tally()["tries"], map[bool]int{false: 2, true: 1}[gone]; n != want {
				t.Errorf("gone: %v, %d tries", gone, n)
			}
			d.c.Close()
			d.k.Kill()
			d.g.Stop()
		})
	}
}
