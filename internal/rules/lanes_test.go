package rules

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestLanes: bulk is last whatever its rank; of the others the rank decides,
// and the aim within it, if it differs by more than twice.
func TestLanes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type path struct {
			rank, aim int
			repeat    string
		}
		var all []path
		var rows []string
		for i := range rapid.IntRange(1, 20).Draw(t, "paths") {
			p := path{rapid.IntRange(0, 9).Draw(t, "rank") * 10, rapid.IntRange(50, 9000).Draw(t, "aim"),
				rapid.SampledFrom([]string{"safe", "never", "upload", "download"}).Draw(t, "repeat")}
			all = append(all, p)
			rows = append(rows, fmt.Sprintf(`{"name":"p%d","prefix":"/p%d","service":"s","rank":%d,"aim_ms":%d,"left_ms":9000,"repeat":%q}`, i, i, p.rank, p.aim, p.repeat))
		}
		r, bad, err := Compile(1, []byte(`{"services":[{"name":"s"}],"paths":[`+strings.Join(rows, ",")+`]}`))
		if err != nil || len(bad) > 0 {
			t.Fatal(err, bad)
		}
		for i, p := range all {
			a := &r.Routes[i].Base
			if bulk := p.repeat == "upload" || p.repeat == "download"; bulk != (r.Lane(a) == RequestLanes-1) {
				t.Fatalf("%+v goes by lane %d", p, r.Lane(a))
			} else if bulk {
				continue
			}
			for k, q := range all {
				b := &r.Routes[k].Base
				if b.Bulk == "" && (p.rank < q.rank || p.rank == q.rank && p.aim <= q.aim) && r.Lane(a) > r.Lane(b) {
					t.Fatalf("%+v goes by lane %d, %+v by %d", p, r.Lane(a), q, r.Lane(b))
				}
			}
		}
	})
}

// TestLanesSpread: what differs has a lane of its own as long as there are some.
func TestLanesSpread(t *testing.T) {
	r, bad, err := Compile(1, []byte(`{"services":[{"name":"s"}],"paths":[
{"name":"a","prefix":"/a","service":"s","rank":1,"aim_ms":1000},
{"name":"b","prefix":"/b","service":"s","rank":1,"aim_ms":1900},
{"name":"c","prefix":"/c","service":"s","rank":1,"aim_ms":4000},
{"name":"d","prefix":"/d","service":"s","rank":5,"aim_ms":100},
{"name":"e","prefix":"/e","service":"s","rank":0,"aim_ms":9000},
{"name":"f","prefix":"/f","service":"s","rank":0,"repeat":"download"}]}`))
	if err != nil || len(bad) > 0 {
		t.Fatal(err, bad)
	}
	got := ""
	for _, p := range r.Routes {
		got += fmt.Sprint(r.Lane(&p.Base))
	}
	if got != "112306" {
		t.Errorf("the lanes are %s", got)
	}
}
