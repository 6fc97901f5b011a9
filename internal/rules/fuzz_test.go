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

// findInvalid checks a document independently of the tables and returns what must not be accepted,
// or "" when it finds nothing. It checks less than the tables do.
func findInvalid(doc []byte) string {
	type armFields struct {
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
	var document struct {
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
			armFields
			Name   string
			Host   *string
			Prefix string
			Trial  *armFields
		}
	}
	var raw any
	if err := json.Unmarshal(doc, &raw); err != nil {
		return "JSON: " + err.Error()
	}
	known, _ := json.Marshal(dropUnknownNames(raw))
	if err := json.Unmarshal(known, &document); err != nil {
		return "type: " + err.Error()
	}
	if document.Version == nil && (len(document.Services) == 0 || len(document.Paths) == 0) {
		return "empty list in an unnumbered document"
	}
	if document.Version != nil && *document.Version < 1 {
		return "version"
	}
	services, sum := map[string]bool{}, 0.0
	for _, service := range document.Services {
		if services[service.Name] || service.Name == "" || service.TLS || service.Links < 0 || service.Proto != nil && *service.Proto != "h1" || service.Health != nil && !strings.HasPrefix(*service.Health, "/") {
			return "service " + service.Name
		}
		services[service.Name] = true
	}
	classes := map[string]bool{}
	for _, class := range document.Classes {
		if classes[class.Name] || class.Share < 0 {
			return "class " + class.Name
		}
		classes[class.Name], sum = true, sum+class.Share
	}
	if len(classes) > 0 && math.Abs(sum-100) > 1e-5 {
		return "shares"
	}
	outside := func(n *float64, low, high float64) bool { return n != nil && (*n < low || *n > high) }
	checkArm := func(a armFields) string {
		if (a.Service == nil) == (a.Split == nil) || a.Service != nil && !services[*a.Service] {
			return "service or split"
		}
		if a.Split != nil {
			sum := 0.0
			for _, part := range *a.Split {
				if part.Weight < 0 || !services[part.Service] {
					return "part of a split"
				}
				sum += part.Weight
			}
			if sum <= 0 {
				return "weights"
			}
		}
		if len(classes) > 0 != (a.Class != nil) || a.Class != nil && !classes[*a.Class] {
			return "class"
		}
		if outside(a.Left, 1, 3600_000) || outside(a.Aim, 1, 3600_000) || outside(&a.Rank, 0, 1000) || outside(a.Tries, 1, 1000) {
			return "a bound"
		}
		if a.Repeat != nil && !slices.Contains([]string{"never", "safe", "upload", "download"}, *a.Repeat) {
			return "repeat"
		}
		return ""
	}
	names := map[string]bool{}
	for _, route := range document.Paths {
		if names[route.Name] || route.Host != nil && *route.Host == "" || !strings.HasPrefix(route.Prefix, "/") {
			return "path " + route.Name
		}
		names[route.Name] = true
		for _, a := range []*armFields{&route.armFields, route.Trial} {
			if a != nil {
				if reason := checkArm(*a); reason != "" {
					return route.Name + ": " + reason
				}
			}
		}
	}
	return ""
}

// dropUnknownNames removes names that no table can have. encoding/json would match them to fields
// without regard to their case.
func dropUnknownNames(value any) any {
	switch value := value.(type) {
	case map[string]any:
		for name, element := range value {
			if strings.Trim(name, "abcdefghijklmnopqrstuvwxyz_") != "" {
				delete(value, name)
				continue
			}
			value[name] = dropUnknownNames(element)
		}
	case []any:
		for i := range value {
			value[i] = dropUnknownNames(value[i])
		}
	}
	return value
}

// checkDocument checks the properties that hold for every document: it either compiles or has a
// problem, what compiles passes findInvalid, and its compiled form is consistent and the same after
// the document is written and compiled again.
func checkDocument(t *testing.T, doc []byte) {
	r, problems, err := Compile(3, doc)
	if r == nil {
		if err == nil && len(problems) == 0 {
			t.Fatalf("%s: neither compiled nor a problem reported", doc)
		}
		return
	}
	if err != nil || len(problems) > 0 {
		t.Fatalf("%s: compiled in spite of %v %v", doc, problems, err)
	}
	if reason := findInvalid(doc); reason != "" {
		t.Fatalf("%s: compiled, but is invalid: %s", doc, reason)
	}
	parsed, _, err := schema.Parse(doc)
	if err != nil {
		t.Fatal(err)
	}
	written, err := json.Marshal(parsed)
	if err != nil {
		t.Fatal(err)
	}
	for _, form := range [][]byte{r.Doc, written} {
		again, problems, err := Compile(3, form)
		if again == nil {
			t.Fatalf("%s: compiled before, but now %v %v", form, problems, err)
		}
		if !reflect.DeepEqual(again.Routes, r.Routes) || !reflect.DeepEqual(again.Shares, r.Shares) || again.DocumentNumber != r.DocumentNumber || !reflect.DeepEqual(again.JudgeLimits, r.JudgeLimits) {
			t.Fatalf("%s: compiled again, the rules differ", form)
		}
	}
	sum := 0.0
	for _, s := range r.Shares {
		sum += s
	}
	if len(r.Shares) > 0 && math.Abs(sum-100) > 1e-5 {
		t.Fatalf("%s: shares %v", doc, r.Shares)
	}
	for _, route := range r.Routes {
		for _, arm := range []*Arm{&route.Base, &route.New} {
			if arm == &route.New && route.Trial == 0 {
				continue
			}
			if _, ok := r.Shares[arm.Class]; !ok || arm.Timeout <= 0 || arm.Target <= 0 || arm.MaxAttempts < 1 {
				t.Fatalf("%s: arm %+v", doc, arm)
			}
			for i := range 8 {
				if service := arm.ServiceFor(fmt.Sprint(i)); !r.Services[service] || !arm.RoutesTo(service) {
					t.Fatalf("%s: a request goes to the service %q", doc, service)
				}
			}
		}
		for _, url := range []string{route.Prefix, strings.TrimSuffix(route.Prefix, "/"), route.Prefix + "/", route.Prefix + "/x", route.Prefix + "x"} {
			checkMatch(t, r, route.Host, route.Method, url)
		}
	}
}

// TestTokenSubstitutions replaces every token of two documents by every other.
func TestTokenSubstitutions(t *testing.T) {
	for _, doc := range []string{classesDocument, numberedDocument} {
		checkDocument(t, []byte(doc))
		tokens := strings.FieldsFunc(doc, func(r rune) bool { return strings.ContainsRune("{}[],:\n", r) })
		for _, from := range tokens {
			for _, to := range tokens {
				checkDocument(t, []byte(strings.Replace(doc, from, to, 1)))
			}
		}
	}
}

func FuzzCompile(f *testing.F) {
	f.Add([]byte(classesDocument))
	f.Add([]byte(numberedDocument))
	f.Add([]byte(strings.Replace(classesDocument, `"class":"x"}`, `"class":"x","trial":{"id":3,"slice":10,"service":"b","class":"y","left_ms":500,"repeat":"never","tries":1}}`, 1)))
	f.Fuzz(checkDocument)
}
