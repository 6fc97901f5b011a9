package sim

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// TestBodyMemoryBound sends more large bodies to one node than its memory can hold,
// some with a length and some chunked, while its workers are slow. The bytes in
// flight must stay within the bound at every node, refused callers must get an
// immediate 503 with Retry-After, and small requests must keep succeeding.
func TestBodyMemoryBound(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		shape := smallShape()
		fleet := NewFleet(t, shape, 49)
		defer fleet.Stop()
		fleet.Start()
		const memory = 32 << 20
		for i, node := range fleet.Nodes {
			settings := node.Proxy.Settings
			settings.MemoryBytes = memory
			node.Proxy.Reload(settings)
			if shape.ServiceOf(i) == "scans" {
				node.Worker.SetBehavior(standin.WorkerBehavior{Took: 300 * time.Millisecond})
			}
		}
		node := fleet.Nodes[0]
		var mu sync.Mutex
		codes := map[int]int{}
		var pending sync.WaitGroup
		send := func(method, uri string, size int, chunked bool) (int, string, time.Duration) {
			start := time.Now()
			request, _ := http.NewRequest(method, "http://"+node.Host+":8000"+uri, strings.NewReader(strings.Repeat("x", size)))
			if chunked {
				request.ContentLength = -1
			}
			response, err := fleet.client.RoundTrip(request)
			if err != nil {
				return 0, err.Error(), time.Since(start)
			}
			_ = response.Body.Close()
			return response.StatusCode, response.Header.Get("Retry-After") + response.Header.Get("Puffin-Ran"), time.Since(start)
		}
		for i := range 60 {
			pending.Add(1)
			fleet.g.Go("large", func(context.Context) {
				defer pending.Done()
				Wait(time.Duration(i) * 5 * time.Millisecond)
				code, detail, _ := send("POST", "/scans/1", 700<<10, i%2 == 0)
				mu.Lock()
				codes[code]++
				mu.Unlock()
				if code == 503 && !strings.HasSuffix(detail, "no") {
					t.Errorf("503 with Retry-After and Puffin-Ran %q", detail)
				}
			})
		}
		for i := range 100 {
			pending.Add(1)
			fleet.g.Go("small", func(context.Context) {
				defer pending.Done()
				Wait(time.Duration(i) * 7 * time.Millisecond)
				if code, detail, _ := send("GET", "/pages/1", 0, false); code != 200 {
					t.Errorf("small request answered %d %s", code, detail)
				}
			})
		}
		pending.Wait()
		t.Logf("status codes of large requests: %v", codes)
		if codes[200] < 4 || codes[503] < 10 || codes[200]+codes[503] != 60 {
			t.Errorf("status codes of large requests: %v", codes)
		}
		for _, m := range fleet.Nodes {
			_, status := fleet.Get(m.Host+":7003", "/puffin/own")
			t.Logf("%s: bytes in flight peaked at %v, bound %v, now %v", m.Host, status["bytes_under_way_peak"], status["bytes_under_way_bound"], status["bytes_under_way"])
			if status["bytes_under_way_bound"] != float64(memory/8) || status["bytes_under_way_peak"].(float64) > memory/8 {
				t.Errorf("bytes in flight exceeded the bound")
			}
			if status["bytes_under_way"] != 0.0 {
				t.Errorf("%v bytes in flight were never released", status["bytes_under_way"])
			}
		}
	})
}

// TestCallerConnectionBound checks that callers' connections use no more than their
// share of the file descriptors. Near the bound responses close their connections,
// above it new connections are closed unread, and once others have closed, new ones
// are accepted again.
func TestCallerConnectionBound(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		shape := smallShape()
		fleet := NewFleet(t, shape, 50)
		defer fleet.Stop()
		fleet.Start()
		node := fleet.Nodes[0]
		settings := node.Proxy.Settings
		settings.FileLimit = 40
		node.Proxy.Reload(settings)
		var connections []*rawConnection
		for range 20 {
			connection := fleet.dialByHand(t, node)
			if response := connection.request(""); response.StatusCode != 200 || response.Close {
				t.Errorf("below the bound: status %d, closed %v", response.StatusCode, response.Close)
			}
			connections = append(connections, connection)
		}
		for range 10 {
			connections = append(connections, fleet.dialByHand(t, node))
		}
		assertDuration(t, "connection above the bound", fleet.dialByHand(t, node).waitClosed(), 5*time.Millisecond)
		if response := connections[25].request(""); response.StatusCode != 200 || !response.Close {
			t.Errorf("near the bound: status %d, closed %v", response.StatusCode, response.Close)
		}
		for _, connection := range connections {
			_ = connection.c.Close()
		}
		Wait(time.Second)
		if response := fleet.dialByHand(t, node).request(""); response.StatusCode != 200 || response.Close {
			t.Errorf("below the bound again: status %d, closed %v", response.StatusCode, response.Close)
		}
		if _, status := fleet.Get(node.Host+":7003", "/puffin/own"); status["connections_of_callers"] != 1.0 {
			t.Errorf("%v connections are counted, want 1", status["connections_of_callers"])
		}
	})
}
