package rules

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

const wide = `{"version":7,"services":[{"name":"a","links":130,"fitness":"/well","proto":"h1","tls":false},{"name":"b"}],
"paths":[{"name":"p","host":"One.Example:80","prefix":"/deep/","split":[{"service":"a","weight":90},{"service":"b","weight":10}],"left_ms":3000.0,"aim_ms":500,"rank":2,"repeat":"download"},
{"name":"q","host":"two.example","prefix":"/deep/","service":"b","repeat":"upload","tries":1000},
{"name":"r","prefix":"/deep/er","service":"a","rank":2,"left_ms":3600000}],
"limits":{"head_bytes":16384,"body_bytes":67108864.0,"head_ms":3000,"idle_ms":15000}}`

func must(t *testing.T, doc string) *Rules {
	t.Helper()
	r, bad, err := Compile(1, []byte(doc))
	if err != nil || bad != nil {
		t.Fatal(bad, err)
	}
	return r
}

// TestFields: what a document says is what the rules hold.
func TestFields(t *testing.T) {
	r := must(t, wide)
	if r.DocumentNumber != 7 || r.MaxHeaderBytes != 16384 || r.MaxBodyBytes != 67108864 || r.HeaderTimeout != 3*time.Second || r.IdleTimeout != 15*time.Second {
		t.Errorf("number and limits: %d %d %d %v %v", r.DocumentNumber, r.MaxHeaderBytes, r.MaxBodyBytes, r.HeaderTimeout, r.IdleTimeout)
	}
	if len(r.MaxConns) != 1 || r.MaxConns["a"] != 130 || len(r.HealthPaths) != 1 || r.HealthPaths["a"] != "/well" {
		t.Errorf("services: %v %v", r.MaxConns, r.HealthPaths)
	}
	p, q, d := r.RouteByName("p").Base, r.RouteByName("q").Base, r.RouteByName("r").Base
	if p.Service != "" || len(p.Split) != 2 || p.Timeout != 3*time.Second || p.Target != 500*time.Millisecond || p.Rank != 2 || !p.Repeatable || p.Bulk != "download" || p.Class != "rank-2" {
		t.Errorf("p: %+v", p)
	}
	if q.Service != "b" || q.Repeatable || q.Bulk != "upload" || q.MaxAttempts != 1000 || q.Target != 250*time.Millisecond || q.Class != "rank-0" {
		t.Errorf("q: %+v", q)
	}
	if d.Timeout != time.Hour || r.LongestTimeout != time.Hour {
		t.Errorf("r: %v, longest %v", d.Timeout, r.LongestTimeout)
	}
	old := must(t, good)
	if old.DocumentNumber != 0 || old.MaxHeaderBytes != 65536 || old.MaxBodyBytes != 0 || old.HeaderTimeout != 0 || old.IdleTimeout != 0 || len(old.MaxConns)+len(old.HealthPaths) != 0 {
		t.Errorf("defaults: %+v", old)
	}
}

// TestHosts: a path of the job's host goes before one without, and only then
// the longer prefix counts.
func TestHosts(t *testing.T) {
	r := must(t, wide)
	for _, c := range []struct{ host, url, want string }{
		{"one.example", "/deep/er", "p"}, {"ONE.example:8080", "/deep/x", "p"}, {"two.example", "/deep", "q"},
		{"three.example", "/deep/er/x", "r"}, {"three.example", "/deep/x", ""}, {"", "/deep/er", "r"},
		{"one.example", "/deeper", ""}, {"one.example", "/", ""}, {"[::1]:80", "/deep/er", "r"}, {"::", "/deep/er", "r"},
	} {
		got := ""
		if p := r.Match(c.host, "GET", c.url); p != nil {
			got = p.Name
		}
		if got != c.want {
			t.Errorf("%s %s matched %q, want %q", c.host, c.url, got, c.want)
		}
	}
	six := must(t, strings.Replace(wide, "two.example", "[::1]:99", 1))
	if p := six.Match("[::1]", "GET", "/deep/x"); p == nil || p.Name != "q" {
		t.Errorf("an IPv6 host matched %v", p)
	}
}

// TestSplit: each part has its size, and one job has one service.
func TestSplit(t *testing.T) {
	a := must(t, strings.Replace(wide, `{"service":"b","weight":10}`, `{"service":"b","weight":0},{"service":"b","weight":10}`, 1)).RouteByName("p").Base
	n := 0
	for i := range 20000 {
		id := fmt.Sprintf("node1.abc.%d", i)
		if a.ServiceFor(id) == "b" {
			n++
		}
		if first, second := a.ServiceFor(id), a.ServiceFor(id); first != second {
			t.Fatal("one job has two services")
		}
	}
	if math.Abs(float64(n)/20000-0.1) > 0.01 {
		t.Errorf("%d of 20000 jobs go to a part of 10 %%", n)
	}
	if !a.RoutesTo("a") || !a.RoutesTo("b") || a.RoutesTo("c") || a.RoutesTo("") {
		t.Error("Sends names other services than the split's")
	}
	none := must(t, strings.Replace(wide, `"weight":10`, `"weight":0`, 1)).RouteByName("p").Base
	if none.RoutesTo("b") {
		t.Error("a part of no weight could get jobs")
	}
	for i := range 1000 {
		if got := none.ServiceFor(fmt.Sprint(i)); got != "a" {
			t.Fatalf("a part of no weight got a job: %q", got)
		}
	}
	one := must(t, good).RouteByName("p").Base
	if one.ServiceFor("x") != "a" || !one.RoutesTo("a") || one.RoutesTo("b") || one.RoutesTo("") {
		t.Error("a single service is not the only one")
	}
}

// TestRanks: only the order of the ranks counts, each has a share, the shares
// add up.
func TestRanks(t *testing.T) {
	for _, c := range []struct {
		ranks []int
		want  map[string]float64
	}{
		{[]int{3}, map[string]float64{"rank-3": 100}},
		{[]int{7, 0, 7}, map[string]float64{"rank-0": 200.0 / 3, "rank-7": 100.0 / 3}},
		{[]int{1000, 0, 10}, map[string]float64{"rank-0": 400.0 / 7, "rank-10": 200.0 / 7, "rank-1000": 100.0 / 7}},
	} {
		var rows []string
		for i, n := range c.ranks {
			rows = append(rows, fmt.Sprintf(`{"name":"p%d","prefix":"/%d","service":"a","rank":%d}`, i, i, n))
		}
		r := must(t, `{"services":[{"name":"a"}],"paths":[`+strings.Join(rows, ",")+`]}`)
		if len(r.Shares) != len(c.want) || len(r.Classes) != len(c.want) {
			t.Errorf("%v: %v %v", c.ranks, r.Shares, r.Classes)
		}
		for n, s := range c.want {
			if math.Abs(r.Shares[n]-s) > 1e-9 {
				t.Errorf("%v: %s has %v, want %v", c.ranks, n, r.Shares[n], s)
			}
		}
	}
}

// TestFieldFaults: every fault of the newer settings is named with its place.
func TestFieldFaults(t *testing.T) {
	for _, c := range []struct{ from, to, place, wrong string }{
		{`"version":7`, `"version":0`, "version", "from 1"},
		{`"version":7`, `"version":"7"`, "version", "whole number"},
		{`"host":"two.example"`, `"host":""`, "paths[1].host", "not empty"},
		{`"host":"two.example"`, `"host":":80"`, "paths[1].host", "before its port"},
		{`"host":"two.example"`, `"host":"two/example"`, "paths[1].host", "host name"},
		{`"host":"two.example"`, `"host":"ONE.EXAMPLE"`, "paths[1].prefix", "matches the same"},
		{`"/deep/","service":"b"`, `"/deep//","service":"b"`, "paths[1].prefix", "double slash"},
		{`"service":"b","repeat"`, `"repeat"`, "paths[1].service", "missing"},
		{`"service":"b","repeat"`, `"service":"b","split":[{"service":"a","weight":1}],"repeat"`, "paths[1].split", "not both"},
		{`"service":"b","repeat"`, `"split":[],"repeat"`, "paths[1].split", "over 0"},
		{`"service":"b","repeat"`, `"split":[{"service":"a","weight":0}],"repeat"`, "paths[1].split", "over 0"},
		{`"weight":10`, `"weight":-1`, "paths[0].split[1].weight", "from 0"},
		{`"service":"b","weight"`, `"service":"z","weight"`, "paths[0].split[1].service", `no service "z"`},
		{`"split":[`, `"split":[7,`, "paths[0].split[0]", "must be an object"},
		{`"split":[`, `"split":[{"service":"a"},`, "paths[0].split[0].weight", "missing"},
		{`"aim_ms":500`, `"aim_ms":0`, "paths[0].aim_ms", "from 1"},
		{`"rank":2,"repeat"`, `"rank":1001,"repeat"`, "paths[0].rank", "from 0 to 1000"},
		{`"rank":2,"repeat"`, `"rank":1.5,"repeat"`, "paths[0].rank", "whole number"},
		{`"rank":2,"repeat"`, `"class":"x","repeat"`, "paths[0].class", `no class "x"`},
		{`"tries":1000`, `"tries":0`, "paths[1].tries", "from 1 to 1000"},
		{`"left_ms":3600000`, `"left_ms":3600001`, "paths[2].left_ms", "from 1 to 3600000"},
		{`"links":130`, `"links":-1`, "services[0].links", "from 0"},
		{`"fitness":"/well"`, `"fitness":"well"`, "services[0].fitness", "begin with /"},
		{`"proto":"h1"`, `"proto":"h2"`, "services[0].proto", "one of"},
		{`"tls":false`, `"tls":true`, "services[0].tls", "not spoken"},
		{`"head_bytes":16384`, `"head_bytes":0`, "limits.head_bytes", "from 1"},
		{`"body_bytes":67108864.0`, `"body_bytes":67108864.5`, "limits.body_bytes", "whole number"},
		{`"services":[`, `"classes":[{"name":"x","share":100}],"services":[`, "paths[0].class", "missing"},
		{`"version":7,`, `"version":7,"version":7,`, "version", "given twice"},
		{`"version":7,`, `"more":7,`, "more", "unknown setting"},
	} {
		doc := strings.Replace(wide, c.from, c.to, 1)
		if doc == wide {
			t.Fatalf("case %q changes nothing", c.to)
		}
		_, bad, err := Compile(1, []byte(doc))
		found := false
		for _, f := range bad {
			found = found || (f.Place == c.place && strings.Contains(f.Message, c.wrong))
		}
		if err != nil || !found {
			t.Errorf("%s: want %s %q, got %v %v", c.to, c.place, c.wrong, bad, err)
		}
	}
}

// TestNumbered: a numbered document may hold names that this program doesn't
// know, at every level, and may be empty; without a number both are faults.
func TestNumbered(t *testing.T) {
	more := strings.NewReplacer(`"services":[`, `"new":[{}],"services":[`, `"name":"b"}`, `"name":"b","new":1}`, `"weight":10`, `"weight":10,"new":{}`,
		`"rank":2,"repeat"`, `"new":null,"rank":2,"repeat"`, `"head_ms"`, `"new":true,"head_ms"`).Replace(wide)
	r := must(t, more)
	if r.RouteByName("p") == nil || len(r.Routes) != 3 {
		t.Errorf("paths: %v", r.Routes)
	}
	_, bad, err := Compile(1, []byte(strings.Replace(more, `"version":7,`, "", 1)))
	if err != nil || len(bad) != 5 {
		t.Errorf("without a number: %v %v", bad, err)
	}
	must(t, `{"version":8,"services":[],"paths":[]}`)
	if _, bad, _ = Compile(1, []byte(`{"services":[],"paths":[]}`)); len(bad) != 2 {
		t.Errorf("empty without a number: %v", bad)
	}
}
