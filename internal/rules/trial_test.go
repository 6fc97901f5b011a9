package rules

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func alwaysTrue(string) bool { return true }

// withoutName returns an arm without its name, for comparison.
func withoutName(arm Arm) Arm { arm.Name = ""; return arm }

// drawArm draws the fields of an arm, with some of them left out.
func drawArm(t *rapid.T, ranked bool) map[string]any {
	arm := map[string]any{}
	drawOptional := func(name string, values ...any) {
		if value := rapid.SampledFrom(append(values, nil)).Draw(t, name); value != nil {
			arm[name] = value
		}
	}
	if rapid.Bool().Draw(t, "single") {
		arm["service"] = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
	} else {
		arm["split"] = []any{map[string]any{"service": "a", "weight": rapid.IntRange(0, 9).Draw(t, "weight")}, map[string]any{"service": "b", "weight": 1}}
	}
	if ranked {
		drawOptional("rank", 0, 1, 7)
	} else {
		arm["class"] = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "class")
		drawOptional("rank", 0, 1)
	}
	drawOptional("left_ms", 1000, 400, 3600000, 400.0)
	drawOptional("aim_ms", 100, 250)
	drawOptional("repeat", "safe", "never", "upload", "download")
	drawOptional("tries", 1, 3, 1000)
	return arm
}

func documentWith(t *rapid.T, ranked bool, match, arm map[string]any) []byte {
	document := map[string]any{"services": []any{map[string]any{"name": "a"}, map[string]any{"name": "b"}, map[string]any{"name": "c"}}}
	if !ranked {
		document["classes"] = []any{map[string]any{"name": "x", "share": 60}, map[string]any{"name": "y", "share": 40}}
	}
	route := map[string]any{"name": "p"}
	for _, fields := range []map[string]any{match, arm} {
		for name, value := range fields {
			route[name] = value
		}
	}
	document["paths"] = []any{route}
	raw, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func compileSingleRoute(t *rapid.T, doc []byte, err error) *Route {
	if err != nil {
		t.Fatal(err)
	}
	r, problems, err := Compile(1, doc)
	if err != nil || problems != nil {
		t.Fatalf("%s: %v %v", doc, problems, err)
	}
	return r.RouteByName("p")
}

// TestTrialArms checks trials begun by a proposal or by a whole document: one arm is the old one
// and the other the proposed one. Promoted, the document means what was proposed; held back, it
// means what was in force before.
func TestTrialArms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranked := rapid.Bool().Draw(t, "ranked")
		oldMatch := map[string]any{"host": "One.Example:80", "prefix": "/p/"}
		newMatch := map[string]any{"host": "one.example", "prefix": "/p/", "method": "any"}
		oldArm, newArm := drawArm(t, ranked), drawArm(t, ranked)
		before, after := documentWith(t, ranked, oldMatch, oldArm), documentWith(t, ranked, newMatch, newArm)
		wantOld, wantNew := compileSingleRoute(t, before, nil).Base, compileSingleRoute(t, after, nil).Base
		check := func(doc []byte, id uint64, wantNew Arm) {
			route := compileSingleRoute(t, doc, nil)
			if route.Trial != id || !reflect.DeepEqual(withoutName(route.Base), withoutName(wantOld)) || !reflect.DeepEqual(withoutName(route.New), withoutName(wantNew)) {
				t.Fatalf("%s:\n%+v\n%+v, want\n%+v\n%+v", doc, route.Base, route.New, wantOld, wantNew)
			}
			for promote, want := range map[bool]Arm{true: wantNew, false: wantOld} {
				finished, err := FinishTrial(doc, id, promote)
				got := compileSingleRoute(t, finished, err)
				if got.Trial != 0 || !reflect.DeepEqual(withoutName(got.Base), withoutName(want)) {
					t.Fatalf("promoted %v: %s:\n%+v, want\n%+v", promote, finished, got.Base, want)
				}
			}
		}
		doc, routes, err := PlanTrials(before, after, 3, alwaysTrue)
		if err != nil {
			t.Fatal(err)
		}
		if differs := !reflect.DeepEqual(withoutName(wantOld), withoutName(wantNew)); differs != (len(routes) == 1) {
			t.Fatalf("%s to %s: routes on trial %v", before, after, routes)
		} else if differs {
			check(doc, 3, wantNew)
		}
		// The same trial is begun by a proposal of the fields that the new arm sets.
		merged := map[string]any{}
		for name, value := range oldArm {
			merged[name] = value
		}
		if _, ok := newArm["service"]; ok {
			delete(merged, "split")
		} else {
			delete(merged, "service")
		}
		for name, value := range newArm {
			merged[name] = value
		}
		proposed := compileSingleRoute(t, documentWith(t, ranked, oldMatch, merged), nil).Base
		if IsNoop(before, "p", newArm) != reflect.DeepEqual(withoutName(wantOld), withoutName(proposed)) {
			t.Fatalf("%s with %v: IsNoop is %v", before, newArm, IsNoop(before, "p", newArm))
		}
		doc, err = StartTrial(before, 4, "p", newArm, 10)
		if err != nil {
			t.Fatal(err)
		}
		check(doc, 4, proposed)
	})
}

// TestMovedRoutesNotTried checks that a route with another host, prefix or method counts as new and
// gets no trial, and neither does a route without traffic.
func TestMovedRoutesNotTried(t *testing.T) {
	old := []byte(numberedDocument)
	changed := strings.Replace(numberedDocument, `"prefix":"/deep/","service":"b"`, `"prefix":"/deep/","service":"a"`, 1)
	if _, routes, err := PlanTrials(old, []byte(changed), 2, alwaysTrue); err != nil || len(routes) != 1 || routes[0] != "q" {
		t.Fatalf("routes on trial %v %v", routes, err)
	}
	if _, routes, _ := PlanTrials(old, []byte(changed), 2, func(n string) bool { return n != "q" }); len(routes) != 0 {
		t.Errorf("a route without traffic is on trial: %v", routes)
	}
	for _, replacement := range [][2]string{{`"host":"two.example"`, `"host":"three.example"`}, {`"host":"two.example",`, ``}, {`"/deep/","service":"a"`, `"/deep/est/","service":"a"`}, {`"/deep/","service":"a"`, `"/deep","service":"a"`}, {`"host":"two.example"`, `"method":"GET","host":"two.example"`}} {
		doc := strings.Replace(changed, replacement[0], replacement[1], 1)
		if doc == changed {
			t.Fatalf("case %q does not change the document", replacement)
		}
		if _, routes, err := PlanTrials(old, []byte(doc), 2, alwaysTrue); err != nil || len(routes) != 0 {
			t.Errorf("%s: routes on trial %v %v", replacement[1], routes, err)
		}
	}
}
