package sim

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// singleServiceShape describes a fleet with one service and three classes.
func singleServiceShape() Shape {
	return Shape{Nodes: 3, Slots: 12, CrossZoneDelay: time.Millisecond, Services: []string{"s"}, ServiceTimes: map[string]time.Duration{"s": 100 * time.Millisecond},
		Config: `{"services":[{"name":"s"}],"classes":[{"name":"a","share":50},{"name":"b","share":30},{"name":"c","share":20}],
"paths":[{"name":"pa","prefix":"/a","service":"s","class":"a","left_ms":600,"aim_ms":600},{"name":"pb","prefix":"/b","service":"s","class":"b","left_ms":600,"aim_ms":600},
{"name":"pc","prefix":"/c","service":"s","class":"c","left_ms":600,"aim_ms":600}]}`}
}

// TestCapacitySharesOfClasses measures which share of the capacity each class gets when
// one, two or all classes are overloaded. 36 slots of 100 ms serve 360 requests a second.
func TestCapacitySharesOfClasses(t *testing.T) {
	skipUnderRace(t)
	for _, c := range []struct {
		loaded string
		want   map[string][2]float64 // class to the bounds of its share of the runs
	}{
		{"a", map[string][2]float64{"a": {1, 1}}},
		{"c", map[string][2]float64{"c": {1, 1}}},
		{"ab", map[string][2]float64{"a": {0.5, 0.75}, "b": {0.25, 0.5}}},
		{"abc", map[string][2]float64{"a": {0.4, 0.6}, "b": {0.2, 0.4}, "c": {0.1, 0.3}}},
	} {
		t.Run(c.loaded, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := singleServiceShape()
				f := NewFleet(t, s, 110)
				defer f.Stop()
				f.Start()
				var lines []standin.CallKind
				for _, k := range c.loaded {
					lines = append(lines, standin.CallKind{Method: "GET", URI: "/" + string(k), Service: "s", Rate: 600})
				}
				f.Load(lines, 10*time.Second)()
				f.CheckInvariants()
				served, total := map[string]float64{}, 0.0
				for _, n := range f.Nodes {
					_, status := f.Get(n.Host+":7003", "/puffin/own")
					classes, _ := status["classes"].(map[string]any)
					for _, w := range classes {
						for k, u := range w.(map[string]any) {
							n := u.(map[string]any)["served"].(float64)
							served[k] += n
							total += n
						}
					}
				}
				utilization := total * s.ServiceTimes["s"].Seconds() / (36 * 10)
				t.Logf("overloaded %s: capacity used %.2f, shares a %.2f b %.2f c %.2f", c.loaded, utilization, served["a"]/total, served["b"]/total, served["c"]/total)
				if utilization < 0.85 {
					t.Errorf("only %.2f of the capacity was used under overload", utilization)
				}
				for k, b := range c.want {
					if p := served[k] / total; p < b[0] || p > b[1] {
						t.Errorf("class %s has %.2f of the runs, want %v", k, p, b)
					}
				}
			})
		})
	}
}

// TestSlowWorker: a worker that becomes slow gets fewer requests, and its full share
// again once it has recovered. With a tight target latency an ingress soon excludes
// it and then gets no new measurements. Where requests may be retried, some of them
// probe the worker; elsewhere the suspicion decays with time.
func TestSlowWorker(t *testing.T) {
	skipUnderRace(t)
	for _, c := range []struct{ targetMS, retry string }{{"600", "never"}, {"150", "never"}, {"150", "safe"}} {
		t.Run(c.targetMS+c.retry, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { slowWorker(t, c.targetMS, c.retry) })
		})
	}
}

func slowWorker(t *testing.T, targetMS, retry string) {
	s := singleServiceShape()
	s.Config = strings.ReplaceAll(s.Config, `"aim_ms":600`, `"aim_ms":`+targetMS+`,"repeat":"`+retry+`"`)
	f := NewFleet(t, s, 111)
	defer f.Stop()
	f.Start()
	wait := f.Load([]standin.CallKind{{Method: "GET", URI: "/a", Service: "s", Rate: 120, Retryable: retry == "safe"}}, 60*time.Second)
	share := func(duration time.Duration) float64 {
		first, total := 0.0, 0.0
		count := func(sign float64) {
			for i, n := range f.Nodes {
				_, own := f.Get(n.Host+":7003", "/puffin/own")
				for _, w := range own["classes"].(map[string]any) {
					served := w.(map[string]any)["a"].(map[string]any)["served"].(float64)
					total += sign * served
					if i == 0 {
						first += sign * served
					}
				}
			}
		}
		count(-1)
		Wait(duration)
		count(1)
		return first / total
	}
	before := share(10 * time.Second)
	f.Nodes[0].Worker.SetBehavior(standin.WorkerBehavior{Took: 450 * time.Millisecond})
	Wait(5 * time.Second)
	slow := share(10 * time.Second)
	f.Nodes[0].Worker.SetBehavior(standin.WorkerBehavior{Took: 100 * time.Millisecond})
	Wait(15 * time.Second)
	after := share(10 * time.Second)
	t.Logf("share of the requests: %.2f before, %.2f while slow, %.2f after recovery", before, slow, after)
	if before < 0.25 || slow > 0.2 || after < 0.22 {
		t.Error("the share of the requests does not follow the worker's health")
	}
	wait()
	f.CheckInvariants()
}

// TestChurn: while workers come and go for five minutes, the number of tombstones
// stays bounded, and a node that was partitioned meanwhile revives no removed entry.
func TestChurn(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		s := singleServiceShape()
		f := NewFleet(t, s, 112)
		defer f.Stop()
		f.Start()
		mostTombstones, replaced := 0.0, 0
		for round := range 150 {
			n := f.Nodes[1+round%2]
			n.Worker.Leave("gone")
			f.KillWorker(n)
			f.StartWorker(n, "s")
			replaced++
			// The first node is cut off for longer than a replica may be and still merge.
			if round == 60 {
				f.Net.Isolate(f.Nodes[0].Host, true)
			}
			if round == 80 {
				f.Net.Isolate(f.Nodes[0].Host, false)
			}
			Wait(2 * time.Second)
			_, status := f.Get(f.Nodes[1].Host+":7003", "/puffin/own")
			tombstones, _ := status["tombstones"].(float64)
			mostTombstones = max(mostTombstones, tombstones)
		}
		f.Until(20*time.Second, "all replicas are equal", f.replicasEqual)
		f.Until(20*time.Second, "only live workers are known", f.Converged)
		t.Logf("%d replacements in 5 minutes, at most %.0f tombstones", replaced, mostTombstones)
		// Tombstones are kept for six times the retire bound of 10 s: about 30
		// replacements, each with one entry for the start and one or two for the leave.
		if mostTombstones > 130 {
			t.Errorf("%.0f tombstones", mostTombstones)
		}
	})
}

// TestManyRoutes: with several hundred routes, a push of the configuration and the
// start of a node cost little more than the bytes of the document.
func TestManyRoutes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := singleServiceShape()
		f := NewFleet(t, s, 113)
		defer f.Stop()
		f.Start()
		withRoutes := func(n int) string {
			var more []string
			for i := range n {
				more = append(more, fmt.Sprintf(`{"name":"x%d","prefix":"/x%d","service":"s","class":"a"}`, i, i))
			}
			return strings.Replace(s.Config, `"paths":[`, `"paths":[`+strings.Join(more, ",")+",", 1)
		}
		push := func(base uint64, doc string) (time.Duration, int64) {
			sentBefore, receivedBefore := f.Net.BytesSent(false), f.Net.BytesSent(true)
			code, v := f.Apply(f.Nodes[0].Host+":7003", base, doc)
			if code != 200 {
				t.Fatalf("apply answered %d", code)
			}
			took := f.Until(2*time.Second, "all nodes have the new version", func() bool {
				for _, n := range f.Nodes {
					if _, status := f.Get(n.Host+":7003", "/puffin/own"); status["config_version"] != float64(v) {
						return false
					}
				}
				return true
			})
			return took, f.Net.BytesSent(false) + f.Net.BytesSent(true) - sentBefore - receivedBefore
		}
		small, smallBytes := push(1, withRoutes(1))
		doc := withRoutes(600)
		large, largeBytes := push(2, doc)
		t.Logf("push of %d bytes: last node after %v and %d bytes in all; of %d bytes: %v and %d", len(withRoutes(1)), small, smallBytes, len(doc), large, largeBytes)
		// The document goes to three stores, three registries and three proxies, once each by push.
		if copies := float64(largeBytes-smallBytes) / float64(len(doc)); copies > 16 {
			t.Errorf("a push sends the document %.1f times, want at most 16", copies)
		}
		if large > 4*max(small, 50*time.Millisecond) {
			t.Errorf("a push of 600 routes takes %v, of one route %v", large, small)
		}
		n := f.Nodes[1]
		f.KillNode(n)
		f.StartProxy(n)
		t.Logf("a start takes %v", f.Until(3*time.Second, "the node is ready", n.Proxy.Ready))
	})
}

// TestNotReadyAlone: a node that starts while no majority can confirm
// the configuration is not ready and accepts no request; a running node goes on.
func TestNotReadyAlone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := singleServiceShape()
		f := NewFleet(t, s, 114)
		defer f.Stop()
		f.Start()
		f.KillControlMachine(f.ControlMachines[0], false)
		f.KillControlMachine(f.ControlMachines[1], false)
		Wait(3 * time.Second)
		n := f.Nodes[0]
		f.KillNode(n)
		f.StartProxy(n)
		Wait(5 * time.Second)
		if code, _ := f.Get(n.Host+":7003", "/puffin/ready"); code != 503 {
			t.Errorf("a starting node without a majority answers %d", code)
		}
		if code, _ := f.Get(n.Host+":8000", "/a"); code != 503 {
			t.Errorf("a starting node without a majority accepts a request: %d", code)
		}
		if code, _ := f.Get(f.Nodes[1].Host+":8000", "/a"); code != 200 {
			t.Errorf("a running node without a majority answers %d", code)
		}
		f.RestartControlMachine(f.ControlMachines[0])
		f.Until(15*time.Second, "the node is ready", n.Proxy.Ready)
	})
}
