package rules

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"puffincrank/internal/schema"
)

// MaxDocumentBytes is the size limit of a configuration document, in bytes.
const MaxDocumentBytes = 4 << 20

// Route is one compiled route.
type Route struct {
	Name   string
	Host   string // lower case, without port; empty matches any host
	Method string
	Prefix string
	Base   Arm
	Trial  uint64 // ID of the running trial; 0 when there is none
	Slice  float64
	New    Arm
}

// Step is one operation of the request interpreter.
type Step uint8

// The steps of a request, in the order in which they run.
const (
	StepPick Step = iota
	StepDeliver
	StepEvaluate
	StepRespond
)

// Rules is one compiled version of the configuration.
type Rules struct {
	Version         uint64
	DocumentNumber  uint64 // the operator's own document number; 0 when the document has none
	Doc             []byte
	Services        map[string]bool
	MaxConns        map[string]int    // limit on the connections to one worker, for the services that set one
	HealthPaths     map[string]string // URL path of the health check, for the services that set one
	Shares          map[string]float64
	Classes         []string
	Routes          []*Route
	routesByHost    map[string]hostRoutes // keyed by host; "" matches any host
	routesByName    map[string]*Route
	RetryRatio      float64
	RetryAllowance  int64
	QueueRatio      float64
	MaxHeaderBytes  int           // limit on the header of a caller's request
	MaxBodyBytes    int           // limit on the body of a caller's request; 0: taken from the settings
	HeaderTimeout   time.Duration // time limit for reading a header; 0: derived from the settings
	IdleTimeout     time.Duration // time after which an idle connection is closed; 0: derived from the settings
	JudgeLimits     schema.Values
	LongestTimeout  time.Duration
	readInto        func(schema.Table, schema.Values, map[string]any, string) []schema.Problem
	shortestTargets map[int]time.Duration // by rank: the shortest target latency of the arms that are not bulk
	laneByUrgency   map[urgency]int
	derivesClasses  bool // the document has no classes, so they are derived from the ranks
	parsedRows      map[string][]schema.ParsedRow
	rawRows         map[string][]string
	previous        *Rules // only during compilation: the rules whose rows are reused
	reuseInvalid    bool   // only during compilation: a reused row would compile differently now
}

// Compile compiles a document. Every problem is reported with its place in the document.
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
	// Numbered documents are written by programs that may be newer than this one, so names that
	// this version does not know are ignored.
	if _, ok := document["version"]; ok {
		r.readInto = schema.Table.ReadKnownInto
	}
	_, classes := document["classes"]
	r.derivesClasses = !classes
	values, found := r.readObject(DocumentTable, document, "")
	problems = append(problems, found...)
	r.DocumentNumber = uint64(values.Count("version"))
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
	r.RetryRatio, r.RetryAllowance, r.QueueRatio = limitValues.Number("repeat_share"), limitValues.Count("repeat_allowance"), limitValues.Number("queue_share")
	r.MaxHeaderBytes, r.MaxBodyBytes = int(limitValues.Count("head_bytes")), int(limitValues.Count("body_bytes"))
	r.HeaderTimeout, r.IdleTimeout = time.Duration(limitValues.Count("head_ms"))*time.Millisecond, time.Duration(limitValues.Count("idle_ms"))*time.Millisecond
	bounds, _ := values["judge"].(map[string]any)
	r.JudgeLimits, found = r.readObject(JudgeTable, bounds, "judge")
	problems = append(problems, found...)
	if len(found) == 0 && r.JudgeLimits.Count("most_ms") <= r.JudgeLimits.Count("least_ms") {
		problems = append(problems, schema.Problem{Place: "judge.most_ms", Message: "must be over least_ms"})
	}
	r.previous, r.rawRows = nil, nil
	return r, problems, nil
}

// readObject checks one object against a table.
func (r *Rules) readObject(table schema.Table, object map[string]any, place string) (schema.Values, []schema.Problem) {
	values := schema.Values{}
	return values, r.readInto(table, values, object, place)
}

// readRows checks each object of a list, compiles it with compileRow and enters the result with
// add. The values passed to compileRow are reused for the next row and must not be kept. Rows
// reused from an earlier document are entered as they were compiled then. add returns its problems
// as texts of the form "field message".
func (r *Rules) readRows(document schema.Values, name string, table schema.Table, compileRow func(place string, values schema.Values) (any, []schema.Problem), add func(any) []string) []schema.Problem {
	list, ok := document[name].([]any)
	if !ok {
		return nil
	}
	var problems []schema.Problem
	// A numbered document may remove every service and route; in an unnumbered one, which is
	// written by hand, an empty list is taken for a mistake.
	if len(list) == 0 && r.DocumentNumber == 0 {
		problems = append(problems, schema.Problem{Place: name, Message: "must have at least one"})
	}
	values := make(schema.Values, len(table.Fields))
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
		// References are checked even when other values of the row are invalid, so that one
		// response reports every problem.
		compiled, found := compileRow(place, values)
		problems = append(problems, found...)
		addRow(i, compiled, func() string { return place })
	}
	return problems
}

// service is a compiled row of the services list.
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
			r.Shares[name] = values.Number("share")
			r.Classes = append(r.Classes, name)
		}
		sum += values.Number("share")
		return nil, nil
	}, func(any) []string { return nil })
	delete(r.parsedRows, "classes")
	// The sum is meaningless when a share could not be read.
	if complete && len(r.Classes) > 0 && math.Abs(sum-100) > 1e-6 {
		problems = append(problems, schema.Problem{Place: "classes", Message: fmt.Sprintf("shares add up to %g, not 100", sum)})
	}
	return problems
}
