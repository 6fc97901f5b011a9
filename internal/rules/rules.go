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
	Version         uint64
	Number          uint64 // the operator's own; 0 when the document has none
	Doc             []byte
	Services        map[string]bool
	MaxConns        map[string]int    // bound on a worker's connections by service, where one is told
	HealthPaths     map[string]string // the URL path of a service's health, where one is told
	Shares          map[string]float64
	Classes         []string
	Routes          []*Route
	routesByHost    map[string]hostRoutes // by host; "" is any
	routesByName    map[string]*Route
	RetryRatio      float64
	RetryAllowance  int64
	QueueRatio      float64
	MaxHeaderBytes  int           // bound on a caller's header
	MaxBodyBytes    int           // bound on a caller's body; 0: the prop's
	HeaderTimeout   time.Duration // time to read a header; 0: by props
	IdleTimeout     time.Duration // time before an idle connection is closed; 0: by props
	Judge           schema.Values
	LongestTimeout  time.Duration
	readInto        func(schema.Table, schema.Values, map[string]any, string) []schema.Problem
	shortestTargets map[int]time.Duration // by rank, the least aim of what isn't bulk
	laneByUrgency   map[urgency]int
	derivesClasses  bool // classes come from the ranks
	parsedRows      map[string][]schema.ParsedRow
	rawRows         map[string][]string
	previous        *Rules // while this is made: those that rows are taken from
	reuseInvalid    bool   // while this is made: a row kept means something else now
}

// Compile reads a document; every fault is named with its place.
func Compile(version uint64, doc []byte) (*Rules, []schema.Problem, error) {
	compiled, problems, err := compile(nil, version, doc)
	if err != nil || len(problems) > 0 {
		return nil, problems, err
	}
	return compiled, nil, nil
}

func compile(previous *Rules, version uint64, doc []byte) (*Rules, []schema.Problem, error) {
	var previousRows map[string][]schema.ParsedRow
	if previous != nil {
		previousRows = previous.parsedRows
	}
	document, rawRows, problems, err := schema.ParseRows(doc, previousRows)
	if err != nil {
		return nil, nil, err
	}
	r := &Rules{Version: version, Doc: doc, Services: make(map[string]bool, len(rawRows["services"])), MaxConns: map[string]int{}, HealthPaths: map[string]string{},
		Shares: map[string]float64{}, routesByHost: map[string]hostRoutes{}, routesByName: make(map[string]*Route, len(rawRows["paths"])), readInto: schema.Table.ReadInto,
		previous: previous, rawRows: rawRows, parsedRows: map[string][]schema.ParsedRow{}}
	// Documents with a number of their own are written by programs that may be
	// newer than this one: what they say besides is not for us.
	if _, ok := document["version"]; ok {
		r.readInto = schema.Table.ReadKnownInto
	}
	_, classes := document["classes"]
	r.derivesClasses = !classes
	values, found := r.readObject(DocumentTable, document, "")
	problems = append(problems, found...)
	r.Number = uint64(values.Count("version"))
	problems = append(problems, r.compileServices(values)...)
	problems = append(problems, r.compileClasses(values)...)
	problems = append(problems, r.compileRoutes(values)...)
	if r.derivesClasses {
		r.deriveClasses()
	}
	r.assignLanes()
	limits, _ := values["limits"].(map[string]any)
	limitValues, found := r.readObject(LimitsTable, limits, "limits")
	problems = append(problems, found...)
	r.RetryRatio, r.RetryAllowance, r.QueueRatio = limitValues.Share("repeat_share"), limitValues.Count("repeat_allowance"), limitValues.Share("queue_share")
	r.MaxHeaderBytes, r.MaxBodyBytes = int(limitValues.Count("head_bytes")), int(limitValues.Count("body_bytes"))
	r.HeaderTimeout, r.IdleTimeout = time.Duration(limitValues.Count("head_ms"))*time.Millisecond, time.Duration(limitValues.Count("idle_ms"))*time.Millisecond
	bounds, _ := values["judge"].(map[string]any)
	r.Judge, found = r.readObject(JudgeTable, bounds, "judge")
	problems = append(problems, found...)
	if len(found) == 0 && r.Judge.Count("most_ms") <= r.Judge.Count("least_ms") {
		problems = append(problems, schema.Problem{Place: "judge.most_ms", Message: "must be over least_ms"})
	}
	r.previous, r.rawRows = nil, nil
	return r, problems, nil
}

// readObject checks one object by a table.
func (r *Rules) readObject(table schema.Table, object map[string]any, place string) (schema.Values, []schema.Problem) {
	values := schema.Values{}
	return values, r.readInto(table, values, object, place)
}

// readRows runs f over the objects of a list, with their places, which makes of each
// what is entered by put. The values are good only within f. Rows that are kept
// of an earlier document are entered as they were made then.
func (r *Rules) readRows(document schema.Values, name string, table schema.Table, compileRow func(place string, values schema.Values) (any, []schema.Problem), add func(any) []string) []schema.Problem {
	list, ok := document[name].([]any)
	if !ok {
		return nil
	}
	var problems []schema.Problem
	// A numbered document may empty the mesh; by hand that is a mistake.
	if len(list) == 0 && r.Number == 0 {
		problems = append(problems, schema.Problem{Place: name, Message: "must have at least one"})
	}
	values := make(schema.Values, len(table.Rows))
	rows := make([]schema.ParsedRow, 0, len(list))
	addRow := func(i int, compiled any, place func() string) {
		rows = append(rows, schema.ParsedRow{Raw: r.rawRows[name][i], Value: compiled})
		for _, problem := range add(compiled) {
			field, message, _ := strings.Cut(problem, " ")
			problems = append(problems, schema.Problem{Place: place() + "." + field, Message: message})
		}
	}
	defer func() { r.parsedRows[name] = rows }()
	for i, element := range list {
		if parsed, ok := element.(*schema.ParsedRow); ok {
			addRow(i, parsed.Value, func() string { return name + "[" + strconv.Itoa(i) + "]" })
			continue
		}
		place := name + "[" + strconv.Itoa(i) + "]"
		object, ok := element.(map[string]any)
		if !ok {
			problems = append(problems, schema.Problem{Place: place, Message: "must be an object"})
			continue
		}
		problems = append(problems, r.readInto(table, values, object, place)...)
		// References are checked even when other values of the row are wrong,
		// so that one answer names every fault.
		compiled, found := compileRow(place, values)
		problems = append(problems, found...)
		addRow(i, compiled, func() string { return place })
	}
	return problems
}

// service is what one row of the services says.
type service struct {
	name, healthPath string
	maxConns         int
}

func (r *Rules) compileServices(document schema.Values) []schema.Problem {
	return r.readRows(document, "services", ServiceTable, func(_ string, values schema.Values) (any, []schema.Problem) {
		return service{values.Text("name"), values.Text("fitness"), int(values.Count("links"))}, nil
	}, func(compiled any) []string {
		s := compiled.(service)
		if r.Services[s.name] {
			return []string{fmt.Sprintf("name service %q is there twice", s.name)}
		}
		if s.name != "" {
			r.Services[s.name] = true
		}
		if s.maxConns > 0 {
			r.MaxConns[s.name] = s.maxConns
		}
		if s.healthPath != "" {
			r.HealthPaths[s.name] = s.healthPath
		}
		return nil
	})
}

func (r *Rules) compileClasses(document schema.Values) []schema.Problem {
	sum := 0.0
	complete := true
	problems := r.readRows(document, "classes", ClassTable, func(place string, values schema.Values) (any, []schema.Problem) {
		name := values.Text("name")
		if _, duplicate := r.Shares[name]; duplicate {
			return nil, []schema.Problem{{Place: place + ".name", Message: fmt.Sprintf("class %q is there twice", name)}}
		}
		if _, ok := values["share"]; !ok || name == "" {
			complete = false
		}
		if name != "" {
			r.Shares[name] = values.Share("share")
			r.Classes = append(r.Classes, name)
		}
		sum += values.Share("share")
		return nil, nil
	}, func(any) []string { return nil })
	delete(r.parsedRows, "classes")
	// The sum says nothing when a share could not be read.
	if complete && len(r.Classes) > 0 && math.Abs(sum-100) > 1e-6 {
		problems = append(problems, schema.Problem{Place: "classes", Message: fmt.Sprintf("shares add up to %g, not 100", sum)})
	}
	return problems
}
