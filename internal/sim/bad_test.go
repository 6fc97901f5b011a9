package sim

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/rules"
	"puffincrank/internal/standin"
)

// TestBadCalls checks that invalid requests of callers, workers and operators are rejected
// with the right status and have no effect.
func TestBadCalls(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		shape := smallShape()
		f := NewFleet(t, shape, 44)
		defer f.Stop()
		f.Start()
		node := f.Nodes[0]
		call := func(method, uri, timeout string, size int) int {
			request, _ := http.NewRequest(method, "http://"+node.Host+":8000"+uri, strings.NewReader(strings.Repeat("x", size)))
			if timeout != "" {
				request.Header.Set("Puffin-Left", timeout)
			}
			response, err := f.client.RoundTrip(request)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if response.StatusCode != 200 && response.Header.Get("Puffin-Ran") != "no" {
				t.Errorf("%s %s: the response does not say that the request did not run", method, uri)
			}
			return response.StatusCode
		}
		for _, c := range []struct {
			method, uri, timeout string
			size, want           int
		}{
			{"GET", "/nowhere", "", 0, 404}, {"DELETE", "/loans", "", 0, 404}, {"GET", "/pages", "0", 0, 400}, {"GET", "/pages", "-5", 0, 400},
			{"GET", "/pages", "soon", 0, 400}, {"POST", "/loans", "", 2 << 20, 413}, {"POST", "/loans", "900", 100, 200}, {"GET", "/pages/x?y=z", "", 0, 200},
		} {
			if got := call(c.method, c.uri, c.timeout, c.size); got != c.want {
				t.Errorf("%s %s with timeout %q: %d, want %d", c.method, c.uri, c.timeout, got, c.want)
			}
		}
		for _, c := range []struct {
			body string
			want int
		}{
			{`{"service":"pages"}`, 422}, {`{`, 400}, {`{"service":"pages","worker":"w","addr":"host:1","slots":1,"state":"up"}`, 422},
			{`{"service":"pages","worker":"w","addr":"10.0.1.1:1","slots":0,"state":"up"}`, 422}, {`{"service":"pages","worker":"w","addr":"10.0.1.1:1","slots":1,"state":"well"}`, 422},
			{`{"service":"pages","worker":"w","addr":"10.0.1.1:1","slots":1,"state":"up","more":1}`, 422},
		} {
			if got, _ := f.Request("POST", node.Host+":7003", "/puffin/beat", c.body); got != c.want {
				t.Errorf("heartbeat %s: %d, want %d", c.body, got, c.want)
			}
		}
		if _, own := f.Get(node.Host+":7003", "/puffin/own"); own["entries"] != float64(3) {
			t.Errorf("an invalid heartbeat created an entry: %v", own["entries"])
		}
		// The same invalid configurations are rejected through any node, and nothing
		// changes.
		for _, host := range []string{f.ControlMachines[2].Host, node.Host} {
			if code, _ := f.Request("PUT", host+":7003", "/puffin/config?based_on=1", `{"services":[]}`); code != 422 {
				t.Errorf("an invalid configuration: %d", code)
			}
			if code, _ := f.Request("PUT", host+":7003", "/puffin/config?based_on=1", `{`); code != 400 {
				t.Errorf("malformed JSON: %d", code)
			}
			if code, got := f.Request("PUT", host+":7003", "/puffin/config?based_on=0&who=another", shape.Config); code != 409 || got["version"] != float64(1) {
				t.Errorf("an outdated base version: %d %v", code, got)
			}
			if code, _ := f.Request("PUT", host+":7003", "/puffin/config?based_on=1", shape.Config+strings.Repeat(" ", rules.MaxDocumentBytes)); code != 413 {
				t.Errorf("a configuration over the size limit: %d", code)
			}
			if code, _ := f.Request("PUT", host+":7003", "/puffin/config", shape.Config); code != 422 {
				t.Errorf("no base version: %d", code)
			}
			if _, got := f.Get(host+":7003", "/puffin/config"); got["version"] != float64(1) {
				t.Errorf("a refused change created version %v", got["version"])
			}
		}
	})
}

// TestChanges sends conflicting configuration changes under load: exactly one of two wins,
// and every connected node applies it within the bound.
func TestChanges(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		shape := Fumettoteca(0.2)
		f := NewFleet(t, shape, 45)
		defer f.Stop()
		f.Start()
		wait := f.Load(shape.Lines, 25*time.Second)
		version := uint64(1)
		longest := time.Duration(0)
		for range 8 {
			type outcome struct {
				code int
				v    uint64
			}
			outcomes := make(chan outcome, 2)
			for i := range 2 {
				host := f.Nodes[i*5].Host
				go func() {
					// Two operators, because the same change sent twice by one operator
					// counts as one request.
					code, answer := f.Request("PUT", host+":7003", fmt.Sprintf("/puffin/config?based_on=%d&who=operator-%d", version, i), shape.Config)
					v, _ := answer["version"].(float64)
					outcomes <- outcome{code, uint64(v)}
				}()
			}
			first, second := <-outcomes, <-outcomes
			if first.code+second.code != 200+409 || first.v != second.v || first.v != version+1 {
				t.Fatalf("two concurrent changes: %+v %+v", first, second)
			}
			version++
			elapsed := f.Until(2*time.Second, "every node holds the version", func() bool {
				for _, n := range f.Nodes {
					if _, own := f.Get(n.Host+":7003", "/puffin/own"); own["config_version"] != float64(version) {
						return false
					}
				}
				return true
			})
			longest = max(longest, elapsed)
			Wait(time.Second)
		}
		t.Logf("the last node had a version at most %v after its acknowledgement", longest)
		wait()
		f.CheckInvariants()
	})
}

// TestNested checks that a call made by a worker is limited to the remaining time of the
// request that caused it, and takes a slot of the service that it calls.
func TestNested(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		shape := smallShape()
		f := NewFleet(t, shape, 46)
		defer f.Stop()
		f.Start()
		codes := make(chan int, 10)
		for i, n := range f.Nodes {
			if shape.ServiceOf(i) == "lending" {
				n.Worker.SetNestedCalls(func(timeout string) {
					request, _ := http.NewRequest("GET", "http://"+n.Host+":8000/pages/1", nil)
					request.Header.Set("Puffin-Left", timeout)
					response, err := f.client.RoundTrip(request)
					if err == nil {
						codes <- response.StatusCode
						_ = response.Body.Close()
					}
				})
			}
			if shape.ServiceOf(i) == "pages" {
				n.Worker.SetBehavior(standin.WorkerBehavior{Took: 600 * time.Millisecond})
			}
		}
		request, _ := http.NewRequest("POST", "http://"+f.Ingresses()[0]+"/loans", nil)
		request.Header.Set("Puffin-Left", "250")
		start := time.Now()
		response, err := f.client.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		// The nested call times out within the parent's remaining time, so that the parent
		// can still answer.
		if elapsed := time.Since(start); elapsed > 260*time.Millisecond || response.StatusCode != 200 {
			t.Errorf("the parent request ended with %d after %v", response.StatusCode, elapsed)
		}
		if code := <-codes; code != 504 {
			t.Errorf("the nested call ended with %d", code)
		}
	})
}
