package rules

import (
	"encoding/json"
	"fmt"
	"reflect"

	"puffincrank/internal/fault"
	"puffincrank/internal/schema"
)

// ArmFields are the fields in which the two arms of a trial may differ.
var ArmFields = []string{"service", "split", "class", "rank", "left_ms", "aim_ms", "repeat", "tries"}

// parseRoutes parses a document and returns it together with its routes.
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

// EffectiveValue returns a field of a route's arm, with defaults applied; nil when it has none.
func EffectiveValue(route map[string]any, field string) any {
	if value, ok := route[field]; ok {
		return value
	}
	if field == "aim_ms" {
		if timeout, ok := canonical(EffectiveValue(route, "left_ms")).(float64); ok {
			return timeout / 4
		}
	}
	for _, row := range RouteTable.Fields {
		if row.Name == field {
			return row.Default
		}
	}
	return nil
}

// canonical converts a value to a form in which equal values compare equal: numbers as written in
// JSON and numbers from a table's defaults both become float64.
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

// matchKey returns what a route matches. Two routes with the same key cannot be in one document.
func matchKey(route map[string]any) [3]string {
	text := func(field string) string { value, _ := EffectiveValue(route, field).(string); return value }
	return [3]string{normalizeHost(text("host")), text("method"), text("prefix")}
}

// copyField copies an arm's field. A field that is left out gets its default in the copy, if it has
// one. An aim_ms that is left out stays so, since its default follows from left_ms.
func copyField(to, from map[string]any, field string) {
	if v, ok := from[field]; ok {
		to[field] = v
	} else if v := EffectiveValue(from, field); v != nil && field != "aim_ms" {
		to[field] = v
	} else {
		delete(to, field)
	}
}

// applyChange returns the arm that results from a change: a service in the change replaces a split
// and the other way round.
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

// StartTrial returns the document with a trial of a change to a route, for a slice of its requests.
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

// IsNoop reports whether a change would leave a route as it is.
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

// FinishTrial returns the document without the trial. If it is promoted, its arm replaces the old
// one.
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

// PlanTrials compares a whole new document with the one in force. Routes that carry traffic and
// whose arm changes keep their old arm and get the new one as a trial. It returns the names of
// those routes; when there are none, the new document can be applied as it is.
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
	slice := JudgeTable.Fields[0].Default
	if judge, ok := document["judge"].(map[string]any); ok && judge["slice"] != nil {
		slice = judge["slice"]
	}
	for _, route := range newRoutes {
		oldRoute := oldByName[route["name"]]
		name, _ := route["name"].(string)
		// A route with another host, prefix or method counts as a new route.
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
