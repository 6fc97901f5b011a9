package sim

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

const megabit = 1_000_000 / 8

// thinShape is a school's mesh in two areas: pages and loans that somebody
// waits for, scans that go up and files that come down. With flat all paths are
// alike, so that all jobs go by one lane.
func thinShape(oneLane bool) Shape {
	upload, download, lowRank := `"repeat":"upload","rank":3`, `"repeat":"download","rank":3`, `"rank":1`
	if oneLane {
		upload, download, lowRank = `"repeat":"never"`, `"repeat":"safe"`, `"rank":0`
	}
	return Shape{Nodes: 12, Slots: 12, Far: 3 * time.Millisecond, Services: []string{"pages", "lending", "scans"},
		Took: map[string]time.Duration{"pages": 40 * time.Millisecond, "lending": 60 * time.Millisecond, "scans": 60 * time.Millisecond},
		Doc: `{"services":[{"name":"pages"},{"name":"lending"},{"name":"scans"}],
"paths":[{"name":"read","method":"GET","prefix":"/pages","service":"pages","left_ms":3000,"aim_ms":1000,"repeat":"safe"},
{"name":"lend","method":"POST","prefix":"/loans","service":"lending","left_ms":4000,"aim_ms":1200,` + lowRank + `},
{"name":"scan","method":"POST","prefix":"/scans","service":"scans","left_ms":6000,"aim_ms":3000,` + upload + `},
{"name":"file","method":"GET","prefix":"/files","service":"scans","left_ms":6000,"aim_ms":3000,` + download + `}]}`}
}

// thinFleet starts a fleet of two areas; workers of scans stand in one of them
// only, so that bulk can't keep off the link.
func thinFleet(t *testing.T, oneLane bool, limit func(*Fleet)) *Fleet {
	return thinFleetOf(t, thinShape(oneLane), limit)
}

func thinFleetOf(t *testing.T, shape Shape, limit func(*Fleet)) *Fleet {
	f := NewFleet(t, shape, 1)
	for i, n := range f.Nodes {
		n.Area = Areas[i%2]
	}
	for i, c := range f.Cores {
		c.Area = Areas[i%2]
	}
	f.Start()
	for i, n := range f.Nodes {
		service := []string{"pages", "lending"}[i/2%2]
		if i%2 == 1 && i/2%2 == 1 {
			service = "scans"
		}
		if n.Worker.Service != service {
			n.Worker.Leave("gone")
			n.Worker.Kill()
			f.StartWorker(n, service)
		}
	}
	Wait(3 * time.Second)
	f.Until(15*time.Second, "all know all workers", f.Whole)
	if limit != nil {
		limit(f)
	}
	return f
}

// narrow makes the two areas' link thin, each way.
func narrow(rate int) func(*Fleet) {
	return func(f *Fleet) {
		f.Net.Narrow(Areas[0], Areas[1], rate)
		f.Net.Narrow(Areas[1], Areas[0], rate)
	}
}

var urgentLines = []standin.Line{
	{Method: "GET", URI: "/pages/7", Service: "pages", Safe: true, Rate: 120},
	{Method: "POST", URI: "/loans", Service: "lending", Rate: 80, Size: 200}}

// bulkLines offers bulk of a size at twice what a link carries. Only callers at the
// fronts of the other area press the link.
func bulkLines(rate int) []standin.Line {
	return []standin.Line{
		{Method: "POST", URI: "/scans", Service: "scans", Rate: 2 * float64(rate) / size, Size: size, Want: 1},
		{Method: "GET", URI: "/files/7", Service: "scans", Safe: true, Rate: 2 * float64(rate) / size, Want: size}}
}

const size = 60_000 // of a body of bulk

// isWhole tells whether a bulk call's answer is its own, byte for byte, and says
// that its own body came whole.
func isWhole(c standin.Call) bool {
	sent, want := size, 1
	if c.Safe {
		sent, want = 0, size
	}
	_, got, _ := strings.Cut(c.Body, "|"+c.ID+"|")
	return got == fmt.Sprint(sent)+string(standin.Whole(c.ID, standin.Pattern(c.ID, sent), want))
}

// load runs urgent calls at all fronts and bulk at those of the first area.
func (f *Fleet) loadWithBulk(bulk []standin.Line, duration time.Duration) {
	var ingresses []string
	for _, n := range f.Nodes {
		if n.Area == Areas[0] {
			ingresses = append(ingresses, n.Host+":8000")
		}
	}
	f.Net.Place("10.0.9.9", "outside")
	bulkDone := make(chan struct{})
	go func() {
		defer close(bulkDone)
		if len(bulk) > 0 {
			c := standin.NewCallers(f.env("bulk", "10.0.9.9", "outside", &f.Nodes[0].skew), ingresses, f.Obs, 15*time.Second)
			c.Name = "bulk-"
			c.Run(bulk, duration)
		}
	}()
	f.Load(urgentLines, duration)()
	<-bulkDone
}

// outcomes counts how the calls of a kind ended, with a quantile of those done.
func (f *Fleet) outcomes(bulk bool, quantile float64) (map[string]int, time.Duration) {
	counts := map[string]int{}
	var durations []time.Duration
	for _, c := range f.Obs.Calls() {
		if strings.HasPrefix(c.ID, "bulk-") != bulk {
			continue
		}
		switch {
		case c.Status == 200:
			counts["done"]++
			durations = append(durations, c.To.Sub(c.From))
			if bulk && !isWhole(c) {
				counts["not whole"]++
			}
		case c.Status == 503 && c.Ran == "no":
			counts["refused"]++
			if c.Retry == "" {
				counts["no time"]++
			}
		default:
			counts[fmt.Sprint("lost ", c.Status, c.Ran, c.Safe)]++
		}
	}
	slices.Sort(durations)
	if len(durations) == 0 {
		return counts, 0
	}
	return counts, durations[min(int(float64(len(durations))*quantile), len(durations)-1)]
}

// congestionResult is what came of one run.
type congestionResult struct {
	urgent, bulk map[string]int
	p99          time.Duration // of urgent calls
	extraRuns    int           // runs beyond one for each call that ran
	linkUse      float64       // of the thinner way's bytes that were used
}

func runCongested(t *testing.T, oneLane bool, bulk []standin.Line, limit, meanwhile func(*Fleet)) (out congestionResult) {
	synctest.Test(t, func(t *testing.T) {
		f := thinFleet(t, oneLane, limit)
		defer f.Stop()
		before := [2]int{f.Net.Through("north", "south"), f.Net.Through("south", "north")}
		const seconds = 30
		done := make(chan struct{})
		go func() {
			defer close(done)
			if meanwhile != nil {
				meanwhile(f)
			}
		}()
		f.loadWithBulk(bulk, seconds*time.Second)
		<-done
		out.linkUse = float64(min(f.Net.Through("north", "south")-before[0], f.Net.Through("south", "north")-before[1])) / seconds / linkRate
		out.urgent, out.p99 = f.outcomes(false, 0.99)
		var p50 time.Duration
		out.bulk, p50 = f.outcomes(true, 0.5)
		t.Logf("%.2f of the link used; urgent %v, p99 %v; bulk %v, p50 %v", out.linkUse, out.urgent, out.p99, out.bulk, p50)
		counts := f.Obs.Counts()
		out.extraRuns = counts["runs"] - counts["done"] - counts["unknown"]
		f.Judge()
	})
	return out
}

const linkRate = 4 * megabit

// lostBulk counts the bulk that ended in neither a whole answer nor a certain
// refusal that says when to come back.
func (c congestionResult) lostBulk() (n int) {
	for outcome, count := range c.bulk {
		if outcome != "done" && outcome != "refused" {
			n += count
		}
	}
	return n
}

// TestThinLinks: the link between two areas has 4 Mbit/s and bulk of twice that
// is offered each way. Urgent calls stay nearly as quick as without bulk, all
// of them are done, none runs twice, all bulk that was done is whole, byte for
// byte, and the rest was refused unrun, with a time to come back. With all in
// one lane it isn't so.
func TestThinLinks(t *testing.T) {
	t.Parallel()
	var noBulk, lanes, oneLane congestionResult
	t.Run("no bulk", func(t *testing.T) { noBulk = runCongested(t, false, nil, narrow(linkRate), nil) })
	t.Run("lanes", func(t *testing.T) { lanes = runCongested(t, false, bulkLines(linkRate), narrow(linkRate), nil) })
	t.Run("one lane", func(t *testing.T) { oneLane = runCongested(t, true, bulkLines(linkRate), narrow(linkRate), nil) })
	if lanes.p99 > noBulk.p99*5/2 || len(lanes.urgent) != 1 || lanes.extraRuns > 0 {
		t.Errorf("urgent calls took %v, without bulk %v; %v, %d run again", lanes.p99, noBulk.p99, lanes.urgent, lanes.extraRuns)
	}
	// Before the speed is known for the first time some may be let in too many.
	if lanes.lostBulk() > 3 || lanes.bulk["done"] < 330 || lanes.linkUse < 0.8 {
		t.Errorf("%.2f of the link was used, bulk ended %v", lanes.linkUse, lanes.bulk)
	}
	// What a jam lets through is chance, 96 to 220 of 1000; what it loses is not.
	if oneLane.p99 < 2*lanes.p99 || oneLane.lostBulk() < 150 || oneLane.urgent["done"] > lanes.urgent["done"]*49/50 || oneLane.bulk["done"] > lanes.bulk["done"]*3/4 {
		t.Errorf("all in one lane does as well: urgent %v %v, bulk %v", oneLane.p99, oneLane.urgent, oneLane.bulk)
	}
}
