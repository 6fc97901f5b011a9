package rules

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"puffincrank/internal/schema"
)

// MaxDocumentBytes bounds a document's size.
const MaxDocumentBytes = 4 << 20

// Route is one compiled path.
type Route struct {
	Name   string
	Host   string // without port and in small letters; empty for any
	Method string
	Prefix string
	Base   Arm
	Trial  uint64 // 0 when none runs
	Slice  float64
	New    Arm
}

// Step is one operation of the interpreter.
type Step uint8

// The steps of a job, in the order in which a path runs them.
const (
	StepPick Step = iota
	StepDeliver
	StepEvaluate
	StepRespond
)

// Rules is one compiled version.
type Rules struct {
	Version        uint64
	DocumentNumber uint64 // the operator's own; 0 when the document has none
	Doc            []byte
	Services       map[string]bool
	MaxConns       map[string]int    // bound on a worker's connections by service, where one is told
	HealthPaths    map[string]string // the URL path of a service's health, where one is told
	Shares         map[string]float64
	Classes        []string
	Routes         []*Route
	by             map[string]place // by host; "" is any
	names          map[string]*Route
	RetryRatio     float64
	RetryAllowance int64
	QueueRatio     float64
	MaxHeaderBytes int           // bound on a caller's header
	MaxBodyBytes   int           // bound on a caller's body; 0: the prop's
	HeaderTimeout  time.Duration // time to read a header; 0: by props
	IdleTimeout    time.Duration // time before an idle connection is closed; 0: by props
	JudgeLimits    schema.Values
	LongestTimeout time.Duration
	fill           func(schema.Table, schema.Values, map[string]any, string) []schema.Problem
	short          map[int]time.Duration // by rank, the least aim of what isn't bulk
	lanes          map[haste]int
	ranked         bool // classes come from the ranks
	rows           map[string][]schema.ParsedRow
	raw            map[string][]string
	old            *Rules // while this is made: those that rows are taken from
	strange        bool   // while this is made: a row kept means something else now
}

// Compile reads a document; every fault is named with its place.
func Compile(version uint64, doc []byte) (*Rules, []schema.Problem, error) {
	r, bad, err := compile(nil, version, doc)
	if err != nil || len(bad) > 0 {
		return nil, bad, err
	}
	return r, nil, nil
}

func compile(old *Rules, version uint64, doc []byte) (*Rules, []schema.Problem, error) {
	var kept map[string][]schema.ParsedRow
	if old != nil {
		kept = old.rows
	}
	in, raw, bad, err := schema.ParseRows(doc, kept)
	if err != nil {
		return nil, nil, err
	}
	r := &Rules{Version: version, Doc: doc, Services: make(map[string]bool, len(raw["services"])), MaxConns: map[string]int{}, HealthPaths: map[string]string{},
		Shares: map[string]float64{}, by: map[string]place{}, names: make(map[string]*Route, len(raw["paths"])), fill: schema.Table.Fill,
		old: old, raw: raw, rows: map[string][]schema.ParsedRow{}}
	// Documents with a number of their own are written by programs that may be
	// newer than this one: what they say besides is not for us.
	if _, ok := in["version"]; ok {
		r.fill = schema.Table.FillKnown
	}
	_, classes := in["classes"]
	r.ranked = !classes
	top, more := r.read(DocumentTable, in, "")
	bad = append(bad, more...)
	r.DocumentNumber = uint64(top.Count("version"))
	bad = append(bad, r.services(top)...)
	bad = append(bad, r.classes(top)...)
	bad = append(bad, r.paths(top)...)
	if r.ranked {
		r.ranks()
	}
	r.hurry()
	lim, _ := top["limits"].(map[string]any)
	v, more := r.read(LimitsTable, lim, "limits")
	bad = append(bad, more...)
	r.RetryRatio, r.RetryAllowance, r.QueueRatio = v.Number("repeat_share"), v.Count("repeat_allowance"), v.Number("queue_share")
	r.MaxHeaderBytes, r.MaxBodyBytes = int(v.Count("head_bytes")), int(v.Count("body_bytes"))
	r.HeaderTimeout, r.IdleTimeout = time.Duration(v.Count("head_ms"))*time.Millisecond, time.Duration(v.Count("idle_ms"))*time.Millisecond
	jud, _ := top["judge"].(map[string]any)
	r.JudgeLimits, more = r.read(JudgeTable, jud, "judge")
	bad = append(bad, more...)
	if len(more) == 0 && r.JudgeLimits.Count("most_ms") <= r.JudgeLimits.Count("least_ms") {
		bad = append(bad, schema.Problem{Place: "judge.most_ms", Message: "must be over least_ms"})
	}
	r.old, r.raw = nil, nil
	return r, bad, nil
}

// read checks one object by a table.
func (r *Rules) read(tab schema.Table, in map[string]any, at string) (schema.Values, []schema.Problem) {
	out := schema.Values{}
	return out, r.fill(tab, out, in, at)
}

// each runs f over the objects of a list, with their places, which makes of each
// what is entered by put. The values are good only within f. Rows that are kept
// of an earlier document are entered as they were made then.
func (r *Rules) each(top schema.Values, name string, tab schema.Table, f func(at string, v schema.Values) (any, []schema.Problem), put func(any) []string) []schema.Problem {
	list, ok := top[name].([]any)
	if !ok {
		return nil
	}
	var bad []schema.Problem
	// A numbered document may empty the mesh; by hand that is a mistake.
	if len(list) == 0 && r.DocumentNumber == 0 {
		bad = append(bad, schema.Problem{Place: name, Message: "must have at least one"})
	}
	v := make(schema.Values, len(tab.Fields))
	rows := make([]schema.ParsedRow, 0, len(list))
	enter := func(i int, made any, at func() string) {
		rows = append(rows, schema.ParsedRow{Raw: r.raw[name][i], Value: made})
		for _, wrong := range put(made) {
			field, what, _ := strings.Cut(wrong, " ")
			bad = append(bad, schema.Problem{Place: at() + "." + field, Message: what})
		}
	}
	defer func() { r.rows[name] = rows }()
	for i, e := range list {
		if k, ok := e.(*schema.ParsedRow); ok {
			enter(i, k.Value, func() string { return name + "[" + strconv.Itoa(i) + "]" })
			continue
		}
		at := name + "[" + strconv.Itoa(i) + "]"
		m, ok := e.(map[string]any)
		if !ok {
			bad = append(bad, schema.Problem{Place: at, Message: "must be an object"})
			continue
		}
		bad = append(bad, r.fill(tab, v, m, at)...)
		// References are checked even when other values of the row are wrong,
		// so that one answer names every fault.
		made, more := f(at, v)
		bad = append(bad, more...)
		enter(i, made, func() string { return at })
	}
	return bad
}

// service is what one row of the services says.
type service struct {
	name, probe string
	links       int
}

func (r *Rules) services(top schema.Values) []schema.Problem {
	return r.each(top, "services", ServiceTable, func(_ string, v schema.Values) (any, []schema.Problem) {
		return service{v.Text("name"), v.Text("fitness"), int(v.Count("links"))}, nil
	}, func(made any) []string {
		s := made.(service)
		if r.Services[s.name] {
			return []string{fmt.Sprintf("name service %q is there twice", s.name)}
		}
		if s.name != "" {
			r.Services[s.name] = true
		}
		if s.links > 0 {
			r.MaxConns[s.name] = s.links
		}
		if s.probe != "" {
			r.HealthPaths[s.name] = s.probe
		}
		return nil
	})
}

func (r *Rules) classes(top schema.Values) []schema.Problem {
	sum := 0.0
	whole := true
	bad := r.each(top, "classes", ClassTable, func(at string, v schema.Values) (any, []schema.Problem) {
		n := v.Text("name")
		if _, dup := r.Shares[n]; dup {
			return nil, []schema.Problem{{Place: at + ".name", Message: fmt.Sprintf("class %q is there twice", n)}}
		}
		if _, ok := v["share"]; !ok || n == "" {
			whole = false
		}
		if n != "" {
			r.Shares[n] = v.Number("share")
			r.Classes = append(r.Classes, n)
		}
		sum += v.Number("share")
		return nil, nil
	}, func(any) []string { return nil })
	delete(r.rows, "classes")
	// The sum says nothing when a share could not be read.
	if whole && len(r.Classes) > 0 && math.Abs(sum-100) > 1e-6 {
		bad = append(bad, schema.Problem{Place: "classes", Message: fmt.Sprintf("shares add up to %g, not 100", sum)})
	}
	return bad
}
