package actors

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"puffincrank/internal/standin/checker"
)

// RouteDraft is one route of a draft.
type RouteDraft struct {
	Name, Host, Prefix     string
	RetryMode              string // never, safe, upload or download
	Split                  map[string]int
	Timeout, TargetLatency time.Duration
	MaxAttempts, Priority  int
}

// Draft is an operator's configuration document before it is sent.
type Draft struct {
	Number     uint64
	Services   []string
	Routes     []RouteDraft
	MaxConns   int
	HealthPath string
}

// Copy returns a copy with its own routes.
func (d *Draft) Copy() *Draft {
	copied := *d
	copied.Routes = append([]RouteDraft(nil), d.Routes...)
	for i := range copied.Routes {
		split := map[string]int{}
		for s, n := range copied.Routes[i].Split {
			split[s] = n
		}
		copied.Routes[i].Split = split
	}
	return &copied
}

// JSON returns the document as it is sent.
func (d *Draft) JSON() string {
	services, routes := []map[string]any{}, []map[string]any{}
	for _, s := range d.Services {
		services = append(services, map[string]any{"name": s, "fitness": d.HealthPath, "links": d.MaxConns, "proto": "h1", "tls": false})
	}
	for _, w := range d.Routes {
		route := map[string]any{"name": w.Name, "host": w.Host, "prefix": w.Prefix, "repeat": w.RetryMode, "left_ms": w.Timeout.Milliseconds(), "aim_ms": w.TargetLatency.Milliseconds(), "tries": w.MaxAttempts, "rank": w.Priority}
		if len(w.Split) == 1 {
			for s := range w.Split {
				route["service"] = s
			}
		} else {
			split := []map[string]any{}
			for _, s := range d.Services {
				if n, ok := w.Split[s]; ok {
					split = append(split, map[string]any{"service": s, "weight": n})
				}
			}
			route["split"] = split
		}
		routes = append(routes, route)
	}
	raw, _ := json.Marshal(map[string]any{"version": d.Number, "services": services, "paths": routes,
		"limits": map[string]any{"head_bytes": 16384, "body_bytes": 67108864, "head_ms": 3000, "idle_ms": 15000}})
	return string(raw)
}

// Document returns the draft in the form that the checker records.
func (d *Draft) Document() *checker.Document {
	document := &checker.Document{Number: d.Number, Raw: d.JSON()}
	for _, w := range d.Routes {
		document.Routes = append(document.Routes, checker.RouteSpec{Name: w.Name, Host: w.Host, Prefix: w.Prefix, Retryable: retryable(w.RetryMode), Weights: w.Split, Timeout: w.Timeout, MaxAttempts: w.MaxAttempts})
	}
	return document
}

// InvalidDocuments lists the kinds of invalid documents. Of returns an invalid variant of a draft.
var InvalidDocuments = []struct {
	Name string
	Of   func(d *Draft) string
}{
	{"cut short", func(d *Draft) string { s := d.JSON(); return s[:len(s)*2/3] }},
	{"unknown service", func(d *Draft) string {
		c := d.Copy()
		c.Routes[0].Split = map[string]int{"nobody-knows": 1}
		return c.JSON()
	}},
	{"unknown service in a split", func(d *Draft) string {
		c := d.Copy()
		c.Routes[0].Split = map[string]int{c.Services[0]: 2, "nobody-knows": 1}
		c.Services = append(append([]string(nil), c.Services...), "nobody-knows")
		raw := c.JSON()
		// Remove the service from the list of services, so that only the split names it.
		at := strings.Index(raw, `"services":`)
		head, tail := raw[:at], raw[at:]
		var list struct {
			Services []map[string]any `json:"services"`
		}
		_ = json.Unmarshal([]byte("{"+tail), &list)
		short, _ := json.Marshal(list.Services[:len(list.Services)-1])
		end := strings.Index(tail, `],"version"`)
		return head + `"services":` + string(short) + tail[end+1:]
	}},
	{"zero tries", func(d *Draft) string { c := d.Copy(); c.Routes[0].MaxAttempts = 0; return c.JSON() }},
	{"weight below zero", func(d *Draft) string {
		c := d.Copy()
		c.Routes[0].Split = map[string]int{c.Services[0]: 3, c.Services[1]: -1}
		return c.JSON()
	}},
	{"empty host", func(d *Draft) string { c := d.Copy(); c.Routes[0].Host = ""; return c.JSON() }},
	{"one place twice", func(d *Draft) string {
		c := d.Copy()
		w := c.Routes[0]
		w.Name += "-again"
		c.Routes = append(c.Routes, w)
		return c.JSON()
	}},
}

// sameDocument reports whether two texts are the same JSON document, field for field.
func sameDocument(first, second string) bool {
	var firstValue, secondValue any
	if json.Unmarshal([]byte(first), &firstValue) != nil || json.Unmarshal([]byte(second), &secondValue) != nil {
		return false
	}
	return fmt.Sprint(firstValue) == fmt.Sprint(secondValue)
}
