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

// TestLeave: a worker that leaves says so until it is heard, serves on for its
// time, signs off and ends; one that nobody hears ends too.
func TestLeave(t *testing.T) {
	for _, heard := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			d := newGround(t, usual, nil)
			var said []string
			if heard {
				e := env.Env{Net: d.net.Host("10.0.0.1"), Log: event.New("h1", nil), WallClock: time.Now}
				_ = httpapi.Serve(d.g, e, "10.0.0.1:7003", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					raw, _ := io.ReadAll(r.Body)
					said = append(said, fmt.Sprint(r.Method, r.URL.Path, bytes.Contains(raw, []byte(`"draining"`))))
				}), time.Second)
			}
			<-time.After(2 * time.Second)
			from := time.Now()
			d.k.LeaveBy(context.Background(), actors.Manner{})
			took := time.Since(from)
			d.g.Stop()
			<-time.After(time.Second)
			if heard && (took < 2*time.Second || took > 3*time.Second || said[0] != "PUT/puffin/workers/w1false" || said[len(said)-1] != "DELETE/puffin/workers/w1true") {
				t.Errorf("left in %v, said %v", took, said)
			}
			if !heard && (took < 4*time.Second || took > 9*time.Second) {
				t.Errorf("unheard, it left in %v", took)
			}
		})
	}
}

// TestSignOffFirst: a worker that signs off first says nothing of draining and
// serves on for its time, while an earlier beat of it may still come.
func TestSignOffFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newGround(t, usual, nil)
		var said []string
		e := env.Env{Net: d.net.Host("10.0.0.1"), Log: event.New("h1", nil), WallClock: time.Now}
		_ = httpapi.Serve(d.g, e, "10.0.0.1:7003", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			var beat struct {
				State string
				Seq   int
			}
			_ = json.NewDecoder(r.Body).Decode(&beat)
			said = append(said, fmt.Sprint(r.Method, " ", beat.State, " ", beat.Seq))
		}), time.Second)
		<-time.After(2 * time.Second)
		said = nil
		from := time.Now()
		d.k.LeaveBy(context.Background(), actors.Manner{SignsOff: true, Late: time.Second, More: time.Second})
		if took := time.Since(from); took < 3*time.Second || took > 4*time.Second {
			t.Errorf("left in %v", took)
		}
		d.g.Stop()
		if want := []string{"DELETE leaving 4", "PUT up 3", "DELETE leaving 5"}; !reflect.DeepEqual(said, want) {
			t.Errorf("said %q, want %q", said, want)
		}
	})
}
