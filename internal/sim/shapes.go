package sim

import (
	"strings"
	"time"

	"puffincrank/internal/standin"
)

// WithAlt adds an alternative to the first service, so that trials can move the first route
// to it.
func WithAlt(s Shape) Shape {
	original := s.Services[0]
	alt := original + "2"
	s.Services = append(append([]string(nil), s.Services...), alt)
	serviceTimes := map[string]time.Duration{alt: s.ServiceTimes[original]}
	for name, duration := range s.ServiceTimes {
		serviceTimes[name] = duration
	}
	s.ServiceTimes = serviceTimes
	s.Lines = append([]standin.CallKind(nil), s.Lines...)
	s.Config = strings.Replace(s.Config, `{"name":"`+original+`"}`, `{"name":"`+original+`"},{"name":"`+alt+`"},{"name":"nobody"}`, 1)
	s.Config = strings.TrimSuffix(s.Config, "}") + `,"judge":{"slice":20,"least_jobs":100,"least_ms":4000,"most_ms":60000}}`
	for i := range s.Lines {
		// Either service may answer these calls.
		if s.Lines[i].Service == original {
			s.Lines[i].Service = original + "/" + alt
		}
	}
	nested := map[string][]standin.CallKind{}
	for name, list := range s.Nested {
		for _, line := range list {
			if line.Service == original {
				line.Service = original + "/" + alt
			}
			nested[name] = append(nested[name], line)
		}
	}
	s.Nested = nested
	return s
}

// Fumettoteca is the shape of the first deployment; scale is the fraction of its call rate.
func Fumettoteca(scale float64) Shape {
	return Shape{Nodes: 12, Slots: 12, CrossZoneDelay: time.Millisecond, Services: []string{"pages", "lending", "scans"},
		ServiceTimes: map[string]time.Duration{"pages": 20 * time.Millisecond, "lending": 40 * time.Millisecond, "scans": 60 * time.Millisecond},
		Config: `{"services":[{"name":"pages"},{"name":"lending"},{"name":"scans"}],
"classes":[{"name":"reading","share":50},{"name":"desk","share":30},{"name":"upload","share":20}],
"paths":[{"name":"read","method":"GET","prefix":"/pages","service":"pages","class":"reading","left_ms":1000,"repeat":"safe"},
{"name":"lend","method":"POST","prefix":"/loans","service":"lending","class":"desk","left_ms":1000},
{"name":"scan","method":"POST","prefix":"/scans","service":"scans","class":"upload","left_ms":1000},
{"name":"credit","method":"POST","prefix":"/credits","service":"scans","class":"desk","left_ms":800},
{"name":"check","method":"POST","prefix":"/checks","service":"pages","class":"desk","left_ms":600},
{"name":"lookup","method":"GET","prefix":"/lookups","service":"pages","class":"upload","left_ms":600,"repeat":"safe"}]}`,
		Nested: map[string][]standin.CallKind{
			"lending": {{Method: "POST", URI: "/checks/loan", Service: "pages", Rate: 0.4, Size: 50}},
			"scans":   {{Method: "GET", URI: "/lookups/7", Service: "pages", Retryable: true, Rate: 0.4}}},
		Lines: []standin.CallKind{
			{Method: "GET", URI: "/pages/7?side=2", Service: "pages", Retryable: true, Rate: 450 * scale},
			{Method: "POST", URI: "/loans/new", Service: "lending", Rate: 250 * scale, Size: 200},
			{Method: "POST", URI: "/scans/up", Service: "scans", Rate: 120 * scale, Size: 8000},
			{Method: "POST", URI: "/credits", Service: "scans", Rate: 80 * scale, Size: 100}}}
}

// Ingenzi is the shape of the second deployment; scale is the fraction of its call rate.
func Ingenzi(scale float64) Shape {
	return Shape{Nodes: 14, Slots: 18, CrossZoneDelay: 1500 * time.Microsecond, Services: []string{"bookings", "boarding", "manifests", "seats"},
		ServiceTimes: map[string]time.Duration{"bookings": 120 * time.Millisecond, "boarding": 150 * time.Millisecond, "manifests": 200 * time.Millisecond, "seats": 400 * time.Millisecond},
		Config: `{"services":[{"name":"bookings"},{"name":"boarding"},{"name":"manifests"},{"name":"seats"}],
"classes":[{"name":"agents","share":40},{"name":"desks","share":40},{"name":"supervisors","share":20}],
"paths":[{"name":"search","method":"GET","prefix":"/bookings","service":"bookings","class":"agents","left_ms":4000,"repeat":"safe"},
{"name":"board","method":"POST","prefix":"/boarding","service":"boarding","class":"desks","left_ms":4000},
{"name":"manifest","method":"GET","prefix":"/manifests","service":"manifests","class":"supervisors","left_ms":4000,"repeat":"safe"},
{"name":"seatmap","method":"GET","prefix":"/seats","service":"seats","class":"agents","left_ms":12000,"repeat":"safe"},
{"name":"fares","method":"GET","prefix":"/fares","service":"manifests","class":"agents","left_ms":2000,"repeat":"safe"},
{"name":"templates","method":"POST","prefix":"/templates","service":"manifests","class":"desks","left_ms":2000},
{"name":"cabins","method":"GET","prefix":"/cabins","service":"bookings","class":"agents","left_ms":2000,"repeat":"safe"}]}`,
		Nested: map[string][]standin.CallKind{
			"bookings": {{Method: "GET", URI: "/fares/3", Service: "manifests", Retryable: true, Rate: 0.2}},
			"boarding": {{Method: "POST", URI: "/templates/pass", Service: "manifests", Rate: 0.3, Size: 60}},
			"seats":    {{Method: "GET", URI: "/cabins/12", Service: "bookings", Retryable: true, Rate: 0.5}}},
		Lines: []standin.CallKind{
			{Method: "GET", URI: "/bookings?q=x", Service: "bookings", Retryable: true, Rate: 220 * scale},
			{Method: "POST", URI: "/boarding/pass", Service: "boarding", Rate: 150 * scale, Size: 300},
			{Method: "GET", URI: "/manifests/12", Service: "manifests", Retryable: true, Rate: 40 * scale},
			{Method: "GET", URI: "/seats/12", Service: "seats", Retryable: true, Rate: 60 * scale}}}
}
