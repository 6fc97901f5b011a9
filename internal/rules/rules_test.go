package rules

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"puffincrank/internal/schema"
)

const classesDocument = `{"services":[{"name":"a"},{"name":"b"}],"classes":[{"name":"x","share":60},{"name":"y","share":40}],
"paths":[{"name":"p","method":"GET","prefix":"/p","service":"a","class":"x"},{"name":"q","prefix":"/p/deep","service":"b","class":"y","repeat":"safe"}]}`

// TestInvalidDocuments checks that every problem of a document is reported with its place.
func TestInvalidDocuments(t *testing.T) {
	for _, c := range []struct{ from, to, place, wrong string }{
		{`"services":[{"name":"a"},{"name":"b"}],`, ``, "services", "missing"},
		{`{"name":"b"}`, `{"name":"a"}`, "services[1].name", "twice"},
		{`{"name":"b"}`, `{"name":"b","more":1}`, "services[1].more", "unknown setting"},
		{`"share":60`, `"share":50`, "classes", "add up to 90"},
		{`"share":60`, `"share":"60"`, "classes[0].share", "must be a number"},
		{`"share":60`, `"share":-1`, "classes[0].share", "from 0 to 100"},
		{`"name":"y"`, `"name":"x"`, "classes[1].name", "twice"},
		{`"service":"a"`, `"service":"z"`, "paths[0].service", `no service "z"`},
		{`"class":"x"`, `"class":"z"`, "paths[0].class", `no class "z"`},
		{`"method":"GET"`, `"method":"get"`, "paths[0].method", "one of"},
		{`"prefix":"/p",`, `"prefix":"p",`, "paths[0].prefix", "begin with /"},
		{`"prefix":"/p",`, `"prefix":"/puffin/x",`, "paths[0].prefix", "own"},
		{`"method":"GET","prefix":"/p",`, `"method":"any","prefix":"/p/deep",`, "paths[1].prefix", "matches the same"},
		{`"name":"q"`, `"name":"p"`, "paths[1].name", "twice"},
		{`"repeat":"safe"`, `"repeat":"always"`, "paths[1].repeat", "one of"},
		{`"repeat":"safe"`, `"left_ms":1.5`, "paths[1].left_ms", "whole number"},
		{`"repeat":"safe"`, `"left_ms":0`, "paths[1].left_ms", "from 1 to"},
		{`"name":"q",`, `"name":"q","name":"q2",`, "paths[1].name", "given twice"},
		{`"repeat":"safe"}]`, `"repeat":"safe"}],"judge":{"least_ms":9000,"most_ms":8000}`, "judge.most_ms", "over least_ms"},
		{`"repeat":"safe"}]`, `"repeat":"safe"}],"limits":{"repeat_share":2}`, "limits.repeat_share", "from 0 to 1"},
		{`"repeat":"safe"}]`, `"repeat":"safe"}],"limits":7`, "limits", "must be an object"},
		{`"paths":[`, `"paths":[5,`, "paths[0]", "must be an object"},
	} {
		doc := strings.Replace(classesDocument, c.from, c.to, 1)
		if doc == classesDocument {
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
	// Two problems in one document are both reported.
	_, problems, _ := Compile(1, []byte(strings.NewReplacer(`"service":"a"`, `"service":"z"`, `"share":60`, `"share":50`).Replace(classesDocument)))
	if len(problems) != 2 {
		t.Errorf("want both problems, got %v", problems)
	}
	for _, doc := range []string{"", "{", "[]", "7", classesDocument + "{}", classesDocument[:len(classesDocument)-9], strings.Repeat(`{"a":`, 100)} {
		if r, problems, err := Compile(1, []byte(doc)); err == nil || r != nil || problems != nil {
			t.Errorf("%.20q is not a document, but gave %v %v", doc, problems, err)
		}
	}
}

// TestMatch checks that prefixes match by whole segments, that the longest prefix wins, and that a
// route for the method goes before one for any method.
func TestMatch(t *testing.T) {
	r, problems, err := Compile(1, []byte(classesDocument))
	if err != nil || problems != nil {
		t.Fatal(problems, err)
	}
	for _, c := range []struct{ method, url, want string }{
		{"GET", "/p", "p"}, {"GET", "/p/", "p"}, {"GET", "/p/x/y", "p"}, {"GET", "/pp", ""}, {"POST", "/p", ""},
		{"POST", "/p/deep/er", "q"}, {"GET", "/p/deep", "q"}, {"GET", "/", ""}, {"GET", "", ""},
	} {
		got := ""
		if p := r.Match("", c.method, c.url); p != nil {
			got = p.Name
		}
		if got != c.want {
			t.Errorf("%s %s matched %q, want %q", c.method, c.url, got, c.want)
		}
	}
	if a := r.RouteByName("p").Base; a.Timeout != time.Second || a.Repeatable || a.MaxAttempts != 3 {
		t.Errorf("defaults: %+v", a)
	}
}

// TestSliceSize checks that the slice of a trial has its configured size and that a request always
// gets the same arm.
func TestSliceSize(t *testing.T) {
	doc := strings.Replace(classesDocument, `"class":"x"}`, `"class":"x","trial":{"id":3,"slice":10,"service":"b","class":"y","left_ms":500,"repeat":"never","tries":1}}`, 1)
	r, problems, err := Compile(1, []byte(doc))
	if err != nil || problems != nil {
		t.Fatal(problems, err)
	}
	route, count := r.RouteByName("p"), 0
	for i := range 20000 {
		id := fmt.Sprintf("node1.abc.%d", i)
		if route.Arm(id).Name == "new" {
			count++
		}
		if first, second := route.Arm(id), route.Arm(id); first != second {
			t.Fatal("a request was given both arms")
		}
	}
	if math.Abs(float64(count)/20000-0.1) > 0.01 {
		t.Errorf("%d of 20000 requests are in a slice of 10 %%", count)
	}
}

// TestMatchCostIndependentOfRoutes checks that the cost of a match does not grow with the number of
// routes.
func TestMatchCostIndependentOfRoutes(t *testing.T) {
	build := func(n int) *Rules {
		var routes []string
		for i := range n {
			routes = append(routes, fmt.Sprintf(`{"name":"p%d","prefix":"/p%d","service":"a","class":"x"}`, i, i))
		}
		doc := fmt.Sprintf(`{"services":[{"name":"a"}],"classes":[{"name":"x","share":100}],"paths":[%s]}`, strings.Join(routes, ","))
		r, problems, err := Compile(1, []byte(doc))
		if err != nil || problems != nil {
			t.Fatal(problems, err)
		}
		return r
	}
	cost := func(r *Rules) float64 {
		// The best of a few rounds counts, since the machine may be busy with something else.
		best := time.Hour
		for range 7 {
			start := time.Now()
			for range 30_000 {
				r.Match("", "GET", "/p1/a/b/c")
			}
			best = min(best, time.Since(start))
		}
		return float64(best)
	}
	small, large := build(2), build(800)
	cost(small)
	// Both are measured in one run. The bound is wide: a search through all routes would cost
	// hundreds of times more.
	if ratio := cost(large) / cost(small); ratio > 8 {
		t.Errorf("a match among 800 routes costs %.1f times as much as one among 2", ratio)
	}
}

// TestRoundTrip checks that a parsed document can be written and compiled again.
func TestRoundTrip(t *testing.T) {
	parsed, duplicates, err := schema.Parse([]byte(classesDocument))
	if err != nil || duplicates != nil {
		t.Fatal(duplicates, err)
	}
	raw, _ := json.Marshal(parsed)
	if _, problems, err := Compile(1, raw); err != nil || problems != nil {
		t.Fatal(problems, err)
	}
}
