package event

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestLimiter: of many events within a span one is written, and the next one
// written tells how many were not.
func TestLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, limit := New("n", nil), NewLimiter(time.Second)
		for range 5 {
			limit.Emit(log, CallerLeft, "id", "a")
		}
		<-time.After(time.Second)
		limit.Emit(log, CallerLeft, "id", "b")
		got := log.Since(0)
		if len(got) != 2 || !strings.Contains(got[0].Text, "id=a more=0") || !strings.Contains(got[1].Text, "id=b more=4") {
			t.Errorf("%+v", got)
		}
	})
}
