package sim

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// documentWithRoutes returns a document with the given number of routes; the change
// number selects the one that differs from the others.
func documentWithRoutes(routes, change int) string {
	var rows []string
	for i := range routes {
		timeout := 900
		if i == change%routes {
			timeout += 1 + change%50
		}
		rows = append(rows, fmt.Sprintf(`{"name":"path-%d","method":"GET","prefix":"/p/%d","service":"pages","class":"all","left_ms":%d}`, i, i, timeout))
	}
	return `{"services":[{"name":"pages"}],"classes":[{"name":"all","share":100}],"paths":[` + strings.Join(rows, ",") + `]}`
}

// acceptBytes sums the bytes that stores sent each other in accept and ballot messages.
func (l *coreFleet) acceptBytes() (n int64) {
	for _, c := range l.ControlMachines {
		if c.Store == nil {
			continue
		}
		for f, sum := range c.Store.BytesSent() {
			if f.Kind == "store.accept" || f.Kind == "store.ballot" {
				n += sum.Bytes
			}
		}
	}
	return n
}

// TestConfigChangeLogSize: a change of one route costs each voter about the same number
// of bytes however long the document is. In between the leader's disk is wiped and
// refilled and all stores lose power; the document in force is still the one that was
// sent.
func TestConfigChangeLogSize(t *testing.T) {
	t.Parallel()
	var bytesPerChange []float64
	for _, routes := range []int{100, 200, 400, 800} {
		synctest.Test(t, func(t *testing.T) {
			l := newCoreFleet(t, 840, 3, 1)
			defer l.Stop()
			l.start = time.Now()
			l.startAll()
			version := uint64(0)
			change := func() {
				doc := documentWithRoutes(routes, int(version))
				l.Until(5*time.Second, "a change is acknowledged", func() bool {
					code, v := l.Apply(l.ControlMachines[1].Host+":7003", version, doc)
					if code == 200 {
						version = v
					}
					return code == 200
				})
			}
			change()
			Wait(time.Second)
			sentBefore := l.acceptBytes()
			for range 10 {
				change()
			}
			bytesPerChange = append(bytesPerChange, float64(l.acceptBytes()-sentBefore)/20)
			l.StoreSettings["founding"] = false
			leader := l.markFaulted(l.Leader())
			l.KillControlMachine(leader, true)
			leader.Disk.Wipe()
			l.RestartControlMachine(leader)
			change()
			l.Until(4*time.Second, "all stores are ready", func() bool { return l.settled(3) })
			change()
			for _, c := range l.ControlMachines {
				l.KillControlMachine(c, true)
			}
			for _, c := range l.ControlMachines {
				l.RestartControlMachine(c)
			}
			change()
			var want any
			if err := json.Unmarshal([]byte(documentWithRoutes(routes, int(version)-1)), &want); err != nil {
				t.Fatal(err)
			}
			code, got := l.Get(l.ControlMachines[0].Host+":7003", "/puffin/config")
			if code != 200 || got["version"] != float64(version) || !reflect.DeepEqual(got["document"], want) {
				t.Errorf("%d routes: %d, version %v, not the document that was sent as %d", routes, code, got["version"], version)
			}
		})
	}
	t.Logf("bytes for each other voter and change: %.0f", bytesPerChange)
	for _, c := range bytesPerChange {
		if math.Abs(c-bytesPerChange[0]) > 200 || c > 2000 {
			t.Errorf("a change costs a voter %.0f bytes", bytesPerChange)
		}
	}
}
