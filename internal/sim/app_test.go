package sim

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// requestRaw sends one request from outside the fleet and returns the status and the body as text.
// The status is 0 if there was no response.
func (f *Fleet) requestRaw(method, address, uri, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+uri, strings.NewReader(body))
	if err != nil {
		f.T.Fatal(err)
	}
	response, err := f.client.RoundTrip(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(received))
}

// TestAppCalls checks the statuses and bodies of the application API for locks, numbers,
// keys and watches, through a control node and through a proxy.
func TestAppCalls(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, smallShape(), 500)
		defer f.Stop()
		f.Start()
		for i, address := range []string{f.ControlMachines[0].Host + ":7003", f.Nodes[0].Host + ":7003"} {
			suffix := fmt.Sprint(i)
			for _, c := range []struct{ method, uri, body, want string }{
				{"POST", "/locks/l" + suffix, `{"owner":"a","ttl_ms":3000}`, fmt.Sprintf(`200 {"fence":%d}`, i+1)},
				{"POST", "/locks/l" + suffix, `{"owner":"a","ttl_ms":3000,"more":1}`, fmt.Sprintf(`200 {"fence":%d}`, i+1)},
				{"POST", "/locks/l" + suffix, `{"owner":"b","ttl_ms":3000}`, `409 {"wrong":"held by another"}`},
				{"PUT", "/locks/l" + suffix, fmt.Sprintf(`{"owner":"a","fence":%d,"ttl_ms":3000}`, i+1), fmt.Sprintf(`200 {"fence":%d}`, i+1)},
				{"PUT", "/locks/l" + suffix, `{"owner":"a","fence":99,"ttl_ms":3000}`, `409 {"wrong":"the lock is not held under that fence"}`},
				{"PUT", "/locks/none", `{"owner":"a","fence":1,"ttl_ms":3000}`, `409 {"wrong":"the lock is not held under that fence"}`},
				{"DELETE", "/locks/l" + suffix, `{"owner":"b","fence":1}`, `200 {}`},
				{"POST", "/locks/l" + suffix, `{"owner":"b","ttl_ms":3000}`, `409 {"wrong":"held by another"}`},
				{"DELETE", "/locks/l" + suffix, fmt.Sprintf(`{"owner":"a","fence":%d}`, i+1), `200 {}`},
				{"DELETE", "/locks/l" + suffix, `{"owner":"a","fence":1}`, `200 {}`},
				{"PUT", "/locks/l" + suffix, fmt.Sprintf(`{"owner":"a","fence":%d,"ttl_ms":3000}`, i+1), `409 {"wrong":"the lock is not held under that fence"}`},
				{"POST", "/locks/l" + suffix, `{"owner":"a"}`, `422 `}, {"POST", "/locks/l" + suffix, `{"owner":"a","ttl_ms":"3"}`, `422 `},
				{"POST", "/locks/l" + suffix, `{"owner":`, `400 `}, {"POST", "/locks/a%20b", `{"owner":"a","ttl_ms":1}`, `422 `},
				{"DELETE", "/locks/l" + suffix, `{"owner":"a"}`, `422 `},
				{"POST", "/numbers/n" + suffix, ``, `200 {"value":1}`}, {"POST", "/numbers/n" + suffix, `{}`, `200 {"value":2}`}, {"POST", "/numbers/n" + suffix, `[]`, `400 `},
				{"GET", "/watch/g" + suffix + ".", ``, `200 {"changes":[],"rev":0}`}, {"GET", "/keys/g" + suffix + ".a", ``, `404 {"wrong":"no such key"}`},
				{"PUT", "/keys/g" + suffix + ".a", `{"value":"x","if_rev":3}`, `412 {"rev":0,"wrong":"the key's revision is another"}`},
				{"PUT", "/keys/g" + suffix + ".a", `{"value":"x","if_rev":0}`, `200 {"rev":1}`}, {"PUT", "/keys/g" + suffix + ".b", `{"value":"y"}`, `200 {"rev":2}`},
				{"PUT", "/keys/g" + suffix + ".a", `{"value":"z","if_rev":1}`, `200 {"rev":3}`}, {"PUT", "/keys/g" + suffix + ".a", `{"value":"x","if_rev":0}`, `200 {"rev":1}`},
				{"PUT", "/keys/g" + suffix + ".a", `{"value":"w","if_rev":1}`, `412 {"rev":3,"wrong":"the key's revision is another"}`},
				{"PUT", "/keys/alone" + suffix, `{"value":"s"}`, `200 {"rev":1}`}, {"GET", "/keys/g" + suffix + ".a", ``, `200 {"rev":3,"value":"z"}`},
				{"PUT", "/keys/g" + suffix + ".a", `{"if_rev":3}`, `422 `}, {"PUT", "/keys/g" + suffix + ".a", `{"value":"q","if_rev":-1}`, `422 `},
				{"PUT", "/keys/g" + suffix + ".a", `{"value":"` + strings.Repeat("q", 65<<10) + `"}`, `422 `}, {"PUT", "/keys/g" + suffix + ".a", `{"value":"` + strings.Repeat("q", 300<<10) + `"}`, `413 `},
				{"GET", "/watch/g" + suffix + ".", ``, `200 {"changes":[],"rev":3}`},
				{"GET", "/watch/g" + suffix + ".?after=1&wait_ms=500", ``, `200 {"changes":[{"name":"g` + suffix + `.b","value":"y","rev":2},{"name":"g` + suffix + `.a","value":"z","rev":3}],"rev":3}`},
				{"GET", "/watch/g" + suffix + ".?after=3&wait_ms=700", ``, `200 {"changes":[],"rev":3}`}, {"GET", "/watch/g" + suffix + ".?after=9&wait_ms=100", ``, `200 {"changes":[],"rev":9}`},
				{"GET", "/watch/g" + suffix + ".?after=x", ``, `422 `}, {"GET", "/watch/alone" + suffix + "?after=0", ``, `200 {"changes":[],"rev":1}`},
			} {
				start := time.Now()
				code, got := f.requestRaw(c.method, address, "/puffin/app"+c.uri, c.body)
				got = fmt.Sprint(code, " ", got)
				if got != c.want && !(strings.HasSuffix(c.want, " ") && strings.HasPrefix(got, c.want)) {
					t.Errorf("%s %s %.60s at %s: %.200s, want %s", c.method, c.uri, c.body, address, got, c.want)
				}
				elapsed := time.Since(start)
				if strings.Contains(c.uri, "wait_ms=700") != (elapsed >= 700*time.Millisecond) || elapsed > time.Second {
					t.Errorf("%s %s took %v", c.method, c.uri, elapsed)
				}
			}
		}
	})
}

// TestAppWatch checks that a waiting watch is notified at once, and that a watch can resume
// from an earlier revision for as long as the history is retained, even if nothing changed
// since, the leader changed and all stores restarted. Later the revision is gone.
func TestAppWatch(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, smallShape(), 501)
		defer f.Stop()
		f.Start()
		address := f.ControlMachines[1].Host + ":7003"
		put := func(value string) {
			if code, got := f.requestRaw("PUT", address, "/puffin/app/keys/w.k", `{"value":"`+value+`"}`); code != 200 {
				t.Fatal(code, got)
			}
		}
		put("one")
		notified := make(chan time.Time)
		go func() {
			code, got := f.requestRaw("GET", f.ControlMachines[2].Host+":7003", "/puffin/app/watch/w.?after=1&wait_ms=5000", "")
			if code != 200 || !strings.Contains(got, `"two"`) {
				t.Error(code, got)
			}
			notified <- time.Now()
		}()
		Wait(3 * time.Second)
		start := time.Now()
		put("two")
		if elapsed := (<-notified).Sub(start); elapsed > 60*time.Millisecond {
			t.Errorf("the watch was notified %v after the put was sent", elapsed)
		}
		put("three")
		start = time.Now()
		Wait(6 * time.Second)
		f.KillControlMachine(f.markFaulted(f.Leader()), true)
		f.untilWritable(10 * time.Second)
		f.RestartControlMachine(f.faulted)
		Wait(2 * time.Second)
		for _, c := range f.ControlMachines {
			f.KillControlMachine(c, true)
		}
		for _, c := range f.ControlMachines {
			f.RestartControlMachine(c)
		}
		f.untilWritable(15 * time.Second)
		// Histories are trimmed on writes only.
		for i := 0; time.Since(start) < 20*time.Second; i++ {
			f.requestRaw("PUT", address, "/puffin/app/keys/other.k", fmt.Sprintf(`{"value":"%d"}`, i))
			Wait(min(time.Second, 20*time.Second-time.Since(start)))
		}
		put("four")
		for i := 2; i <= 3; i++ {
			if code, got := f.requestRaw("GET", address, fmt.Sprintf("/puffin/app/watch/w.?after=%d", i), ""); code != 200 || strings.Count(got, "name") != 4-i {
				t.Errorf("watch after revision %d: %d %s", i, code, got)
			}
		}
		for i := range 90 {
			Wait(500 * time.Millisecond)
			put(fmt.Sprint("more", i))
		}
		if code, got := f.requestRaw("GET", address, "/puffin/app/watch/w.?after=2", ""); code != 410 {
			t.Errorf("a watch from a revision 45 s ago: %d %.80s", code, got)
		}
	})
}
