package proxy

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/settings"
)

// TestByteLimiter checks that large items leave a quarter of the limit to small ones, that a
// single item is accepted whatever its size, and that a body of unknown length counts by its
// total.
func TestByteLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := newByteLimiter(&settings.Settings{MemoryBytes: 8 << 20})
		from := time.Now()
		if !limiter.reserve(3 << 20) {
			t.Fatal("a single large item was refused")
		}
		if limiter.reserve(100 << 10) {
			t.Fatal("a second large item was accepted beside one over the limit")
		}
		smallCount := 0
		for limiter.reserve(4 << 10) {
			smallCount++
		}
		if smallCount != 64 {
			t.Fatalf("%d small items beside one over the limit, want 64", smallCount)
		}
		limiter.release(64*4<<10, from)
		<-time.After(time.Second)
		limiter.release(3<<20, from)
		if limiter.retryAfter(0) == 0 {
			t.Error("the time for which bytes are held was not measured")
		}
		count := 0
		for limiter.reserve(64 << 10) {
			count++
		}
		if count != 12 {
			t.Errorf("%d large items in three quarters of 1 MiB, want 12", count)
		}
		for limiter.reserve(4 << 10) {
			count++
		}
		if used, _, most := limiter.usage(); used != most || count != 12+64 {
			t.Errorf("%d of %d bytes used, %d items accepted", used, most, count)
		}
		limiter.release(1<<20, time.Now())
		body := &meteredBody{ReadCloser: io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<20))), limiter: limiter}
		if !limiter.reserve(1 << 10) {
			t.Fatal("a small item was refused")
		}
		if _, err := io.ReadAll(body); err == nil || !body.overLimit {
			t.Errorf("a body of unknown length over the limit was read: %v", err)
		}
		if used, _, _ := limiter.usage(); used != body.reserved+1<<10 || used > 3<<18 {
			t.Errorf("%d bytes used, %d of them by the body", used, body.reserved)
		}
		limiter.release(body.reserved+1<<10, time.Now())
		// The expected size follows large responses at once and decays slowly.
		limiter.recordResponse("p", 50)
		limiter.recordResponse("p", 1000)
		limiter.recordResponse("p", 40)
		if count := limiter.expectedResponse("p"); count != 940 {
			t.Errorf("expected response size %d, want 940", count)
		}
		if used, _, _ := limiter.usage(); used != 0 {
			t.Errorf("%d bytes left reserved", used)
		}
	})
}
