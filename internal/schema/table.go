// Package schema checks JSON objects against tables. Each row of a table has a name, a type, a
// default and a check. The operators' configuration and the settings of the processes use it, and
// their documentation is generated from the same tables.
package schema

import (
	"fmt"
	"sort"
	"strings"
)

// Type is the type of a value.
type Type string

// The types of values.
const (
	Text     Type = "text"
	Count    Type = "count" // whole number
	Number   Type = "share" // number, fractions allowed
	Duration Type = "span"  // duration in milliseconds, a whole number
	Flag     Type = "flag"
	Addr     Type = "addr"  // IP address and port
	Addrs    Type = "addrs" // list of addresses
	Objects  Type = "rows"  // list of objects
	Object   Type = "row"
)

// Field is one row of a table.
type Field struct {
	Name     string
	Type     Type
	Required bool
	Default  any
	Check    func(v any) error
	Rule     string // the check in words, for the documentation
	Help     string
}

// Table describes one kind of object.
type Table struct {
	Name   string
	Fields []Field
}

// Problem is an error in a document, with its place.
type Problem struct {
	Place   string `json:"place"`
	Message string `json:"wrong"`
}

// Values are the checked values of one object.
type Values map[string]any

// Text returns a string value.
func (v Values) Text(name string) string { s, _ := v[name].(string); return s }

// Count returns a whole number.
func (v Values) Count(name string) int64 { s, _ := v[name].(int64); return s }

// Number returns a number.
func (v Values) Number(name string) float64 { s, _ := v[name].(float64); return s }

// Flag returns a boolean.
func (v Values) Flag(name string) bool { s, _ := v[name].(bool); return s }

// Texts returns a list of strings.
func (v Values) Texts(name string) []string { s, _ := v[name].([]string); return s }

// Read checks an object against the table and reports every problem; an unknown name is one.
func (t Table) Read(object map[string]any, place string) (Values, []Problem) {
	values := make(Values, len(t.Fields))
	return values, t.ReadInto(values, object, place)
}

// ReadInto is Read into a map that the caller reuses for each row of a list.
func (t Table) ReadInto(values Values, object map[string]any, place string) []Problem {
	found, problems := t.readFields(values, object, place)
	// Unknown names are searched for only when the object has more names than the table matched.
	if found == len(object) {
		return problems
	}
	known := map[string]bool{}
	for _, field := range t.Fields {
		known[field.Name] = true
	}
	var unknown []string
	for name := range object {
		if !known[name] {
			unknown = append(unknown, name)
		}
	}
	sort.Strings(unknown)
	for _, name := range unknown {
		problems = append(problems, Problem{joinPlace(place, name), "unknown setting"})
	}
	return problems
}

// ReadKnown checks an object against the table and ignores unknown names.
func (t Table) ReadKnown(object map[string]any, place string) (Values, []Problem) {
	values := make(Values, len(t.Fields))
	return values, t.ReadKnownInto(values, object, place)
}

// ReadKnownInto is ReadKnown into a map that the caller reuses.
func (t Table) ReadKnownInto(values Values, object map[string]any, place string) []Problem {
	_, problems := t.readFields(values, object, place)
	return problems
}

// readFields reads the fields of the table and counts those that the object has.
func (t Table) readFields(values Values, object map[string]any, place string) (found int, problems []Problem) {
	clear(values)
	for _, field := range t.Fields {
		raw, ok := object[field.Name]
		if !ok {
			if field.Required {
				problems = append(problems, Problem{joinPlace(place, field.Name), "missing"})
			} else if field.Default != nil {
				values[field.Name] = field.Default
			}
			continue
		}
		found++
		value, err := convert(field.Type, raw)
		if err == nil && field.Check != nil {
			err = field.Check(value)
		}
		if err != nil {
			problems = append(problems, Problem{joinPlace(place, field.Name), err.Error()})
			continue
		}
		values[field.Name] = value
	}
	return found, problems
}

func joinPlace(place, name string) string {
	if place == "" {
		return name
	}
	return place + "." + name
}

// Doc formats the table for the generated documentation.
func (t Table) Doc() string {
	var b strings.Builder
	b.WriteString("| setting | type | default | check | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, field := range t.Fields {
		defaultText := "none"
		if field.Required {
			defaultText = "required"
		} else if field.Default != nil {
			defaultText = fmt.Sprintf("%v", field.Default)
		}
		if defaultText == "" {
			defaultText = "empty"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", field.Name, field.Type, defaultText, field.Rule, field.Help)
	}
	return b.String()
}
