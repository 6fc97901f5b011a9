package rules

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"puffincrank/internal/schema"
)

func (r *Rules) compileRoutes(document schema.Values) []schema.Problem {
	_, numbered := document["version"]
	r.reuseInvalid = r.previous != nil && (r.derivesClasses != r.previous.derivesClasses || numbered != (r.previous.DocumentNumber > 0) || !r.derivesClasses && !maps.Equal(r.Shares, r.previous.Shares))
	list, _ := document["paths"].([]any)
	r.Routes = make([]*Route, 0, len(list))
	return r.readRows(document, "paths", RouteTable, func(place string, values schema.Values) (any, []schema.Problem) {
		route := &Route{Name: values.Text("name"), Host: normalizeHost(values.Text("host")), Method: values.Text("method"), Prefix: values.Text("prefix")}
		var problems []schema.Problem
		route.Base, problems = r.compileArm(place, "old", values)
		if trial, ok := values["trial"].(map[string]any); ok {
			trialValues, found := r.readObject(TrialTable, trial, place+".trial")
			problems = append(problems, found...)
			route.Trial, route.Slice = uint64(trialValues.Count("id")), trialValues.Number("slice")
			route.New, found = r.compileArm(place+".trial", "new", trialValues)
			problems = append(problems, found...)
		}
		return route, problems
	}, func(compiled any) (problems []string) {
		route := compiled.(*Route)
		r.reuseInvalid = r.reuseInvalid || r.previous != nil && !r.servicesExist(route)
		nameTaken := route.Name != "" && r.routesByName[route.Name] != nil
		r.routesByName[route.Name] = route
		replaced := r.addRoute(route)
		r.Routes = append(r.Routes, route)
		r.LongestTimeout = max(r.LongestTimeout, route.Base.Timeout, route.New.Timeout)
		if nameTaken {
			problems = append(problems, fmt.Sprintf("name path %q is there twice", route.Name))
		}
		if replaced != nil && route.Prefix != "" {
			problems = append(problems, fmt.Sprintf("prefix path %q matches the same", replaced.Name))
		}
		return problems
	})
}

// servicesExist reports whether all services that a route names exist.
func (r *Rules) servicesExist(route *Route) bool {
	for _, arm := range []*Arm{&route.Base, &route.New} {
		if arm.Service != "" && !r.Services[arm.Service] || slices.ContainsFunc(arm.Split, func(part WeightedService) bool { return !r.Services[part.Service] }) {
			return false
		}
	}
	return true
}

// addRoute enters a route and returns the one that it replaced, if any.
func (r *Rules) addRoute(route *Route) *Route {
	if r.routesByHost[route.Host] == nil {
		r.routesByHost[route.Host] = hostRoutes{}
	}
	byMethod := r.routesByHost[route.Host]
	if byMethod[route.Method] == nil {
		size := 0
		if r.previous != nil {
			size = len(r.previous.routesByHost[route.Host][route.Method])
		}
		byMethod[route.Method] = make(map[string]routePair, size)
	}
	key, hasSlash := strings.CutSuffix(route.Prefix, "/")
	pair := byMethod[route.Method][key]
	entered := &pair.bare
	if hasSlash {
		entered = &pair.below
	}
	replaced := *entered
	*entered = route
	byMethod[route.Method][key] = pair
	return replaced
}

// Recompile compiles a document like Compile, but reuses the rows that are unchanged since the previous
// version. The result is the same.
func Recompile(previous *Rules, version uint64, doc []byte) (*Rules, []schema.Problem, error) {
	if previous == nil {
		return Compile(version, doc)
	}
	compiled, problems, err := compile(previous, version, doc)
	// Problems are always reported by a full compilation, so that they do not depend on the
	// previous version.
	if err != nil || len(problems) > 0 || compiled.reuseInvalid {
		return Compile(version, doc)
	}
	return compiled, nil, nil
}
