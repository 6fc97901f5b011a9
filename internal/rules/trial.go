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

// parseRoutes opens a document and its paths.
func parseRoutes(doc []byte) (map[string]any, []map[string]any, error) {
	document, _, err := schema.Parse(doc)
	if err != nil {
		return nil, nil, fault.Wrap(fault.Input, err, "read document")
	}
	list, _ := document["paths"].([]any)
	var routes []map[string]any
	for _, element := range list {
		if route, ok := element.(map[string]any); ok {
			routes = append(routes, route)
		}
	}
	return document, routes, nil
}

// EffectiveValue gives a field of a path's arm, defaults included; nil when it has none.
func EffectiveValue(route map[string]any, field string) any {
	if value, ok := route[field]; ok {
		return value
	}
	if field == "aim_ms" {
		if timeout, ok := canonical(EffectiveValue(route, "left_ms")).(float64); ok {
			return timeout / 4
		}
	}
	for _, row := range RouteTable.Rows {
		if row.Name == field {
			return row.Default
		}
	}
	return nil
}

// canonical gives a value in one shape for each meaning: numbers as they may be
// written and as they come out of a table are the same.
func canonical(v any) any {
	switch v := v.(type) {
	case json.Number:
		number, _ := v.Float64()
		return number
	case int:
		return float64(v)
	case int64:
		return float64(v)
	case uint64:
		return float64(v)
	case []any:
		out := make([]any, len(v))
		for i := range v {
			out[i] = canonical(v[i])
		}
		return out
	case map[string]any:
		out := map[string]any{}
		for n, element := range v {
			out[n] = canonical(element)
		}
		return out
	}
	return v
}

func equalValues(a, b any) bool { return reflect.DeepEqual(canonical(a), canonical(b)) }

// matchKey is where a path stands: two with the same one can't both be there.
func matchKey(route map[string]any) [3]string {
	text := func(field string) string { value, _ := EffectiveValue(route, field).(string); return value }
	prefix := text("prefix")
	if prefix != "/" {
		prefix = strings.TrimRight(prefix, "/")
	}
	return [3]string{normalizeHost(text("host")), text("method"), prefix}
}

// copyField copies an arm's field; one that is left out is left out in the copy too,
// where it means the same.
func copyField(to, from map[string]any, field string) {
	if v, ok := from[field]; ok {
		to[field] = v
	} else if v := EffectiveValue(from, field); v != nil && field != "aim_ms" {
		to[field] = v
	} else {
		delete(to, field)
	}
}

// applyChange lays a change over a path: a service takes the place of a split and
// the other way round.
func applyChange(route, change map[string]any) map[string]any {
	arm := map[string]any{}
	for _, field := range ArmFields {
		copyField(arm, route, field)
	}
	if _, ok := change["service"]; ok {
		delete(arm, "split")
	}
	if _, ok := change["split"]; ok {
		delete(arm, "service")
	}
	for _, field := range ArmFields {
		if v, ok := change[field]; ok {
			arm[field] = v
		}
	}
	return arm
}

func equalArms(a, b map[string]any) bool {
	for _, field := range ArmFields {
		if !equalValues(EffectiveValue(a, field), EffectiveValue(b, field)) {
			return false
		}
	}
	return true
}

// StartTrial gives a document in which a path's other arm is tried on a slice.
func StartTrial(doc []byte, id uint64, routeName string, change map[string]any, slice float64) ([]byte, error) {
	document, routes, err := parseRoutes(doc)
	if err != nil {
		return nil, err
	}
	for _, route := range routes {
		if route["name"] != routeName {
			continue
		}
		trial := applyChange(route, change)
		trial["id"], trial["slice"] = id, slice
		route["trial"] = trial
		out, err := json.Marshal(document)
		return out, fault.Wrap(fault.Input, err, "write document")
	}
	return nil, fault.New(fault.Input, "no path %q", routeName)
}

// IsNoop tells whether a change would leave a path as it is.
func IsNoop(doc []byte, routeName string, change map[string]any) bool {
	_, routes, err := parseRoutes(doc)
	if err != nil {
		return false
	}
	for _, route := range routes {
		if route["name"] == routeName {
			return equalArms(route, applyChange(route, change))
		}
	}
	return false
}

// FinishTrial ends a trial in a document: its arm takes the place of the old one,
// or goes away.
func FinishTrial(doc []byte, id uint64, promote bool) ([]byte, error) {
	document, routes, err := parseRoutes(doc)
	if err != nil {
		return nil, err
	}
	for _, route := range routes {
		trial, ok := route["trial"].(map[string]any)
		if !ok || fmt.Sprint(trial["id"]) != fmt.Sprint(id) {
			continue
		}
		if promote {
			for _, field := range ArmFields {
				copyField(route, trial, field)
			}
		}
		delete(route, "trial")
	}
	out, err := json.Marshal(document)
	return out, fault.Wrap(fault.Input, err, "write document")
}

// PlanTrials compares a whole new document with the one in force: paths that
// carry traffic and go elsewhere keep their old arm, with the new one on
// trial. It names those paths; none means that the new document may stand as
// it is.
func PlanTrials(old, updated []byte, id uint64, hasTraffic func(string) bool) (doc []byte, routes []string, err error) {
	_, oldRoutes, err := parseRoutes(old)
	if err != nil {
		return nil, nil, err
	}
	document, newRoutes, err := parseRoutes(updated)
	if err != nil {
		return nil, nil, err
	}
	oldByName := map[any]map[string]any{}
	for _, route := range oldRoutes {
		oldByName[route["name"]] = route
	}
	slice := JudgeTable.Rows[0].Default
	if judge, ok := document["judge"].(map[string]any); ok && judge["slice"] != nil {
		slice = judge["slice"]
	}
	for _, route := range newRoutes {
		oldRoute := oldByName[route["name"]]
		name, _ := route["name"].(string)
		// One with another host, prefix or method is a wholly new path.
		if oldRoute == nil || !hasTraffic(name) || matchKey(oldRoute) != matchKey(route) || equalArms(oldRoute, route) {
			continue
		}
		trial := map[string]any{"id": id, "slice": slice}
		for _, field := range ArmFields {
			copyField(trial, route, field)
			copyField(route, oldRoute, field)
		}
		route["trial"] = trial
		routes = append(routes, name)
	}
	doc, err = json.Marshal(document)
	return doc, routes, fault.Wrap(fault.Input, err, "write document")
}
