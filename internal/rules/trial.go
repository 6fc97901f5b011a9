package rules

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"puffincrank/internal/fault"
	"puffincrank/internal/schema"
)

// ArmFields are what an arm of a trial may differ in.
var ArmFields = []string{"service", "split", "class", "rank", "left_ms", "aim_ms", "repeat", "tries"}

// rows opens a document and its paths.
func rows(doc []byte) (map[string]any, []map[string]any, error) {
	m, _, err := schema.Parse(doc)
	if err != nil {
		return nil, nil, fault.Wrap(fault.Input, err, "read document")
	}
	list, _ := m["paths"].([]any)
	var out []map[string]any
	for _, e := range list {
		if p, ok := e.(map[string]any); ok {
			out = append(out, p)
		}
	}
	return m, out, nil
}

// EffectiveValue gives a field of a path's arm, defaults included; nil when it has none.
func EffectiveValue(p map[string]any, field string) any {
	if v, ok := p[field]; ok {
		return v
	}
	if field == "aim_ms" {
		if left, ok := plainly(EffectiveValue(p, "left_ms")).(float64); ok {
			return left / 4
		}
	}
	for _, s := range RouteTable.Fields {
		if s.Name == field {
			return s.Default
		}
	}
	return nil
}

// plainly gives a value in one shape for each meaning: numbers as they may be
// written and as they come out of a table are the same.
func plainly(v any) any {
	switch v := v.(type) {
	case json.Number:
		f, _ := v.Float64()
		return f
	case int:
		return float64(v)
	case int64:
		return float64(v)
	case uint64:
		return float64(v)
	case []any:
		out := make([]any, len(v))
		for i := range v {
			out[i] = plainly(v[i])
		}
		return out
	case map[string]any:
		out := map[string]any{}
		for n, e := range v {
			out[n] = plainly(e)
		}
		return out
	}
	return v
}

func same(a, b any) bool { return reflect.DeepEqual(plainly(a), plainly(b)) }

// spotOf is where a path stands: two with the same one can't both be there.
func spotOf(p map[string]any) [3]string {
	text := func(n string) string { s, _ := EffectiveValue(p, n).(string); return s }
	at := text("prefix")
	if at != "/" {
		at = strings.TrimRight(at, "/")
	}
	return [3]string{bare(text("host")), text("method"), at}
}

// take copies an arm's field; one that is left out is left out in the copy too,
// where it means the same.
func take(to, from map[string]any, field string) {
	if v, ok := from[field]; ok {
		to[field] = v
	} else if v := EffectiveValue(from, field); v != nil && field != "aim_ms" {
		to[field] = v
	} else {
		delete(to, field)
	}
}

// changed lays a change over a path: a service takes the place of a split and
// the other way round.
func changed(p, change map[string]any) map[string]any {
	out := map[string]any{}
	for _, f := range ArmFields {
		take(out, p, f)
	}
	if _, ok := change["service"]; ok {
		delete(out, "split")
	}
	if _, ok := change["split"]; ok {
		delete(out, "service")
	}
	for _, f := range ArmFields {
		if v, ok := change[f]; ok {
			out[f] = v
		}
	}
	return out
}

func alike(a, b map[string]any) bool {
	for _, f := range ArmFields {
		if !same(EffectiveValue(a, f), EffectiveValue(b, f)) {
			return false
		}
	}
	return true
}

// StartTrial gives a document in which a path's other arm is tried on a slice.
func StartTrial(doc []byte, id uint64, path string, change map[string]any, slice float64) ([]byte, error) {
	m, paths, err := rows(doc)
	if err != nil {
		return nil, err
	}
	for _, p := range paths {
		if p["name"] != path {
			continue
		}
		t := changed(p, change)
		t["id"], t["slice"] = id, slice
		p["trial"] = t
		out, err := json.Marshal(m)
		return out, fault.Wrap(fault.Input, err, "write document")
	}
	return nil, fault.New(fault.Input, "no path %q", path)
}

// IsNoop tells whether a change would leave a path as it is.
func IsNoop(doc []byte, path string, change map[string]any) bool {
	_, paths, err := rows(doc)
	if err != nil {
		return false
	}
	for _, p := range paths {
		if p["name"] == path {
			return alike(p, changed(p, change))
		}
	}
	return false
}

// FinishTrial ends a trial in a document: its arm takes the place of the old one,
// or goes away.
func FinishTrial(doc []byte, id uint64, good bool) ([]byte, error) {
	m, paths, err := rows(doc)
	if err != nil {
		return nil, err
	}
	for _, p := range paths {
		t, ok := p["trial"].(map[string]any)
		if !ok || fmt.Sprint(t["id"]) != fmt.Sprint(id) {
			continue
		}
		if good {
			for _, f := range ArmFields {
				take(p, t, f)
			}
		}
		delete(p, "trial")
	}
	out, err := json.Marshal(m)
	return out, fault.Wrap(fault.Input, err, "write document")
}

// PlanTrials compares a whole new document with the one in force: paths that
// carry traffic and go elsewhere keep their old arm, with the new one on
// trial. It names those paths; none means that the new document may stand as
// it is.
func PlanTrials(old, now []byte, id uint64, live func(string) bool) (doc []byte, paths []string, err error) {
	_, was, err := rows(old)
	if err != nil {
		return nil, nil, err
	}
	m, list, err := rows(now)
	if err != nil {
		return nil, nil, err
	}
	before := map[any]map[string]any{}
	for _, p := range was {
		before[p["name"]] = p
	}
	slice := JudgeTable.Fields[0].Default
	if j, ok := m["judge"].(map[string]any); ok && j["slice"] != nil {
		slice = j["slice"]
	}
	for _, p := range list {
		o := before[p["name"]]
		name, _ := p["name"].(string)
		// One with another host, prefix or method is a wholly new path.
		if o == nil || !live(name) || spotOf(o) != spotOf(p) || alike(o, p) {
			continue
		}
		t := map[string]any{"id": id, "slice": slice}
		for _, f := range ArmFields {
			take(t, p, f)
			take(p, o, f)
		}
		p["trial"] = t
		paths = append(paths, name)
	}
	doc, err = json.Marshal(m)
	return doc, paths, fault.Wrap(fault.Input, err, "write document")
}
