package ctl

import (
	"fmt"
	"strconv"
	"strings"

	"puffincrank/internal/rules"
)

// splits reads services with their weights.
func splits(s string) ([]map[string]any, error) {
	var out []map[string]any
	for _, part := range strings.Split(s, ",") {
		name, raw, _ := strings.Cut(strings.TrimSpace(part), "=")
		weight, err := strconv.ParseFloat(raw, 64)
		if err != nil || name == "" {
			return nil, fmt.Errorf("a split is written as a=90,b=10, not %q", s)
		}
		out = append(out, map[string]any{"service": name, "weight": weight})
	}
	return out, nil
}

// pathRow is a path in a table, with the defaults of what its document leaves
// out.
func pathRow(p map[string]any) []string {
	var row []string
	for _, n := range []string{"name", "host", "method", "prefix", "service", "class", "left_ms", "aim_ms", "repeat", "tries"} {
		v := rules.EffectiveValue(p, n)
		say := tell(v)
		switch {
		case n == "service" && v == nil:
			say = parts(p["split"])
		case n == "class" && v == nil:
			say = "rank-" + tell(rules.EffectiveValue(p, "rank"))
		case v == nil:
			say = "-"
		}
		row = append(row, say)
	}
	return row
}

func parts(v any) string {
	list, _ := v.([]any)
	var out []string
	for _, e := range list {
		m, _ := e.(map[string]any)
		out = append(out, tell(m["service"])+"="+tell(m["weight"]))
	}
	return strings.Join(out, ",")
}

// tell writes a value of a document; a large number is not 3.6e+06.
func tell(v any) string {
	if f, ok := v.(float64); ok {
		return strconv.FormatFloat(f, 'f', -1, 64)
	}
	return fmt.Sprint(v)
}
