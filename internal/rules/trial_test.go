package rules

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func always(string) bool { return true }

// bareArm is an arm without its name, for comparing.
func bareArm(a Arm) Arm { a.Name = ""; return a }

// armOf draws the terms of an arm, some of them left out.
func armOf(t *rapid.T, ranked bool) map[string]any {
	out := map[string]any{}
	some := func(name string, vals ...any) {
		if v := rapid.SampledFrom(append(vals, nil)).Draw(t, name); v != nil {
			out[name] = v
		}
	}
	if rapid.Bool().Draw(t, "single") {
		out["service"] = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
	} else {
		out["split"] = []any{map[string]any{"service": "a", "weight": rapid.IntRange(0, 9).Draw(t, "weight")}, map[string]any{"service": "b", "weight": 1}}
	}
	if ranked {
		some("rank", 0, 1, 7)
	} else {
		out["class"] = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "class")
		some("rank", 0, 1)
	}
	some("left_ms", 1000, 400, 3600000, 400.0)
	some("aim_ms", 100, 250)
	some("repeat", "safe", "never", "upload", "download")
	some("tries", 1, 3, 1000)
	return out
}

func docOf(t *rapid.T, ranked bool, place, arm map[string]any) []byte {
	m := map[string]any{"services": []any{map[string]any{"name": "a"}, map[string]any{"name": "b"}, map[string]any{"name": "c"}}}
	if !ranked {
		m["classes"] = []any{map[string]any{"name": "x", "share": 60}, map[string]any{"name": "y", "share": 40}}
	}
	p := map[string]any{"name": "p"}
	for _, from := range []map[string]any{place, arm} {
		for n, v := range from {
			p[n] = v
		}
	}
	m["paths"] = []any{p}
	raw, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func compiled(t *rapid.T, doc []byte, err error) *Route {
	if err != nil {
		t.Fatal(err)
	}
	r, bad, err := Compile(1, doc)
	if err != nil || bad != nil {
		t.Fatalf("%s: %v %v", doc, bad, err)
	}
	return r.RouteByName("p")
}

// TestTrialArms: in a trial, begun by a proposal or by a whole document, one
// arm is what stood and the other what is to come; promoted, the document means
// what was proposed, held back it means what stood.
func TestTrialArms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranked := rapid.Bool().Draw(t, "ranked")
		was := map[string]any{"host": "One.Example:80", "prefix": "/p/"}
		is := map[string]any{"host": "one.example", "prefix": "/p", "method": "any"}
		old, now := armOf(t, ranked), armOf(t, ranked)
		before, after := docOf(t, ranked, was, old), docOf(t, ranked, is, now)
		want, to := compiled(t, before, nil).Base, compiled(t, after, nil).Base
		check := func(doc []byte, id uint64, to Arm) {
			p := compiled(t, doc, nil)
			if p.Trial != id || !reflect.DeepEqual(bareArm(p.Base), bareArm(want)) || !reflect.DeepEqual(bareArm(p.New), bareArm(to)) {
				t.Fatalf("%s:\n%+v\n%+v, want\n%+v\n%+v", doc, p.Base, p.New, want, to)
			}
			for good, want := range map[bool]Arm{true: to, false: want} {
				end, err := FinishTrial(doc, id, good)
				got := compiled(t, end, err)
				if got.Trial != 0 || !reflect.DeepEqual(bareArm(got.Base), bareArm(want)) {
					t.Fatalf("settled %v: %s:\n%+v, want\n%+v", good, end, got.Base, want)
				}
			}
		}
		doc, paths, err := PlanTrials(before, after, 3, always)
		if err != nil {
			t.Fatal(err)
		}
		if differs := !reflect.DeepEqual(bareArm(want), bareArm(to)); differs != (len(paths) == 1) {
			t.Fatalf("%s to %s: rehearsed %v", before, after, paths)
		} else if differs {
			check(doc, 3, to)
		}
		// The same by a proposal of the fields that the new arm names.
		merged := map[string]any{}
		for n, v := range old {
			merged[n] = v
		}
		if _, ok := now["service"]; ok {
			delete(merged, "split")
		} else {
			delete(merged, "service")
		}
		for n, v := range now {
			merged[n] = v
		}
		aim := compiled(t, docOf(t, ranked, was, merged), nil).Base
		if IsNoop(before, "p", now) != reflect.DeepEqual(bareArm(want), bareArm(aim)) {
			t.Fatalf("%s with %v: alike is %v", before, now, IsNoop(before, "p", now))
		}
		doc, err = StartTrial(before, 4, "p", now, 10)
		if err != nil {
			t.Fatal(err)
		}
		check(doc, 4, aim)
	})
}

// TestNewPlace: a path at another host, prefix or method is wholly new and not
// rehearsed; nor is one without traffic.
func TestNewPlace(t *testing.T) {
	old := []byte(wide)
	moved := strings.Replace(wide, `"prefix":"/deep/","service":"b"`, `"prefix":"/deep/","service":"a"`, 1)
	if _, paths, err := PlanTrials(old, []byte(moved), 2, always); err != nil || len(paths) != 1 || paths[0] != "q" {
		t.Fatalf("rehearsed %v %v", paths, err)
	}
	if _, paths, _ := PlanTrials(old, []byte(moved), 2, func(n string) bool { return n != "q" }); len(paths) != 0 {
		t.Errorf("a path without traffic is rehearsed: %v", paths)
	}
	for _, c := range [][2]string{{`"host":"two.example"`, `"host":"three.example"`}, {`"host":"two.example",`, ``}, {`"/deep/","service":"a"`, `"/deep/est/","service":"a"`}, {`"host":"two.example"`, `"method":"GET","host":"two.example"`}} {
		doc := strings.Replace(moved, c[0], c[1], 1)
		if doc == moved {
			t.Fatalf("case %q changes nothing", c)
		}
		if _, paths, err := PlanTrials(old, []byte(doc), 2, always); err != nil || len(paths) != 0 {
			t.Errorf("%s: rehearsed %v %v", c[1], paths, err)
		}
	}
}
