// Package schema reads documents by tables: each row has a name, a type, a
// default and a check. Operators' configurations and our own props use it,
// and the docs are made from the same rows.
package schema

import (
	"fmt"
	"sort"
	"strings"
)

// Type is what a value must be.
type Type string

// The types of value.
const (
	Text     Type = "text"  // a string
	Count    Type = "count" // a whole number
	Number   Type = "share" // a number, fractions allowed
	Duration Type = "span"  // a duration in milliseconds, a whole number
	Flag     Type = "flag"  // true or false
	Addr     Type = "addr"  // IP number and port
	Addrs    Type = "addrs" // a list of addr
	Objects  Type = "rows"  // a list of objects
	Row      Type = "row"   // one object
)

// Field is one row of a table.
type Field struct {
	Name     string
	Type     Type
	Required bool
	Default  any
	Check    func(v any) error
	Rule     string // the check in words
	Help     string
}

// Table is the rows of one kind of object.
type Table struct {
	Name   string
	Fields []Field
}

// Problem is one thing wrong, with its place.
type Problem struct {
	Place   string `json:"place"`
	Message string `json:"wrong"`
}

// Values are the checked values of one object.
type Values map[string]any

// Text gives a string value.
func (v Values) Text(n string) string { s, _ := v[n].(string); return s }

// Count gives a whole number.
func (v Values) Count(n string) int64 { s, _ := v[n].(int64); return s }

// Number gives a number.
func (v Values) Number(n string) float64 { s, _ := v[n].(float64); return s }

// Flag gives a truth value.
func (v Values) Flag(n string) bool { s, _ := v[n].(bool); return s }

// Texts gives a list of strings.
func (v Values) Texts(n string) []string { s, _ := v[n].([]string); return s }

// Read checks one object by the table; every fault is named, an unknown name
// is one.
func (t Table) Read(in map[string]any, place string) (Values, []Problem) {
	out := make(Values, len(t.Fields))
	return out, t.Fill(out, in, place)
}

// Fill is Read into values that are used again for each row of a list.
func (t Table) Fill(out Values, in map[string]any, place string) []Problem {
	met, bad := t.known(out, in, place)
	// Only an object with more names than were met is searched for the odd.
	if met == len(in) {
		return bad
	}
	known := map[string]bool{}
	for _, s := range t.Fields {
		known[s.Name] = true
	}
	var odd []string
	for n := range in {
		if !known[n] {
			odd = append(odd, n)
		}
	}
	sort.Strings(odd)
	for _, n := range odd {
		bad = append(bad, Problem{join(place, n), "unknown setting"})
	}
	return bad
}

// ReadKnown checks what the table knows of an object and passes over the rest.
func (t Table) ReadKnown(in map[string]any, place string) (Values, []Problem) {
	out := make(Values, len(t.Fields))
	return out, t.FillKnown(out, in, place)
}

// FillKnown is ReadKnown into values that are used again.
func (t Table) FillKnown(out Values, in map[string]any, place string) []Problem {
	_, bad := t.known(out, in, place)
	return bad
}

// known reads the table's rows and counts those that the object has.
func (t Table) known(out Values, in map[string]any, place string) (met int, bad []Problem) {
	clear(out)
	for _, s := range t.Fields {
		raw, ok := in[s.Name]
		if !ok {
			if s.Required {
				bad = append(bad, Problem{join(place, s.Name), "missing"})
			} else if s.Default != nil {
				out[s.Name] = s.Default
			}
			continue
		}
		met++
		v, err := cast(s.Type, raw)
		if err == nil && s.Check != nil {
			err = s.Check(v)
		}
		if err != nil {
			bad = append(bad, Problem{join(place, s.Name), err.Error()})
			continue
		}
		out[s.Name] = v
	}
	return met, bad
}

func join(place, name string) string {
	if place == "" {
		return name
	}
	return place + "." + name
}

// Doc prints the table's rows for the docs.
func (t Table) Doc() string {
	var b strings.Builder
	b.WriteString("| setting | type | default | check | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, s := range t.Fields {
		def := "none"
		if s.Required {
			def = "required"
		} else if s.Default != nil {
			def = fmt.Sprintf("%v", s.Default)
		}
		if def == "" {
			def = "empty"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", s.Name, s.Type, def, s.Rule, s.Help)
	}
	return b.String()
}
