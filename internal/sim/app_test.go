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

// raw makes one outside call and gives the body as it came.
func (f *Fleet) raw(method, at, uri, body string) (int, string) {
	ctx, end := context.WithTimeout(context.Background(), 10*time.Second)
	defer end()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at+uri, strings.NewReader(body))
	if err != nil {
		f.T.Fatal(err)
	}
	w, err := f.way.RoundTrip(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = w.Body.Close() }()
	got, err := io.ReadAll(w.Body)
	if err != nil {
		return 0, err.Error()
	}
	return w.StatusCode, strings.TrimSpace(string(got))
}

// TestAppCalls: the applications' calls as resources, by their statuses and
// bodies, through a control node and through a proxy.
func TestAppCalls(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, small(), 500)
		defer f.Stop()
		f.Start()
		for i, at := range []string{f.Cores[0].Host + ":7003", f.Nodes[0].Host + ":7003"} {
			n := fmt.Sprint(i)
			for _, c := range []struct{ method, uri, body, want string }{
				{"POST", "/locks/l" + n, `{"owner":"a","ttl_ms":3000}`, fmt.Sprintf(`200 {"fence":%d}`, i+1)},
				{"POST", "/locks/l" + n, `{"owner":"a","ttl_ms":3000,"more":1}`, fmt.Sprintf(`200 {"fence":%d}`, i+1)},
				{"POST", "/locks/l" + n, `{"owner":"b","ttl_ms":3000}`, `409 {"wrong":"held by another"}`},
				{"PUT", "/locks/l" + n, fmt.Sprintf(`{"owner":"a","fence":%d,"ttl_ms":3000}`, i+1), fmt.Sprintf(`200 {"fence":%d}`, i+1)},
				{"PUT", "/locks/l" + n, `{"owner":"a","fence":99,"ttl_ms":3000}`, `409 {"wrong":"the lock is not held under that fence"}`},
				{"PUT", "/locks/none", `{"owner":"a","fence":1,"ttl_ms":3000}`, `409 {"wrong":"the lock is not held under that fence"}`},
				{"DELETE", "/locks/l" + n, `{"owner":"b","fence":1}`, `200 {}`},
				{"POST", "/locks/l" + n, `{"owner":"b","ttl_ms":3000}`, `409 {"wrong":"held by another"}`},
				{"DELETE", "/locks/l" + n, fmt.Sprintf(`{"owner":"a","fence":%d}`, i+1), `200 {}`},
				{"DELETE", "/locks/l" + n, `{"owner":"a","fence":1}`, `200 {}`},
				{"PUT", "/locks/l" + n, fmt.Sprintf(`{"owner":"a","fence":%d,"ttl_ms":3000}`, i+1), `409 {"wrong":"the lock is not held under that fence"}`},
				{"POST", "/locks/l" + n, `{"owner":"a"}`, `422 `}, {"POST", "/locks/l" + n, `{"owner":"a","ttl_ms":"3"}`, `422 `},
				{"POST", "/locks/l" + n, `{"owner":`, `400 `}, {"POST", "/locks/a%20b", `{"owner":"a","ttl_ms":1}`, `422 `},
				{"DELETE", "/locks/l" + n, `{"owner":"a"}`, `422 `},
				{"POST", "/numbers/n" + n, ``, `200 {"value":1}`}, {"POST", "/numbers/n" + n, `{}`, `200 {"value":2}`}, {"POST", "/numbers/n" + n, `[]`, `400 `},
				{"GET", "/watch/g" + n + ".", ``, `200 {"changes":[],"rev":0}`}, {"GET", "/keys/g" + n + ".a", ``, `404 {"wrong":"no such key"}`},
				{"PUT", "/keys/g" + n + ".a", `{"value":"x","if_rev":3}`, `412 {"rev":0,"wrong":"the key's revision is another"}`},
				{"PUT", "/keys/g" + n + ".a", `{"value":"x","if_rev":0}`, `200 {"rev":1}`}, {"PUT", "/keys/g" + n + ".b", `{"value":"y"}`, `200 {"rev":2}`},
				{"PUT", "/keys/g" + n + ".a", `{"value":"z","if_rev":1}`, `200 {"rev":3}`}, {"PUT", "/keys/g" + n + ".a", `{"value":"x","if_rev":0}`, `200 {"rev":1}`},
				{"PUT", "/keys/g" + n + ".a", `{"value":"w","if_rev":1}`, `412 {"rev":3,"wrong":"the key's revision is another"}`},
				{"PUT", "/keys/alone" + n, `{"value":"s"}`, `200 {"rev":1}`}, {"GET", "/keys/g" + n + ".a", ``, `200 {"rev":3,"value":"z"}`},
				{"PUT", "/keys/g" + n + ".a", `{"if_rev":3}`, `422 `}, {"PUT", "/keys/g" + n + ".a", `{"value":"q","if_rev":-1}`, `422 `},
				{"PUT", "/keys/g" + n + ".a", `{"value":"` + strings.Repeat("q", 65<<10) + `"}`, `422 `}, {"PUT", "/keys/g" + n + ".a", `{"value":"` + strings.Repeat("q", 300<<10) + `"}`, `413 `},
				{"GET", "/watch/g" + n + ".", ``, `200 {"changes":[],"rev":3}`},
				{"GET", "/watch/g" + n + ".?after=1&wait_ms=500", ``, `200 {"changes":[{"name":"g` + n + `.b","value":"y","rev":2},{"name":"g` + n + `.a","value":"z","rev":3}],"rev":3}`},
				{"GET", "/watch/g" + n + ".?after=3&wait_ms=700", ``, `200 {"changes":[],"rev":3}`}, {"GET", "/watch/g" + n + ".?after=9&wait_ms=100", ``, `200 {"changes":[],"rev":9}`},
				{"GET", "/watch/g" + n + ".?after=x", ``, `422 `}, {"GET", "/watch/alone" + n + "?after=0", ``, `200 {"changes":[],"rev":1}`},
			} {
				from := time.Now()
				code, got := f.raw(c.method, at, "/puffin/app"+c.uri, c.body)
				got = fmt.Sprint(code, " ", got)
				if got != c.want && !(strings.HasSuffix(c.want, " ") && strings.HasPrefix(got, c.want)) {
					t.Errorf("%s %s %.60s at %s: %.200s, want %s", c.method, c.uri, c.body, at, got, c.want)
				}
				took := time.Since(from)
				if strings.Contains(c.uri, "wait_ms=700") != (took >= 700*time.Millisecond) || took > time.Second {
					t.Errorf("%s %s took %v", c.method, c.uri, took)
				}
			}
		}
	})
}

// TestAppWatch: a waiting watch is told at once, and a saved revision is good
// for the history's bound though nothing happened since, across a change of
// writer and a restart of all stores; later it is gone.
func TestAppWatch(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, small(), 501)
		defer f.Stop()
		f.Start()
		at := f.Cores[1].Host + ":7003"
		put := func(v string) {
			if code, got := f.raw("PUT", at, "/puffin/app/keys/w.k", `{"value":"`+v+`"}`); code != 200 {
				t.Fatal(code, got)
			}
		}
		put("one")
		told := make(chan time.Time)
		go func() {
			code, got := f.raw("GET", f.Cores[2].Host+":7003", "/puffin/app/watch/w.?after=1&wait_ms=5000", "")
			if code != 200 || !strings.Contains(got, `"two"`) {
				t.Error(code, got)
			}
			told <- time.Now()
		}()
		Wait(3 * time.Second)
		from := time.Now()
		put("two")
		if took := (<-told).Sub(from); took > 60*time.Millisecond {
			t.Errorf("the watch was told %v after the put was sent", took)
		}
		put("three")
		from = time.Now()
		Wait(6 * time.Second)
		f.KillCore(f.mark(f.Writer()), true)
		f.serves(10 * time.Second)
		f.BackCore(f.marked)
		Wait(2 * time.Second)
		for _, c := range f.Cores {
			f.KillCore(c, true)
		}
		for _, c := range f.Cores {
			f.BackCore(c)
		}
		f.serves(15 * time.Second)
		// Histories are trimmed when something is written.
		for i := 0; time.Since(from) < 20*time.Second; i++ {
			f.raw("PUT", at, "/puffin/app/keys/other.k", fmt.Sprintf(`{"value":"%d"}`, i))
			Wait(min(time.Second, 20*time.Second-time.Since(from)))
		}
		put("four")
		for i := 2; i <= 3; i++ {
			if code, got := f.raw("GET", at, fmt.Sprintf("/puffin/app/watch/w.?after=%d", i), ""); code != 200 || strings.Count(got, "name") != 4-i {
				t.Errorf("after %d: %d %s", i, code, got)
			}
		}
		for i := range 90 {
			Wait(500 * time.Millisecond)
			put(fmt.Sprint("more", i))
		}
		if code, got := f.raw("GET", at, "/puffin/app/watch/w.?after=2", ""); code != 410 {
			t.Errorf("a watch from 45 s ago: %d %.80s", code, got)
		}
	})
}
