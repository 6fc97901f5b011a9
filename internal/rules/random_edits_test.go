package rules

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"puffincrank/internal/schema"
)

// tableObject is an object of a document, with its table.
type tableObject struct {
	values map[string]any
	table  schema.Table
}

// objects returns all objects of a document for which there is a table, in a fixed order.
func objects(value any, table schema.Table) (all []tableObject) {
	switch value := value.(type) {
	case map[string]any:
		all = append(all, tableObject{value, table})
		for _, name := range slices.Sorted(maps.Keys(value)) {
			for _, other := range Tables {
				if other.Name == name {
					all = append(all, objects(value[name], other)...)
				}
			}
		}
	case []any:
		for _, element := range value {
			all = append(all, objects(element, table)...)
		}
	}
	return all
}

// candidateValues returns values for a setting: valid ones, invalid ones and those of other
// settings.
func candidateValues(field schema.Field) []any {
	weighted := func(name string, weight any) any { return map[string]any{"service": name, "weight": weight} }
	candidates := []any{nil, "", "a", "b", "x", "nobody", 0, 1, -1, 1.5, 100, 1000, 1001, 1e12, true, false, []any{}, map[string]any{}}
	switch field.Name {
	case "host":
		candidates = append(candidates, "one.example", "ONE.example:1", "[::1]:80", ":80", "a b")
	case "prefix", "fitness":
		candidates = append(candidates, "/", "/p", "/p/", "/deep", "//", "/puffin/x", "/a b")
	case "repeat":
		candidates = append(candidates, "safe", "never", "upload", "download")
	case "proto":
		candidates = append(candidates, "h1", "h2")
	case "split":
		candidates = append(candidates, []any{weighted("a", 1)}, []any{weighted("a", 0)}, []any{weighted("a", 0), weighted("b", 2.5)}, []any{weighted("nobody", 1)}, []any{weighted("a", -1), weighted("b", 2)})
	case "classes":
		class := func(name string, share any) any { return map[string]any{"name": name, "share": share} }
		candidates = append(candidates, []any{class("x", 100)}, []any{class("x", 60), class("x", 40)}, []any{class("x", 60), class("y", 50)}, []any{class("x", -1), class("y", 101)})
	case "trial":
		candidates = append(candidates, map[string]any{"id": 3, "slice": 10, "service": "b", "class": "x", "left_ms": 500, "repeat": "safe", "tries": 2},
			map[string]any{"id": 3, "slice": 10, "split": []any{weighted("b", 1)}, "rank": 4, "left_ms": 500, "repeat": "safe", "tries": 2})
	}
	return candidates
}

// checkManyTimes runs a property five times with -short, so that it sees as many documents as
// without. With fewer, too few of them may be valid for the check to mean anything, and one takes
// less than a millisecond.
func checkManyTimes(t *testing.T, property func(*rapid.T)) {
	rounds := 1
	if testing.Short() {
		rounds = 5
	}
	for range rounds {
		rapid.Check(t, property)
	}
}

// TestRandomEdits checks whole documents with a few settings added, changed or removed.
func TestRandomEdits(t *testing.T) {
	var allFields []schema.Field
	for _, table := range Tables {
		allFields = append(allFields, table.Fields...)
	}
	valid := 0
	checkManyTimes(t, func(rt *rapid.T) {
		var document map[string]any
		doc := rapid.SampledFrom([]string{classesDocument, numberedDocument}).Draw(rt, "doc")
		if err := json.Unmarshal([]byte(doc), &document); err != nil {
			rt.Fatal(err)
		}
		for range rapid.IntRange(1, 3).Draw(rt, "edits") {
			target := rapid.SampledFrom(objects(document, DocumentTable)).Draw(rt, "object")
			values, field := target.values, rapid.SampledFrom(target.table.Fields).Draw(rt, "setting")
			// One edit in ten uses a setting of another table.
			if rapid.IntRange(0, 9).Draw(rt, "odd") == 0 {
				field = rapid.SampledFrom(allFields).Draw(rt, "other")
			}
			if rapid.IntRange(0, 3).Draw(rt, "drop") == 0 {
				delete(values, field.Name)
			} else {
				values[field.Name] = rapid.SampledFrom(candidateValues(field)).Draw(rt, "value")
			}
		}
		raw, err := json.Marshal(document)
		if err != nil {
			rt.Fatal(err)
		}
		if r, _, _ := Compile(1, raw); r != nil {
			valid++
		}
		checkDocument(t, raw)
	})
	t.Logf("%d edited documents were valid", valid)
	if valid == 0 {
		t.Error("no edited document was valid, so nothing was checked")
	}
}
