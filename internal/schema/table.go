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
	Text   Type = "text"  // a string
	Count  Type = "count" // a whole number
	Share  Type = "share" // a number, fractions allowed
	Span   Type = "span"  // a duration in milliseconds, a whole number
	Flag   Type = "flag"  // true or false
	Addr   Type = "addr"  // IP number and port
	Addrs  Type = "addrs" // a list of addr
	Rows   Type = "rows"  // a list of objects
	Object Type = "row"   // one object
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
	Name string
	Rows []Field
}

// Problem is one thing wrong, with its place.
type Problem struct {
	Place   string `json:"place"`
	Message string `json:"wrong"`
}

// Values are the checked values of one object.
type Values map[string]any

// Text gives a string value.
func (v Values) Text(name string) string { s, _ := v[name].(string); return s }

// Count gives a whole number.
func (v Values) Count(name string) int64 { s, _ := v[name].(int64); return s }

// Share gives a number.
func (v Values) Share(name string) float64 { s, _ := v[name].(float64); return s }

// Flag gives a truth value.
func (v Values) Flag(name string) bool { s, _ := v[name].(bool); return s }

// Texts gives a list of strings.
func (v Values) Texts(name string) []string { s, _ := v[name].([]string); return s }

// Read checks one object by the table; every fault is named, an unknown name
// is one.
func (t Table) Read(object map[string]any, place string) (Values, []Problem) {
	values := make(Values, len(t.Rows))
	return values, t.ReadInto(values, object, place)
}

// ReadInto is Read into values that are used again for each row of a list.
func (t Table) ReadInto(values Values, object map[string]any, place string) []Problem {
	found, problems := t.readFields(values, object, place)
	// Only an object with more names than were met is searched for the odd.
	if found == len(object) {
		return problems
	}
	known := map[string]bool{}
	for _, field := range t.Rows {
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

// ReadKnown checks what the table knows of an object and passes over the rest.
func (t Table) ReadKnown(object map[string]any, place string) (Values, []Problem) {
	values := make(Values, len(t.Rows))
	return values, t.ReadKnownInto(values, object, place)
}

// ReadKnownInto is ReadKnown into values that are used again.
func (t Table) ReadKnownInto(values Values, object map[string]any, place string) []Problem {
	_, problems := t.readFields(values, object, place)
	return problems
}

// readFields reads the table's rows and counts those that the object has.
func (t Table) readFields(values Values, object map[string]any, place string) (found int, problems []Problem) {
	clear(values)
	for _, field := range t.Rows {
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

// Doc prints the table's rows for the docs.
func (t Table) Doc() string {
	var b strings.Builder
	b.WriteString("| setting | type | default | check | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, field := range t.Rows {
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
