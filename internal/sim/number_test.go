package sim

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// withVersion returns a document with the operator's own version number added.
func withVersion(doc string, version int) string {
	return fmt.Sprintf(`{"version":%d,`, version) + doc[1:]
}

// TestNumbers: documents carry the operator's own version number. The highest number is
// in force; an older document or one that is sent again is acknowledged without effect;
// an invalid one is refused whatever its number; the document read back is the one
// sent; of two documents with the same number the first committed one stays.
func TestNumbers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, smallShape(), 510)
		defer f.Stop()
		f.Start()
		doc := f.Shape.Config
		addrs := []string{f.ControlMachines[0].Host + ":7003", f.Nodes[1].Host + ":7003", f.ControlMachines[2].Host + ":7003"}
		put := func(i int, doc string) (int, string) {
			return f.requestRaw("PUT", addrs[i], "/puffin/config?by=number", doc)
		}
		document7 := "  " + withVersion(doc, 7) + "\n "
		for _, c := range []struct {
			node      int
			doc, want string
		}{
			{0, document7, `200 {"version":7}`}, {1, document7, `200 {"version":7}`}, {2, withVersion(doc, 3), `200 {"version":7}`},
			{1, withVersion(doc, 0), "422 "}, {1, withVersion(doc, -4), "422 "}, {0, doc, "422 "}, {0, "{", "400 "}, {0, `{"version":"9",` + doc[1:], "422 "},
			{2, strings.Replace(withVersion(doc, 2), `"service":"`, `"service":"no-`, 1), "422 "}, {2, strings.Replace(withVersion(doc, 99), `"service":"`, `"service":"no-`, 1), "422 "},
			{0, withVersion(doc, 12) + strings.Repeat(" ", 4<<20), "413 "}, {1, withVersion(doc, 5), `200 {"version":7}`},
		} {
			code, got := put(c.node, c.doc)
			if got = fmt.Sprint(code, " ", got); got != c.want && !(strings.HasSuffix(c.want, " ") && strings.HasPrefix(got, c.want)) {
				t.Errorf("%.30q at %s: %.200s, want %s", c.doc, addrs[c.node], got, c.want)
			}
		}
		// One answer names all errors of the document.
		if _, got := put(0, strings.Replace(doc, `"service":"`, `"service":"no-`, 1)); !strings.Contains(got, `"version"`) || !strings.Contains(got, "no service") {
			t.Error(got)
		}
		for i := range addrs {
			if code, got := f.requestRaw("GET", addrs[i], "/puffin/config?as=sent", ""); code != 200 || got != strings.TrimSpace(document7) {
				t.Errorf("%d, sent %d bytes, read back %d", code, len(document7), len(got))
			}
		}
		// The document is in force at every node within the bound for a change.
		start := time.Now()
		put(1, withVersion(doc, 20))
		f.Until(time.Second, "all nodes have applied it", func() bool {
			for _, n := range f.Nodes {
				if _, got := f.Get(n.Host+":7003", "/puffin/own"); got["config_version"] != 20.0 {
					return false
				}
			}
			return true
		})
		t.Logf("in force everywhere %v after it was sent", time.Since(start))
		for round := range 5 {
			var wait sync.WaitGroup
			n := 30 + 7*round
			docs := make([]string, len(addrs))
			for i := range addrs {
				docs[i] = withVersion(doc, n) + strings.Repeat(" ", i+1) + "\n"
				wait.Add(1)
				go func() {
					defer wait.Done()
					if code, got := put(i, docs[i]); got != fmt.Sprintf(`{"version":%d}`, n) {
						t.Errorf("race for %d: %d %s", n, code, got)
					}
				}()
			}
			wait.Wait()
		}
		for i, c := range f.ControlMachines {
			f.KillControlMachine(c, i != 1)
		}
		for _, c := range f.ControlMachines {
			f.RestartControlMachine(c)
		}
		f.untilWritable(15 * time.Second)
		code, got := f.requestRaw("GET", addrs[2], "/puffin/config?as=sent", "")
		if code != 200 || got != withVersion(doc, 58) {
			t.Errorf("after all were killed: %d %.40s", code, got)
		}
	})
}

// TestReadBeforeFirstDocument: reading the document answers 404 before the first one
// was sent.
func TestReadBeforeFirstDocument(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, smallShape(), 511)
		defer f.Stop()
		for _, c := range f.ControlMachines {
			f.StartStore(c)
			f.StartRegistry(c)
		}
		addr := f.ControlMachines[0].Host + ":7003"
		f.Until(15*time.Second, "there is a leader", func() bool {
			code, _ := f.requestRaw("GET", addr, "/puffin/config?as=sent", "")
			return code == 404
		})
		if code, got := f.requestRaw("PUT", addr, "/puffin/config?by=number", withVersion(f.Shape.Config, 41)); code != 200 || got != `{"version":41}` {
			t.Error(code, got)
		}
	})
}
