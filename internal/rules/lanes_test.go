package rules

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestLanes checks that bulk requests use the last lane whatever their rank, and that the others
// are ordered by rank and within it by target latency.
func TestLanes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type route struct {
			rank, target int
			repeat       string
		}
		var routes []route
		var rows []string
		for i := range rapid.IntRange(1, 20).Draw(t, "paths") {
			p := route{rapid.IntRange(0, 9).Draw(t, "rank") * 10, rapid.IntRange(50, 9000).Draw(t, "aim"),
				rapid.SampledFrom([]string{"safe", "never", "upload", "download"}).Draw(t, "repeat")}
			routes = append(routes, p)
			rows = append(rows, fmt.Sprintf(`{"name":"p%d","prefix":"/p%d","service":"s","rank":%d,"aim_ms":%d,"left_ms":9000,"repeat":%q}`, i, i, p.rank, p.target, p.repeat))
		}
		r, problems, err := Compile(1, []byte(`{"services":[{"name":"s"}],"paths":[`+strings.Join(rows, ",")+`]}`))
		if err != nil || len(problems) > 0 {
			t.Fatal(err, problems)
		}
		for i, p := range routes {
			a := &r.Routes[i].Base
			if bulk := p.repeat == "upload" || p.repeat == "download"; bulk != (r.Lane(a) == RequestLanes-1) {
				t.Fatalf("%+v has lane %d", p, r.Lane(a))
			} else if bulk {
				continue
			}
			for k, q := range routes {
				b := &r.Routes[k].Base
				if b.Bulk == "" && (p.rank < q.rank || p.rank == q.rank && p.target <= q.target) && r.Lane(a) > r.Lane(b) {
					t.Fatalf("%+v has lane %d, %+v has lane %d", p, r.Lane(a), q, r.Lane(b))
				}
			}
		}
	})
}

// TestLanesSpread checks that arms of different urgency get different lanes as long as there are
// enough.
func TestLanesSpread(t *testing.T) {
	r, problems, err := Compile(1, []byte(`{"services":[{"name":"s"}],"paths":[
{"name":"a","prefix":"/a","service":"s","rank":1,"aim_ms":1000},
{"name":"b","prefix":"/b","service":"s","rank":1,"aim_ms":1900},
{"name":"c","prefix":"/c","service":"s","rank":1,"aim_ms":4000},
{"name":"d","prefix":"/d","service":"s","rank":5,"aim_ms":100},
{"name":"e","prefix":"/e","service":"s","rank":0,"aim_ms":9000},
{"name":"f","prefix":"/f","service":"s","rank":0,"repeat":"download"}]}`))
	if err != nil || len(problems) > 0 {
		t.Fatal(err, problems)
	}
	lanes := ""
	for _, p := range r.Routes {
		lanes += fmt.Sprint(r.Lane(&p.Base))
	}
	if lanes != "112306" {
		t.Errorf("the lanes are %s", lanes)
	}
}
