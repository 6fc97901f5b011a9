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

const good = `{"services":[{"name":"a"},{"name":"b"}],"classes":[{"name":"x","share":60},{"name":"y","share":40}],
"paths":[{"name":"p","method":"GET","prefix":"/p","service":"a","class":"x"},{"name":"q","prefix":"/p/deep","service":"b","class":"y","repeat":"safe"}]}`

// TestFaults: every fault of a document is named with its place.
func TestFaults(t *testing.T) {
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
		doc := strings.Replace(good, c.from, c.to, 1)
		if doc == good {
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
	// Two faults in one document are both named.
	_, bad, _ := Compile(1, []byte(strings.NewReplacer(`"service":"a"`, `"service":"z"`, `"share":60`, `"share":50`).Replace(good)))
	if len(bad) != 2 {
		t.Errorf("want both faults, got %v", bad)
	}
	for _, doc := range []string{"", "{", "[]", "7", good + "{}", good[:len(good)-9], strings.Repeat(`{"a":`, 100)} {
		if r, bad, err := Compile(1, []byte(doc)); err == nil || r != nil || bad != nil {
			t.Errorf("%.20q is no document but gave %v %v", doc, bad, err)
		}
	}
}

// TestMatch: whole segments, longest prefix, the method by name first.
func TestMatch(t *testing.T) {
	r, bad, err := Compile(1, []byte(good))
	if err != nil || bad != nil {
		t.Fatal(bad, err)
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

// TestSlice: the slice of a trial has its size, and one job has one arm.
func TestSlice(t *testing.T) {
	doc := strings.Replace(good, `"class":"x"}`, `"class":"x","trial":{"id":3,"slice":10,"service":"b","class":"y","left_ms":500,"repeat":"never","tries":1}}`, 1)
	r, bad, err := Compile(1, []byte(doc))
	if err != nil || bad != nil {
		t.Fatal(bad, err)
	}
	p, n := r.RouteByName("p"), 0
	for i := range 20000 {
		id := fmt.Sprintf("node1.abc.%d", i)
		if p.Arm(id).Name == "new" {
			n++
		}
		if first, second := p.Arm(id), p.Arm(id); first != second {
			t.Fatal("one job in both arms")
		}
	}
	if math.Abs(float64(n)/20000-0.1) > 0.01 {
		t.Errorf("%d of 20000 jobs are in a slice of 10 %%", n)
	}
}

// TestManyPaths: the work of a match doesn't grow with the paths.
func TestManyPaths(t *testing.T) {
	build := func(n int) *Rules {
		var paths []string
		for i := range n {
			paths = append(paths, fmt.Sprintf(`{"name":"p%d","prefix":"/p%d","service":"a","class":"x"}`, i, i))
		}
		doc := fmt.Sprintf(`{"services":[{"name":"a"}],"classes":[{"name":"x","share":100}],"paths":[%s]}`, strings.Join(paths, ","))
		r, bad, err := Compile(1, []byte(doc))
		if err != nil || bad != nil {
			t.Fatal(bad, err)
		}
		return r
	}
	cost := func(r *Rules) float64 {
		// The best of a few: the machine may be busy with something else.
		best := time.Hour
		for range 7 {
			from := time.Now()
			for range 30_000 {
				r.Match("", "GET", "/p1/a/b/c")
			}
			best = min(best, time.Since(from))
		}
		return float64(best)
	}
	small, large := build(2), build(800)
	cost(small)
	// Both in one run; the bound is wide, a walk over all paths costs hundreds
	// of times more.
	if ratio := cost(large) / cost(small); ratio > 8 {
		t.Errorf("a match among 800 paths costs %.1f times one among 2", ratio)
	}
}

// TestWholeDocument reads back what it was given.
func TestWholeDocument(t *testing.T) {
	m, dup, err := schema.Parse([]byte(good))
	if err != nil || dup != nil {
		t.Fatal(dup, err)
	}
	raw, _ := json.Marshal(m)
	if _, bad, err := Compile(1, raw); err != nil || bad != nil {
		t.Fatal(bad, err)
	}
}
