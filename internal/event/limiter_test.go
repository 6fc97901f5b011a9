package event

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestLimiter checks that one of many events within an interval is written and that the next one
// written carries the number of the suppressed ones.
func TestLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, limiter := New("n", nil), NewLimiter(time.Second)
		for range 5 {
			limiter.Emit(log, CallerLeft, "id", "a")
		}
		<-time.After(time.Second)
		limiter.Emit(log, CallerLeft, "id", "b")
		got := log.Since(0)
		if len(got) != 2 || !strings.Contains(got[0].Text, "id=a more=0") || !strings.Contains(got[1].Text, "id=b more=4") {
			t.Errorf("%+v", got)
		}
	})
}
