package sim

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

// one is a fleet with one service and three classes.
func one() Shape {
	return Shape{Nodes: 3, Slots: 12, Far: time.Millisecond, Services: []string{"s"}, Took: map[string]time.Duration{"s": 100 * time.Millisecond},
		Doc: `{"services":[{"name":"s"}],"classes":[{"name":"a","share":50},{"name":"b","share":30},{"name":"c","share":20}],
"paths":[{"name":"pa","prefix":"/a","service":"s","class":"a","left_ms":600,"aim_ms":600},{"name":"pb","prefix":"/b","service":"s","class":"b","left_ms":600,"aim_ms":600},
{"name":"pc","prefix":"/c","service":"s","class":"c","left_ms":600,"aim_ms":600}]}`}
}

// TestCapacitySharesOfClasses measures what share of the room each class has when it presses
// alone, when two press and when all press; 36 slots of 100 ms do 360 a second.
func TestCapacitySharesOfClasses(t *testing.T) {
	heavy(t)
	for _, c := range []struct {
		loaded string
		want   map[string][2]float64 // class to the bounds of its part of the runs
	}{
		{"a", map[string][2]float64{"a": {1, 1}}},
		{"c", map[string][2]float64{"c": {1, 1}}},
		{"ab", map[string][2]float64{"a": {0.5, 0.75}, "b": {0.25, 0.5}}},
		{"abc", map[string][2]float64{"a": {0.4, 0.6}, "b": {0.2, 0.4}, "c": {0.1, 0.3}}},
	} {
		t.Run(c.loaded, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := one()
				f := NewFleet(t, s, 110)
				defer f.Stop()
				f.Start()
				var lines []standin.Line
				for _, k := range c.loaded {
					lines = append(lines, standin.Line{Method: "GET", URI: "/" + string(k), Service: "s", Rate: 600})
				}
				f.Load(lines, 10*time.Second)()
				f.Judge()
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
				utilization := total * s.Took["s"].Seconds() / (36 * 10)
				t.Logf("pressing %s: room used %.2f, parts a %.2f b %.2f c %.2f", c.loaded, utilization, served["a"]/total, served["b"]/total, served["c"]/total)
				if utilization < 0.85 {
					t.Errorf("only %.2f of the room was used under pressure", utilization)
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

// TestSlowWorker: a worker that turns slow gets less, and its share again
// when it is well. With a tight aim a front would soon know it only as one that
// misses it, and what it gets no jobs of it learns nothing of; where jobs may be
// sent again some of them look, elsewhere doubts fade.
func TestSlowWorker(t *testing.T) {
	heavy(t)
	for _, c := range []struct{ targetMS, retry string }{{"600", "never"}, {"150", "never"}, {"150", "safe"}} {
		t.Run(c.targetMS+c.retry, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { slowWorker(t, c.targetMS, c.retry) })
		})
	}
}

func slowWorker(t *testing.T, targetMS, retry string) {
	s := one()
	s.Doc = strings.ReplaceAll(s.Doc, `"aim_ms":600`, `"aim_ms":`+targetMS+`,"repeat":"`+retry+`"`)
	f := NewFleet(t, s, 111)
	defer f.Stop()
	f.Start()
	wait := f.Load([]standin.Line{{Method: "GET", URI: "/a", Service: "s", Rate: 120, Safe: retry == "safe"}}, 60*time.Second)
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
	f.Nodes[0].Worker.Behave(standin.Way{Took: 450 * time.Millisecond})
	Wait(5 * time.Second)
	slow := share(10 * time.Second)
	f.Nodes[0].Worker.Behave(standin.Way{Took: 100 * time.Millisecond})
	Wait(15 * time.Second)
	after := share(10 * time.Second)
	t.Logf("part of the jobs: %.2f before, %.2f while slow, %.2f when well again", before, slow, after)
	if before < 0.25 || slow > 0.2 || after < 0.22 {
		t.Error("fitness does not follow the worker")
	}
	wait()
	f.Judge()
}

// TestChurn: over a long time of workers that come and go, tombstones stay
// bounded, and a node that was cut off meanwhile raises no dead entry.
func TestChurn(t *testing.T) {
	heavy(t)
	synctest.Test(t, func(t *testing.T) {
		s := one()
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
			// The third node is away for longer than a replica may merge after.
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
		f.Until(20*time.Second, "all replicas are equal", f.equal)
		f.Until(20*time.Second, "only the live are known", f.Whole)
		t.Logf("%d replacements in 5 minutes, at most %.0f tombstones", replaced, mostTombstones)
		// Kept for six times the retire bound of 10 s: about 30 replacements,
		// each with an entry for up, and one or two for leaving.
		if mostTombstones > 130 {
			t.Errorf("%.0f tombstones", mostTombstones)
		}
	})
}

// TestManyRoutes: growing to several hundred paths costs a push and a start
// little more than the document's own bytes.
func TestManyRoutes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := one()
		f := NewFleet(t, s, 113)
		defer f.Stop()
		f.Start()
		withRoutes := func(n int) string {
			var more []string
			for i := range n {
				more = append(more, fmt.Sprintf(`{"name":"x%d","prefix":"/x%d","service":"s","class":"a"}`, i, i))
			}
			return strings.Replace(s.Doc, `"paths":[`, `"paths":[`+strings.Join(more, ",")+",", 1)
		}
		push := func(base uint64, doc string) (time.Duration, int64) {
			sentBefore, receivedBefore := f.Net.Sum(false), f.Net.Sum(true)
			code, v := f.Apply(f.Nodes[0].Host+":7003", base, doc)
			if code != 200 {
				t.Fatalf("apply answered %d", code)
			}
			took := f.Until(2*time.Second, "all hold it", func() bool {
				for _, n := range f.Nodes {
					if _, status := f.Get(n.Host+":7003", "/puffin/own"); status["config_version"] != float64(v) {
						return false
					}
				}
				return true
			})
			return took, f.Net.Sum(false) + f.Net.Sum(true) - sentBefore - receivedBefore
		}
		small, smallBytes := push(1, withRoutes(1))
		doc := withRoutes(600)
		large, largeBytes := push(2, doc)
		t.Logf("push of %d bytes: last node after %v and %d bytes in all; of %d bytes: %v and %d", len(withRoutes(1)), small, smallBytes, len(doc), large, largeBytes)
		// Three stores, three registries and three proxies, once by push.
		if copies := float64(largeBytes-smallBytes) / float64(len(doc)); copies > 16 {
			t.Errorf("a push sends the document %.1f times", copies)
		}
		if large > 4*max(small, 50*time.Millisecond) {
			t.Errorf("a push of 600 paths takes %v, of one %v", large, small)
		}
		n := f.Nodes[1]
		f.KillNode(n)
		f.StartProxy(n)
		t.Logf("a start takes %v", f.Until(3*time.Second, "the node is ready", n.Proxy.Ready))
	})
}

// TestNotReadyWithoutMajority: a node that starts while no majority can confirm the
// configuration is not ready and takes no job, and one that runs goes on.
func TestNotReadyWithoutMajority(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := one()
		f := NewFleet(t, s, 114)
		defer f.Stop()
		f.Start()
		f.KillCore(f.Cores[0], false)
		f.KillCore(f.Cores[1], false)
		Wait(3 * time.Second)
		n := f.Nodes[0]
		f.KillNode(n)
		f.StartProxy(n)
		Wait(5 * time.Second)
		if code, _ := f.Get(n.Host+":7003", "/puffin/ready"); code != 503 {
			t.Errorf("a starting node without a majority answers %d", code)
		}
		if code, _ := f.Get(n.Host+":8000", "/a"); code != 503 {
			t.Errorf("it takes a job: %d", code)
		}
		if code, _ := f.Get(f.Nodes[1].Host+":8000", "/a"); code != 200 {
			t.Errorf("a running node without a majority answers %d", code)
		}
		f.BackCore(f.Cores[0])
		f.Until(15*time.Second, "it is ready", n.Proxy.Ready)
	})
}
