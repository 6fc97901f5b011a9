package rules

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawn is a document in pieces, to be changed piece by piece.
type drawn struct {
	head            string
	services, paths []string
}

func (d drawn) text(gap string) []byte {
	return []byte("{" + d.head + gap + `"services":[` + strings.Join(d.services, ","+gap) + `],"paths":[` + strings.Join(d.paths, ","+gap) + "]}")
}

func drawService(t *rapid.T) string {
	return fmt.Sprintf(`{"name":"s%d"%s}`, rapid.IntRange(0, 5).Draw(t, "service"), rapid.SampledFrom([]string{"", "", `,"links":3`, `,"fitness":"/up"`, `,"odd":1`}).Draw(t, "more"))
}

func drawPath(t *rapid.T) string {
	n := rapid.IntRange(0, 9).Draw(t, "path")
	to := fmt.Sprintf(`"service":"s%d"`, rapid.IntRange(0, 5).Draw(t, "to"))
	if rapid.IntRange(0, 4).Draw(t, "split") == 0 {
		to = fmt.Sprintf(`"split":[{"service":"s%d","weight":1},{"service":"s1","weight":%d}]`, rapid.IntRange(0, 5).Draw(t, "to"), rapid.IntRange(0, 2).Draw(t, "weight"))
	}
	more := rapid.SampledFrom([]string{"", "", `,"class":"c"`, `,"class":"c"`, `,"class":"d"`, `,"rank":2`, `,"left_ms":70`, `,"left_ms":0`, `,"host":"H.x:80"`, `,"tries":1,"tries":2`, `,"x\u0041":[{}]`,
		`,"class":"c","trial":{"id":3,"slice":5,"service":"s2","class":"c","left_ms":50,"repeat":"safe","tries":2}`}).Draw(t, "more")
	return fmt.Sprintf(`{"name":"p%d","prefix":"/%s%d",%s%s}`, n, rapid.SampledFrom([]string{"", "a/"}).Draw(t, "under"), n, to, more)
}

// TestNext: a document compiled with the help of the one before it, of which
// some pieces stay, is the one that comes of compiling it whole, faults too.
func TestNext(t *testing.T) {
	good := 0
	often(t, func(t *rapid.T) {
		heads := rapid.SampledFrom([]string{"", `"version":7,`, `"version":8,`, `"classes":[{"name":"c","share":100}],`, `"classes":[{"name":"c","share":40},{"name":"d","share":60}],`, `"limits":{"queue_share":0.3},`, `"version":0,`})
		d := drawn{head: heads.Draw(t, "head")}
		for i := range 6 {
			d.services = append(d.services, fmt.Sprintf(`{"name":"s%d"}`, i))
		}
		class := ""
		if strings.Contains(d.head, "classes") {
			class = `,"class":"c"`
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "paths") {
			d.paths = append(d.paths, fmt.Sprintf(`{"name":"p%d","prefix":"/%d","service":"s%d"%s}`, i, i, i%6, class))
		}
		old, _, _ := Compile(1, d.text(""))
		edit := func(list []string, draw func(*rapid.T) string) []string {
			at := rapid.IntRange(0, len(list)).Draw(t, "at")
			switch rapid.IntRange(0, 3).Draw(t, "edit") {
			case 0:
				return append(append(append([]string(nil), list[:at]...), draw(t)), list[at:]...)
			case 1:
				if at < len(list) {
					return append(append([]string(nil), list[:at]...), list[at+1:]...)
				}
			case 2:
				if at < len(list) {
					return append(append(append([]string(nil), list[:at]...), draw(t)), list[at+1:]...)
				}
			}
			return list
		}
		for v := range rapid.IntRange(1, 5).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				d.head = heads.Draw(t, "head")
			case 1:
				d.services = edit(d.services, drawService)
			default:
				d.paths = edit(d.paths, drawPath)
			}
			doc := d.text(rapid.SampledFrom([]string{"", "", "", " \n", "\n", "]"}).Draw(t, "gap"))
			want, bad, err := Compile(uint64(v+2), doc)
			got, bad2, err2 := Recompile(old, uint64(v+2), doc)
			if !reflect.DeepEqual(bad, bad2) || !reflect.DeepEqual(err, err2) {
				t.Fatalf("%s: %v, %v compiled whole, else %v, %v", doc, bad, err, bad2, err2)
			}
			if want == nil {
				if got != nil {
					t.Fatalf("%s is faulty", doc)
				}
				continue
			}
			if old != nil {
				good++
			}
			next := *got
			want.fill, got.fill = nil, nil
			if !reflect.DeepEqual(want, got) {
				t.Fatalf("%s: %+v compiled whole, else %+v", doc, want, got)
			}
			old = &next
		}
	})
	t.Logf("%d documents followed another", good)
	if good < 20 {
		t.Errorf("only %d documents followed another", good)
	}
}

// TestNextCost: a change of one row of many reads that row.
func TestNextCost(t *testing.T) {
	doc := string(benchDoc(2000))
	old, _, _ := Compile(1, []byte(doc))
	whole := testing.AllocsPerRun(3, func() { _, _, _ = Compile(2, []byte(doc)) })
	next := strings.Replace(doc, `"left_ms":3000`, `"left_ms":4000`, 1)
	one := testing.AllocsPerRun(3, func() { _, _, _ = Recompile(old, 2, []byte(next)) })
	t.Logf("%.0f and %.0f allocations", whole, one)
	if 10*one > whole {
		t.Errorf("%.0f allocations for one row, %.0f for all", one, whole)
	}
	now, _, _ := Recompile(old, 2, []byte(next))
	if now.Routes[0] == old.Routes[0] || now.Routes[1999] != old.Routes[1999] {
		t.Error("not the changed row alone was read")
	}
}
