package rules

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawnDocument is a random document in parts, which are changed one at a time.
type drawnDocument struct {
	prefix          string
	services, paths []string
}

func (d drawnDocument) join(gap string) []byte {
	return []byte("{" + d.prefix + gap + `"services":[` + strings.Join(d.services, ","+gap) + `],"paths":[` + strings.Join(d.paths, ","+gap) + "]}")
}

func drawService(t *rapid.T) string {
	return fmt.Sprintf(`{"name":"s%d"%s}`, rapid.IntRange(0, 5).Draw(t, "service"), rapid.SampledFrom([]string{"", "", `,"links":3`, `,"fitness":"/up"`, `,"odd":1`}).Draw(t, "more"))
}

func drawRoute(t *rapid.T) string {
	number := rapid.IntRange(0, 9).Draw(t, "path")
	target := fmt.Sprintf(`"service":"s%d"`, rapid.IntRange(0, 5).Draw(t, "to"))
	if rapid.IntRange(0, 4).Draw(t, "split") == 0 {
		target = fmt.Sprintf(`"split":[{"service":"s%d","weight":1},{"service":"s1","weight":%d}]`, rapid.IntRange(0, 5).Draw(t, "to"), rapid.IntRange(0, 2).Draw(t, "weight"))
	}
	extra := rapid.SampledFrom([]string{"", "", `,"class":"c"`, `,"class":"c"`, `,"class":"d"`, `,"rank":2`, `,"left_ms":70`, `,"left_ms":0`, `,"host":"H.x:80"`, `,"tries":1,"tries":2`, `,"x\u0041":[{}]`,
		`,"class":"c","trial":{"id":3,"slice":5,"service":"s2","class":"c","left_ms":50,"repeat":"safe","tries":2}`}).Draw(t, "more")
	return fmt.Sprintf(`{"name":"p%d","prefix":"/%s%d",%s%s}`, number, rapid.SampledFrom([]string{"", "a/"}).Draw(t, "under"), number, target, extra)
}

// TestNextEqualsCompile checks that Next gives the same rules and problems as Compile for documents
// that share some rows with their predecessor.
func TestNextEqualsCompile(t *testing.T) {
	followed := 0
	checkManyTimes(t, func(t *rapid.T) {
		prefixes := rapid.SampledFrom([]string{"", `"version":7,`, `"version":8,`, `"classes":[{"name":"c","share":100}],`, `"classes":[{"name":"c","share":40},{"name":"d","share":60}],`, `"limits":{"queue_share":0.3},`, `"version":0,`})
		document := drawnDocument{prefix: prefixes.Draw(t, "head")}
		for i := range 6 {
			document.services = append(document.services, fmt.Sprintf(`{"name":"s%d"}`, i))
		}
		class := ""
		if strings.Contains(document.prefix, "classes") {
			class = `,"class":"c"`
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "paths") {
			document.paths = append(document.paths, fmt.Sprintf(`{"name":"p%d","prefix":"/%d","service":"s%d"%s}`, i, i, i%6, class))
		}
		previous, _, _ := Compile(1, document.join(""))
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
				document.prefix = prefixes.Draw(t, "head")
			case 1:
				document.services = edit(document.services, drawService)
			default:
				document.paths = edit(document.paths, drawRoute)
			}
			doc := document.join(rapid.SampledFrom([]string{"", "", "", " \n", "\n", "]"}).Draw(t, "gap"))
			want, problems, err := Compile(uint64(v+2), doc)
			got, gotProblems, gotErr := Recompile(previous, uint64(v+2), doc)
			if !reflect.DeepEqual(problems, gotProblems) || !reflect.DeepEqual(err, gotErr) {
				t.Fatalf("%s: Compile gave %v, %v, but Next gave %v, %v", doc, problems, err, gotProblems, gotErr)
			}
			if want == nil {
				if got != nil {
					t.Fatalf("%s is invalid, but Next compiled it", doc)
				}
				continue
			}
			if previous != nil {
				followed++
			}
			next := *got
			want.readInto, got.readInto = nil, nil
			if !reflect.DeepEqual(want, got) {
				t.Fatalf("%s: Compile gave %+v, but Next gave %+v", doc, want, got)
			}
			previous = &next
		}
	})
	t.Logf("%d documents were compiled with a predecessor", followed)
	if followed < 20 {
		t.Errorf("only %d documents were compiled with a predecessor", followed)
	}
}

// TestNextCost checks that a change of one row of many compiles only that row.
func TestNextCost(t *testing.T) {
	doc := string(benchDocument(2000))
	previous, _, _ := Compile(1, []byte(doc))
	full := testing.AllocsPerRun(3, func() { _, _, _ = Compile(2, []byte(doc)) })
	changed := strings.Replace(doc, `"left_ms":3000`, `"left_ms":4000`, 1)
	incremental := testing.AllocsPerRun(3, func() { _, _, _ = Recompile(previous, 2, []byte(changed)) })
	t.Logf("%.0f allocations for the whole document, %.0f for one changed row", full, incremental)
	if 10*incremental > full {
		t.Errorf("%.0f allocations for one changed row, %.0f for the whole document", incremental, full)
	}
	compiled, _, _ := Recompile(previous, 2, []byte(changed))
	if compiled.Routes[0] == previous.Routes[0] || compiled.Routes[1999] != previous.Routes[1999] {
		t.Error("not exactly the changed row was compiled again")
	}
}
