package rules

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"puffincrank/internal/schema"
)

func (r *Rules) paths(top schema.Values) []schema.Problem {
	_, numbered := top["version"]
	r.strange = r.old != nil && (r.ranked != r.old.ranked || numbered != (r.old.DocumentNumber > 0) || !r.ranked && !maps.Equal(r.Shares, r.old.Shares))
	list, _ := top["paths"].([]any)
	r.Routes = make([]*Route, 0, len(list))
	return r.each(top, "paths", RouteTable, func(at string, v schema.Values) (any, []schema.Problem) {
		p := &Route{Name: v.Text("name"), Host: bare(v.Text("host")), Method: v.Text("method"), Prefix: v.Text("prefix")}
		var bad []schema.Problem
		p.Base, bad = r.arm(at, "old", v)
		if t, ok := v["trial"].(map[string]any); ok {
			tv, more := r.read(TrialTable, t, at+".trial")
			bad = append(bad, more...)
			p.Trial, p.Slice = uint64(tv.Count("id")), tv.Number("slice")
			p.New, more = r.arm(at+".trial", "new", tv)
			bad = append(bad, more...)
		}
		if p.Prefix != "/" {
			p.Prefix = strings.TrimRight(p.Prefix, "/")
		}
		return p, bad
	}, func(made any) (wrong []string) {
		p := made.(*Route)
		r.strange = r.strange || r.old != nil && !r.serves(p)
		twice := p.Name != "" && r.names[p.Name] != nil
		r.names[p.Name] = p
		old := r.put(p)
		r.Routes = append(r.Routes, p)
		r.LongestTimeout = max(r.LongestTimeout, p.Base.Timeout, p.New.Timeout)
		if twice {
			wrong = append(wrong, fmt.Sprintf("name path %q is there twice", p.Name))
		}
		if old != nil && p.Prefix != "" {
			wrong = append(wrong, fmt.Sprintf("prefix path %q matches the same", old.Name))
		}
		return wrong
	})
}

// serves tells whether the services that a path names are all there.
func (r *Rules) serves(p *Route) bool {
	for _, a := range []*Arm{&p.Base, &p.New} {
		if a.Service != "" && !r.Services[a.Service] || slices.ContainsFunc(a.Split, func(s WeightedService) bool { return !r.Services[s.Service] }) {
			return false
		}
	}
	return true
}

// put enters a path at its place and gives what stood there.
func (r *Rules) put(p *Route) *Route {
	if r.by[p.Host] == nil {
		r.by[p.Host] = place{}
	}
	at := r.by[p.Host]
	if at[p.Method] == nil {
		room := 0
		if r.old != nil {
			room = len(r.old.by[p.Host][p.Method])
		}
		at[p.Method] = make(map[string]*Route, room)
	}
	old := at[p.Method][p.Prefix]
	at[p.Method][p.Prefix] = p
	return old
}

// Recompile is Compile for one who holds an earlier document compiled: rows that
// stand there as they stood are not read again. What comes out is the same.
func Recompile(old *Rules, version uint64, doc []byte) (*Rules, []schema.Problem, error) {
	if old == nil {
		return Compile(version, doc)
	}
	r, bad, err := compile(old, version, doc)
	// Faults are named by reading the whole, as they are elsewhere.
	if err != nil || len(bad) > 0 || r.strange {
		return Compile(version, doc)
	}
	return r, nil, nil
}
