package actors

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"puffincrank/internal/standin/checker"
)

// Way is one route of a draft.
type Way struct {
	Name, Host, Prefix string
	Repeat             string // never, safe, upload or download
	Split              map[string]int
	Left, Aim          time.Duration
	Tries, Rank        int
}

// Draft is an operator's configuration document before it is sent.
type Draft struct {
	Number   uint64
	Services []string
	Ways     []Way
	Links    int
	Fitness  string
}

// Copy returns a copy with its own routes.
func (d *Draft) Copy() *Draft {
	copied := *d
	copied.Ways = append([]Way(nil), d.Ways...)
	for i := range copied.Ways {
		split := map[string]int{}
		for s, n := range copied.Ways[i].Split {
			split[s] = n
		}
		copied.Ways[i].Split = split
	}
	return &copied
}

// JSON returns the document as it is sent.
func (d *Draft) JSON() string {
	services, routes := []map[string]any{}, []map[string]any{}
	for _, s := range d.Services {
		services = append(services, map[string]any{"name": s, "fitness": d.Fitness, "links": d.Links, "proto": "h1", "tls": false})
	}
	for _, w := range d.Ways {
		route := map[string]any{"name": w.Name, "host": w.Host, "prefix": w.Prefix, "repeat": w.Repeat, "left_ms": w.Left.Milliseconds(), "aim_ms": w.Aim.Milliseconds(), "tries": w.Tries, "rank": w.Rank}
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
	for _, w := range d.Ways {
		document.Routes = append(document.Routes, checker.RouteSpec{Name: w.Name, Host: w.Host, Prefix: w.Prefix, Retryable: w.Repeat == "safe" || w.Repeat == "download", Weights: w.Split, Timeout: w.Left, MaxAttempts: w.Tries})
	}
	return document
}

// Breaks lists the kinds of invalid documents. Of returns an invalid variant of a draft.
var Breaks = []struct {
	Name string
	Of   func(d *Draft) string
}{
	{"cut short", func(d *Draft) string { s := d.JSON(); return s[:len(s)*2/3] }},
	{"unknown service", func(d *Draft) string {
		c := d.Copy()
		c.Ways[0].Split = map[string]int{"nobody-knows": 1}
		return c.JSON()
	}},
	{"unknown service in a split", func(d *Draft) string {
		c := d.Copy()
		c.Ways[0].Split = map[string]int{c.Services[0]: 2, "nobody-knows": 1}
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
	{"zero tries", func(d *Draft) string { c := d.Copy(); c.Ways[0].Tries = 0; return c.JSON() }},
	{"weight below zero", func(d *Draft) string {
		c := d.Copy()
		c.Ways[0].Split = map[string]int{c.Services[0]: 3, c.Services[1]: -1}
		return c.JSON()
	}},
	{"empty host", func(d *Draft) string { c := d.Copy(); c.Ways[0].Host = ""; return c.JSON() }},
	{"one place twice", func(d *Draft) string {
		c := d.Copy()
		w := c.Ways[0]
		w.Name += "-again"
		c.Ways = append(c.Ways, w)
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
