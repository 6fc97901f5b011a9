package rules

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"

	"puffincrank/internal/schema"
)

// forbidden reads a document with no table and tells what of it must not
// stand; empty when nothing is found. It knows less than the tables, but none
// of it from them.
func forbidden(doc []byte) string {
	type target struct {
		Service *string
		Split   *[]struct {
			Service string
			Weight  float64
		}
		Class  *string
		Left   *float64 `json:"left_ms"`
		Aim    *float64 `json:"aim_ms"`
		Rank   float64
		Tries  *float64
		Repeat *string
	}
	var in struct {
		Version  *float64
		Services []struct {
			Name   string
			Links  float64
			Proto  *string
			TLS    bool
			Health *string `json:"fitness"`
		}
		Classes []struct {
			Name  string
			Share float64
		}
		Paths []struct {
			target
			Name   string
			Host   *string
			Prefix string
			Trial  *target
		}
	}
	var raw any
	if err := json.Unmarshal(doc, &raw); err != nil {
		return "JSON: " + err.Error()
	}
	small, _ := json.Marshal(ours(raw))
	if err := json.Unmarshal(small, &in); err != nil {
		return "type: " + err.Error()
	}
	if in.Version == nil && (len(in.Services) == 0 || len(in.Paths) == 0) {
		return "empty without a number"
	}
	if in.Version != nil && *in.Version < 1 {
		return "version"
	}
	known, sum := map[string]bool{}, 0.0
	for _, s := range in.Services {
		if known[s.Name] || s.Name == "" || s.TLS || s.Links < 0 || s.Proto != nil && *s.Proto != "h1" || s.Health != nil && !strings.HasPrefix(*s.Health, "/") {
			return "service " + s.Name
		}
		known[s.Name] = true
	}
	classes := map[string]bool{}
	for _, c := range in.Classes {
		if classes[c.Name] || c.Share < 0 {
			return "class " + c.Name
		}
		classes[c.Name], sum = true, sum+c.Share
	}
	if len(classes) > 0 && math.Abs(sum-100) > 1e-5 {
		return "shares"
	}
	out := func(n *float64, low, high float64) bool { return n != nil && (*n < low || *n > high) }
	arm := func(a target) string {
		if (a.Service == nil) == (a.Split == nil) || a.Service != nil && !known[*a.Service] {
			return "service or split"
		}
		if a.Split != nil {
			sum := 0.0
			for _, p := range *a.Split {
				if p.Weight < 0 || !known[p.Service] {
					return "part of a split"
				}
				sum += p.Weight
			}
			if sum <= 0 {
				return "weights"
			}
		}
		if len(classes) > 0 != (a.Class != nil) || a.Class != nil && !classes[*a.Class] {
			return "class"
		}
		if out(a.Left, 1, 3600_000) || out(a.Aim, 1, 3600_000) || out(&a.Rank, 0, 1000) || out(a.Tries, 1, 1000) {
			return "a bound"
		}
		if a.Repeat != nil && !slices.Contains([]string{"never", "safe", "upload", "download"}, *a.Repeat) {
			return "repeat"
		}
		return ""
	}
	names := map[string]bool{}
	for _, p := range in.Paths {
		if names[p.Name] || p.Host != nil && *p.Host == "" || !strings.HasPrefix(p.Prefix, "/") {
			return "path " + p.Name
		}
		names[p.Name] = true
		for _, a := range []*target{&p.target, p.Trial} {
			if a != nil {
				if why := arm(*a); why != "" {
					return p.Name + ": " + why
				}
			}
		}
	}
	return ""
}

// ours leaves out names that none of ours is, as the library would take them
// for ours whatever their case.
func ours(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for n, e := range v {
			if strings.Trim(n, "abcdefghijklmnopqrstuvwxyz_") != "" {
				delete(v, n)
				continue
			}
			v[n] = ours(e)
		}
	case []any:
		for i := range v {
			v[i] = ours(v[i])
		}
	}
	return v
}

// sound checks what must hold of every document's compiled form.
func sound(t *testing.T, doc []byte) {
	r, bad, err := Compile(3, doc)
	if r == nil {
		if err == nil && len(bad) == 0 {
			t.Fatalf("%s: neither rules nor a fault", doc)
		}
		return
	}
	if err != nil || len(bad) > 0 {
		t.Fatalf("%s: rules, yet %v %v", doc, bad, err)
	}
	if why := forbidden(doc); why != "" {
		t.Fatalf("%s: stands, but has a wrong %s", doc, why)
	}
	m, _, err := schema.Parse(doc)
	if err != nil {
		t.Fatal(err)
	}
	written, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	for _, own := range [][]byte{r.Doc, written} {
		again, bad, err := Compile(3, own)
		if again == nil {
			t.Fatalf("%s: compiled once, then %v %v", own, bad, err)
		}
		if !reflect.DeepEqual(again.Routes, r.Routes) || !reflect.DeepEqual(again.Shares, r.Shares) || again.DocumentNumber != r.DocumentNumber || !reflect.DeepEqual(again.JudgeLimits, r.JudgeLimits) {
			t.Fatalf("%s: compiled again it means something else", own)
		}
	}
	sum := 0.0
	for _, s := range r.Shares {
		sum += s
	}
	if len(r.Shares) > 0 && math.Abs(sum-100) > 1e-5 {
		t.Fatalf("%s: shares %v", doc, r.Shares)
	}
	for _, p := range r.Routes {
		for _, a := range []*Arm{&p.Base, &p.New} {
			if a == &p.New && p.Trial == 0 {
				continue
			}
			if _, ok := r.Shares[a.Class]; !ok || a.Timeout <= 0 || a.Target <= 0 || a.MaxAttempts < 1 {
				t.Fatalf("%s: arm %+v", doc, a)
			}
			for i := range 8 {
				if to := a.ServiceFor(fmt.Sprint(i)); !r.Services[to] || !a.RoutesTo(to) {
					t.Fatalf("%s: a job goes to %q", doc, to)
				}
			}
		}
		for _, url := range []string{p.Prefix, p.Prefix + "/x", p.Prefix + "x"} {
			agrees(t, r, p.Host, p.Method, url)
		}
	}
}

// TestSound: every token of a document in the place of every other.
func TestSound(t *testing.T) {
	for _, doc := range []string{good, wide} {
		sound(t, []byte(doc))
		tokens := strings.FieldsFunc(doc, func(r rune) bool { return strings.ContainsRune("{}[],:\n", r) })
		for _, from := range tokens {
			for _, to := range tokens {
				sound(t, []byte(strings.Replace(doc, from, to, 1)))
			}
		}
	}
}

func FuzzCompile(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(wide))
	f.Add([]byte(strings.Replace(good, `"class":"x"}`, `"class":"x","trial":{"id":3,"slice":10,"service":"b","class":"y","left_ms":500,"repeat":"never","tries":1}}`, 1)))
	f.Fuzz(sound)
}
