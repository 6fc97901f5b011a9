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

// TestCrowdOfBodies: more large bodies come to one node than its memory bears,
// some with a length and some in chunks, while its workers are slow. The bytes
// under way stay within the bound everywhere, who finds no room is told at once
// when to come back, and small jobs go through all the while.
func TestCrowdOfBodies(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := small()
		f := NewFleet(t, s, 49)
		defer f.Stop()
		f.Start()
		const memory = 32 << 20
		for i, n := range f.Nodes {
			p := n.Proxy.Settings
			p.MemoryBytes = memory
			n.Proxy.Reload(p)
			if s.Serves(i) == "scans" {
				n.Worker.Behave(standin.Way{Took: 300 * time.Millisecond})
			}
		}
		n := f.Nodes[0]
		var mu sync.Mutex
		codes := map[int]int{}
		var all sync.WaitGroup
		send := func(method, uri string, size int, chunks bool) (int, string, time.Duration) {
			from := time.Now()
			r, _ := http.NewRequest(method, "http://"+n.Host+":8000"+uri, strings.NewReader(strings.Repeat("x", size)))
			if chunks {
				r.ContentLength = -1
			}
			w, err := f.way.RoundTrip(r)
			if err != nil {
				return 0, err.Error(), time.Since(from)
			}
			_ = w.Body.Close()
			return w.StatusCode, w.Header.Get("Retry-After") + w.Header.Get("Puffin-Ran"), time.Since(from)
		}
		for i := range 60 {
			all.Add(1)
			f.g.Go("large", func(context.Context) {
				defer all.Done()
				Wait(time.Duration(i) * 5 * time.Millisecond)
				code, say, _ := send("POST", "/scans/1", 700<<10, i%2 == 0)
				mu.Lock()
				codes[code]++
				mu.Unlock()
				if code == 503 && !strings.HasSuffix(say, "no") {
					t.Errorf("refused with %q", say)
				}
			})
		}
		for i := range 100 {
			all.Add(1)
			f.g.Go("small", func(context.Context) {
				defer all.Done()
				Wait(time.Duration(i) * 7 * time.Millisecond)
				if code, say, _ := send("GET", "/pages/1", 0, false); code != 200 {
					t.Errorf("a small job: %d %s", code, say)
				}
			})
		}
		all.Wait()
		t.Logf("large ones: %v", codes)
		if codes[200] < 4 || codes[503] < 10 || codes[200]+codes[503] != 60 {
			t.Errorf("large ones: %v", codes)
		}
		for _, m := range f.Nodes {
			_, own := f.Get(m.Host+":7003", "/puffin/own")
			t.Logf("%s: peak %v, bound %v, now %v", m.Host, own["bytes_under_way_peak"], own["bytes_under_way_bound"], own["bytes_under_way"])
			if own["bytes_under_way_bound"] != float64(memory/8) || own["bytes_under_way_peak"].(float64) > memory/8 {
				t.Errorf("the bound was passed")
			}
			if own["bytes_under_way"] != 0.0 {
				t.Errorf("%v bytes were never given back", own["bytes_under_way"])
			}
		}
	})
}

// TestCrowdOfCallers: callers' connections take no more than their part of the
// descriptors. Near the bound answers end their connections, over it new ones
// end unread; when others are gone, new ones are taken again.
func TestCrowdOfCallers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := small()
		f := NewFleet(t, s, 50)
		defer f.Stop()
		f.Start()
		n := f.Nodes[0]
		p := n.Proxy.Settings
		p.FileLimit = 40
		n.Proxy.Reload(p)
		var all []*byHand
		for range 20 {
			h := f.hand(t, n)
			if w := h.ask(""); w.StatusCode != 200 || w.Close {
				t.Errorf("with room: %d, ends %v", w.StatusCode, w.Close)
			}
			all = append(all, h)
		}
		for range 10 {
			all = append(all, f.hand(t, n))
		}
		about(t, "one too many", f.hand(t, n).ends(), 5*time.Millisecond)
		if w := all[25].ask(""); w.StatusCode != 200 || !w.Close {
			t.Errorf("near the bound: %d, ends %v", w.StatusCode, w.Close)
		}
		for _, h := range all {
			_ = h.c.Close()
		}
		Wait(time.Second)
		if w := f.hand(t, n).ask(""); w.StatusCode != 200 || w.Close {
			t.Errorf("with room again: %d, ends %v", w.StatusCode, w.Close)
		}
		if _, own := f.Get(n.Host+":7003", "/puffin/own"); own["connections_of_callers"] != 1.0 {
			t.Errorf("%v connections count, there is 1", own["connections_of_callers"])
		}
	})
}
