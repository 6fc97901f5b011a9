package proxy

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/settings"
)

// TestLoad: large ones leave a quarter to small ones, one alone is let in
// whatever its size, and a body without a length counts as what it is in all.
func TestLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newByteLimiter(&settings.Settings{MemoryBytes: 8 << 20})
		from := time.Now()
		if !l.reserve(3 << 20) {
			t.Fatal("one alone found no room")
		}
		if l.reserve(100 << 10) {
			t.Fatal("a second beside one over the bound")
		}
		small := 0
		for l.reserve(4 << 10) {
			small++
		}
		if small != 64 {
			t.Fatalf("%d small ones beside one over the bound", small)
		}
		l.release(64*4<<10, from)
		<-time.After(time.Second)
		l.release(3<<20, from)
		if l.retryAfter(0) == 0 {
			t.Error("how long bytes stay was not learnt")
		}
		n := 0
		for l.reserve(64 << 10) {
			n++
		}
		if n != 12 {
			t.Errorf("%d large ones in three quarters of 1 MiB", n)
		}
		for l.reserve(4 << 10) {
			n++
		}
		if used, _, most := l.usage(); used != most || n != 12+64 {
			t.Errorf("%d of %d used, %d taken", used, most, n)
		}
		l.release(1<<20, time.Now())
		p := &meteredBody{ReadCloser: io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<20))), limiter: l}
		if !l.reserve(1 << 10) {
			t.Fatal("no room")
		}
		if _, err := io.ReadAll(p); err == nil || !p.overLimit {
			t.Errorf("a body over the bound without a length: %v", err)
		}
		if used, _, _ := l.usage(); used != p.reserved+1<<10 || used > 3<<18 {
			t.Errorf("%d used, %d of them its own", used, p.reserved)
		}
		l.release(p.reserved+1<<10, time.Now())
		// An answer's size is known by the large ones, and fades slowly.
		l.recordResponse("p", 50)
		l.recordResponse("p", 1000)
		l.recordResponse("p", 40)
		if n := l.expectedResponse("p"); n != 940 {
			t.Errorf("an answer of %d is expected", n)
		}
		if used, _, _ := l.usage(); used != 0 {
			t.Errorf("%d left", used)
		}
	})
}
