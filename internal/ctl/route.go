package ctl

import (
	"fmt"
	"strconv"
	"strings"

	"puffincrank/internal/rules"
)

// parseSplit parses a list of services with their weights, such as a=90,b=10.
func parseSplit(s string) ([]map[string]any, error) {
	var parts []map[string]any
	for _, part := range strings.Split(s, ",") {
		name, raw, _ := strings.Cut(strings.TrimSpace(part), "=")
		weight, err := strconv.ParseFloat(raw, 64)
		if err != nil || name == "" {
			return nil, fmt.Errorf("a split is written as a=90,b=10, not %q", s)
		}
		parts = append(parts, map[string]any{"service": name, "weight": weight})
	}
	return parts, nil
}

// routeRow returns the cells of a route in a table. Fields that the document omits show
// their defaults.
func routeRow(route map[string]any) []string {
	var row []string
	for _, field := range []string{"name", "host", "method", "prefix", "service", "class", "left_ms", "aim_ms", "repeat", "tries"} {
		value := rules.EffectiveValue(route, field)
		cell := formatValue(value)
		switch {
		case field == "service" && value == nil:
			cell = formatSplit(route["split"])
		case field == "class" && value == nil:
			cell = "rank-" + formatValue(rules.EffectiveValue(route, "rank"))
		case value == nil:
			cell = "-"
		}
		row = append(row, cell)
	}
	return row
}

func formatSplit(v any) string {
	list, _ := v.([]any)
	var formatted []string
	for _, item := range list {
		part, _ := item.(map[string]any)
		formatted = append(formatted, formatValue(part["service"])+"="+formatValue(part["weight"]))
	}
	return strings.Join(formatted, ",")
}

// formatValue formats a value of a document; large numbers have no exponent.
func formatValue(v any) string {
	if f, ok := v.(float64); ok {
		return strconv.FormatFloat(f, 'f', -1, 64)
	}
	return fmt.Sprint(v)
}
