package rules

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

const numberedDocument = `{"version":7,"services":[{"name":"a","links":130,"fitness":"/well","proto":"h1","tls":false},{"name":"b"}],
"paths":[{"name":"p","host":"One.Example:80","prefix":"/deep/","split":[{"service":"a","weight":90},{"service":"b","weight":10}],"left_ms":3000.0,"aim_ms":500,"rank":2,"repeat":"download"},
{"name":"q","host":"two.example","prefix":"/deep/","service":"b","repeat":"upload","tries":1000},
{"name":"r","prefix":"/deep/er","service":"a","rank":2,"left_ms":3600000}],
"limits":{"head_bytes":16384,"body_bytes":67108864.0,"head_ms":3000,"idle_ms":15000}}`

func mustCompile(t *testing.T, doc string) *Rules {
	t.Helper()
	r, problems, err := Compile(1, []byte(doc))
	if err != nil || problems != nil {
		t.Fatal(problems, err)
	}
	return r
}

// TestFields checks that the compiled rules hold what the document says.
func TestFields(t *testing.T) {
	rules := mustCompile(t, numberedDocument)
	if rules.DocumentNumber != 7 || rules.MaxHeaderBytes != 16384 || rules.MaxBodyBytes != 67108864 || rules.HeaderTimeout != 3*time.Second || rules.IdleTimeout != 15*time.Second {
		t.Errorf("number and limits: %d %d %d %v %v", rules.DocumentNumber, rules.MaxHeaderBytes, rules.MaxBodyBytes, rules.HeaderTimeout, rules.IdleTimeout)
	}
	if len(rules.MaxConns) != 1 || rules.MaxConns["a"] != 130 || len(rules.HealthPaths) != 1 || rules.HealthPaths["a"] != "/well" {
		t.Errorf("services: %v %v", rules.MaxConns, rules.HealthPaths)
	}
	p, q, long := rules.RouteByName("p").Base, rules.RouteByName("q").Base, rules.RouteByName("r").Base
	if p.Service != "" || len(p.Split) != 2 || p.Timeout != 3*time.Second || p.Target != 500*time.Millisecond || p.Rank != 2 || !p.Repeatable || p.Bulk != "download" || p.Class != "rank-2" {
		t.Errorf("p: %+v", p)
	}
	if q.Service != "b" || q.Repeatable || q.Bulk != "upload" || q.MaxAttempts != 1000 || q.Target != 250*time.Millisecond || q.Class != "rank-0" {
		t.Errorf("q: %+v", q)
	}
	if long.Timeout != time.Hour || rules.LongestTimeout != time.Hour {
		t.Errorf("r: %v, longest %v", long.Timeout, rules.LongestTimeout)
	}
	defaults := mustCompile(t, classesDocument)
	if defaults.DocumentNumber != 0 || defaults.MaxHeaderBytes != 65536 || defaults.MaxBodyBytes != 0 || defaults.HeaderTimeout != 0 || defaults.IdleTimeout != 0 || len(defaults.MaxConns)+len(defaults.HealthPaths) != 0 {
		t.Errorf("defaults: %+v", defaults)
	}
}

// TestHosts checks that a route for the request's host goes before one without a host, and that
// only then the longer prefix wins.
func TestHosts(t *testing.T) {
	r := mustCompile(t, numberedDocument)
	for _, tc := range []struct{ host, url, want string }{
		{"one.example", "/deep/er", "p"}, {"ONE.example:8080", "/deep/x", "p"}, {"two.example", "/deep/", "q"}, {"two.example", "/deep", ""},
		{"three.example", "/deep/er/x", "r"}, {"three.example", "/deep/x", ""}, {"", "/deep/er", "r"},
		{"one.example", "/deeper", ""}, {"one.example", "/", ""}, {"[::1]:80", "/deep/er", "r"}, {"::", "/deep/er", "r"},
	} {
		got := ""
		if route := r.Match(tc.host, "GET", tc.url); route != nil {
			got = route.Name
		}
		if got != tc.want {
			t.Errorf("%s %s matched %q, want %q", tc.host, tc.url, got, tc.want)
		}
	}
	ipv6 := mustCompile(t, strings.Replace(numberedDocument, "two.example", "[::1]:99", 1))
	if route := ipv6.Match("[::1]", "GET", "/deep/x"); route == nil || route.Name != "q" {
		t.Errorf("an IPv6 host matched %v", route)
	}
}

// TestSplitWeights checks that each service of a split gets its part of the requests, and that a
// request always gets the same service.
func TestSplitWeights(t *testing.T) {
	arm := mustCompile(t, strings.Replace(numberedDocument, `{"service":"b","weight":10}`, `{"service":"b","weight":0},{"service":"b","weight":10}`, 1)).RouteByName("p").Base
	count := 0
	for i := range 20000 {
		id := fmt.Sprintf("node1.abc.%d", i)
		if arm.ServiceFor(id) == "b" {
			count++
		}
		if first, second := arm.ServiceFor(id), arm.ServiceFor(id); first != second {
			t.Fatal("a request was given two different services")
		}
	}
	if math.Abs(float64(count)/20000-0.1) > 0.01 {
		t.Errorf("%d of 20000 requests go to a service with a weight of 10 %%", count)
	}
	if !arm.RoutesTo("a") || !arm.RoutesTo("b") || arm.RoutesTo("c") || arm.RoutesTo("") {
		t.Error("RoutesTo does not report exactly the services of the split")
	}
	zeroWeight := mustCompile(t, strings.Replace(numberedDocument, `"weight":10`, `"weight":0`, 1)).RouteByName("p").Base
	if zeroWeight.RoutesTo("b") {
		t.Error("RoutesTo reports a service of weight 0")
	}
	for i := range 1000 {
		if got := zeroWeight.ServiceFor(fmt.Sprint(i)); got != "a" {
			t.Fatalf("a service other than the only one with a weight was chosen: %q", got)
		}
	}
	single := mustCompile(t, classesDocument).RouteByName("p").Base
	if single.ServiceFor("x") != "a" || !single.RoutesTo("a") || single.RoutesTo("b") || single.RoutesTo("") {
		t.Error("an arm with a single service does not route to exactly that one")
	}
}

// TestRanks checks that only the order of the ranks counts, that each class has a share, and that
// the shares add up to 100.
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
		r := mustCompile(t, `{"services":[{"name":"a"}],"paths":[`+strings.Join(rows, ",")+`]}`)
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

// TestFieldProblems checks that every problem of the settings in numberedDocument is reported with
// its place.
func TestFieldProblems(t *testing.T) {
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
		doc := strings.Replace(numberedDocument, c.from, c.to, 1)
		if doc == numberedDocument {
			t.Fatalf("case %q does not change the document", c.to)
		}
		_, problems, err := Compile(1, []byte(doc))
		found := false
		for _, problem := range problems {
			found = found || (problem.Place == c.place && strings.Contains(problem.Message, c.wrong))
		}
		if err != nil || !found {
			t.Errorf("%s: want %s %q, got %v %v", c.to, c.place, c.wrong, problems, err)
		}
	}
}

// TestNumberedDocuments checks that a numbered document may hold unknown names at every level and
// may be empty, and that an unnumbered one may not.
func TestNumberedDocuments(t *testing.T) {
	extended := strings.NewReplacer(`"services":[`, `"new":[{}],"services":[`, `"name":"b"}`, `"name":"b","new":1}`, `"weight":10`, `"weight":10,"new":{}`,
		`"rank":2,"repeat"`, `"new":null,"rank":2,"repeat"`, `"head_ms"`, `"new":true,"head_ms"`).Replace(numberedDocument)
	rules := mustCompile(t, extended)
	if rules.RouteByName("p") == nil || len(rules.Routes) != 3 {
		t.Errorf("routes: %v", rules.Routes)
	}
	_, problems, err := Compile(1, []byte(strings.Replace(extended, `"version":7,`, "", 1)))
	if err != nil || len(problems) != 5 {
		t.Errorf("unnumbered with unknown names: %v %v", problems, err)
	}
	mustCompile(t, `{"version":8,"services":[],"paths":[]}`)
	if _, problems, _ = Compile(1, []byte(`{"services":[],"paths":[]}`)); len(problems) != 2 {
		t.Errorf("empty and unnumbered: %v", problems)
	}
}
