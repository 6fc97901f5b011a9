package rules

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"puffincrank/internal/schema"
)

// object is one of a document, with its table.
type object struct {
	at  map[string]any
	tab schema.Table
}

// objects are all objects of a document, in an order of their own.
func objects(v any, tab schema.Table) (out []object) {
	switch v := v.(type) {
	case map[string]any:
		out = append(out, object{v, tab})
		for _, n := range slices.Sorted(maps.Keys(v)) {
			for _, t := range Tables {
				if t.Name == n {
					out = append(out, objects(v[n], t)...)
				}
			}
		}
	case []any:
		for _, e := range v {
			out = append(out, objects(e, tab)...)
		}
	}
	return out
}

// pool are values for a setting: right ones, wrong ones and those of others.
func pool(s schema.Field) []any {
	part := func(name string, w any) any { return map[string]any{"service": name, "weight": w} }
	out := []any{nil, "", "a", "b", "x", "nobody", 0, 1, -1, 1.5, 100, 1000, 1001, 1e12, true, false, []any{}, map[string]any{}}
	switch s.Name {
	case "host":
		out = append(out, "one.example", "ONE.example:1", "[::1]:80", ":80", "a b")
	case "prefix", "fitness":
		out = append(out, "/", "/p", "/p/", "/deep", "//", "/puffin/x", "/a b")
	case "repeat":
		out = append(out, "safe", "never", "upload", "download")
	case "proto":
		out = append(out, "h1", "h2")
	case "split":
		out = append(out, []any{part("a", 1)}, []any{part("a", 0)}, []any{part("a", 0), part("b", 2.5)}, []any{part("nobody", 1)}, []any{part("a", -1), part("b", 2)})
	case "classes":
		row := func(n string, s any) any { return map[string]any{"name": n, "share": s} }
		out = append(out, []any{row("x", 100)}, []any{row("x", 60), row("x", 40)}, []any{row("x", 60), row("y", 50)}, []any{row("x", -1), row("y", 101)})
	case "trial":
		out = append(out, map[string]any{"id": 3, "slice": 10, "service": "b", "class": "x", "left_ms": 500, "repeat": "safe", "tries": 2},
			map[string]any{"id": 3, "slice": 10, "split": []any{part("b", 1)}, "rank": 4, "left_ms": 500, "repeat": "safe", "tries": 2})
	}
	return out
}

// often runs a check of drawn documents as many times with -short as without:
// with a fifth of them too few may stand for the check to say anything, and
// one takes less than a millisecond.
func often(t *testing.T, prop func(*rapid.T)) {
	rounds := 1
	if testing.Short() {
		rounds = 5
	}
	for range rounds {
		rapid.Check(t, prop)
	}
}

// TestEdits: whole documents with a few settings put in, changed or taken out.
func TestEdits(t *testing.T) {
	var all []schema.Field
	for _, tab := range Tables {
		all = append(all, tab.Fields...)
	}
	stood := 0
	often(t, func(rt *rapid.T) {
		var m map[string]any
		doc := rapid.SampledFrom([]string{good, wide}).Draw(rt, "doc")
		if err := json.Unmarshal([]byte(doc), &m); err != nil {
			rt.Fatal(err)
		}
		for range rapid.IntRange(1, 3).Draw(rt, "edits") {
			o := rapid.SampledFrom(objects(m, DocumentTable)).Draw(rt, "object")
			at, s := o.at, rapid.SampledFrom(o.tab.Fields).Draw(rt, "setting")
			// Now and then one that belongs elsewhere.
			if rapid.IntRange(0, 9).Draw(rt, "odd") == 0 {
				s = rapid.SampledFrom(all).Draw(rt, "other")
			}
			if rapid.IntRange(0, 3).Draw(rt, "drop") == 0 {
				delete(at, s.Name)
			} else {
				at[s.Name] = rapid.SampledFrom(pool(s)).Draw(rt, "value")
			}
		}
		raw, err := json.Marshal(m)
		if err != nil {
			rt.Fatal(err)
		}
		if r, _, _ := Compile(1, raw); r != nil {
			stood++
		}
		sound(t, raw)
	})
	t.Logf("%d edited documents stood", stood)
	if stood == 0 {
		t.Error("no edited document stood: nothing was tried")
	}
}
