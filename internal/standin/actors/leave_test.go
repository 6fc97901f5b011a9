package actors_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/standin/actors"
)

// TestLeaveReportsUntilAcknowledged checks that a leaving worker reports it until it is
// acknowledged, goes on serving for its drain time, deregisters and ends. A worker without an
// acknowledgement ends too.
func TestLeaveReportsUntilAcknowledged(t *testing.T) {
	for _, acknowledged := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			bed := newTestbed(t, usualBehavior, nil)
			var reports []string
			if acknowledged {
				environment := env.Env{Net: bed.net.Host("10.0.0.1"), Log: event.New("h1", nil), WallClock: time.Now}
				_ = httpapi.Serve(bed.tasks, environment, "10.0.0.1:7003", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					raw, _ := io.ReadAll(r.Body)
					reports = append(reports, fmt.Sprint(r.Method, r.URL.Path, bytes.Contains(raw, []byte(`"draining"`))))
				}), time.Second)
			}
			<-time.After(2 * time.Second)
			start := time.Now()
			bed.worker.LeaveBy(context.Background(), actors.LeaveStyle{})
			took := time.Since(start)
			bed.tasks.Stop()
			<-time.After(time.Second)
			if acknowledged && (took < 2*time.Second || took > 3*time.Second || reports[0] != "PUT/puffin/workers/w1false" || reports[len(reports)-1] != "DELETE/puffin/workers/w1true") {
				t.Errorf("left in %v, reported %v", took, reports)
			}
			if !acknowledged && (took < 4*time.Second || took > 9*time.Second) {
				t.Errorf("without an acknowledgement it left in %v", took)
			}
		})
	}
}

// TestLeaveBySigningOffFirst checks that a worker that deregisters first never reports
// "draining" and goes on serving for its time, while an earlier heartbeat may still arrive.
func TestLeaveBySigningOffFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := newTestbed(t, usualBehavior, nil)
		var reports []string
		environment := env.Env{Net: bed.net.Host("10.0.0.1"), Log: event.New("h1", nil), WallClock: time.Now}
		_ = httpapi.Serve(bed.tasks, environment, "10.0.0.1:7003", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			var report struct {
				State string
				Seq   int
			}
			_ = json.NewDecoder(r.Body).Decode(&report)
			reports = append(reports, fmt.Sprint(r.Method, " ", report.State, " ", report.Seq))
		}), time.Second)
		<-time.After(2 * time.Second)
		reports = nil
		start := time.Now()
		bed.worker.LeaveBy(context.Background(), actors.LeaveStyle{DeregistersFirst: true, HeartbeatDelay: time.Second, ExtraServingTime: time.Second})
		if took := time.Since(start); took < 3*time.Second || took > 4*time.Second {
			t.Errorf("left in %v", took)
		}
		bed.tasks.Stop()
		if want := []string{"DELETE leaving 4", "PUT up 3", "DELETE leaving 5"}; !reflect.DeepEqual(reports, want) {
			t.Errorf("reported %q, want %q", reports, want)
		}
	})
}
