package rules

import (
	"fmt"
	"time"

	"puffincrank/internal/schema"
)

// Arm is where the jobs of a path go and by which terms.
type Arm struct {
	Service     string // empty with a split
	Split       []WeightedService
	sum         float64 // of the weights
	Class       string
	Rank        int           // 0 matters most
	Timeout     time.Duration // time that a job starts with
	Target      time.Duration // time in which an answer is of full use
	Repeatable  bool
	Bulk        string // "upload", "download" or neither
	MaxAttempts int
	Name        string // "old" or "new"
	Steps       []Step
}

// WeightedService is one service's part of a path's jobs.
type WeightedService struct {
	Service string
	Weight  float64
}

// ServiceFor is the service of a job. By a hash of its id, so that one job has one
// service at every front and at every look.
func (a *Arm) ServiceFor(job string) string {
	if len(a.Split) == 0 {
		return a.Service
	}
	at := spot("split", job) * a.sum
	last := ""
	for _, p := range a.Split {
		if p.Weight <= 0 {
			continue
		}
		last = p.Service
		if at -= p.Weight; at < 0 {
			break
		}
	}
	// What rounding leaves over is the last one's.
	return last
}

// RoutesTo tells whether jobs of the arm could go to a service.
func (a *Arm) RoutesTo(service string) bool {
	if len(a.Split) == 0 {
		return a.Service == service
	}
	for _, p := range a.Split {
		if p.Service == service && p.Weight > 0 {
			return true
		}
	}
	return false
}

// every is the steps of every arm today.
var every = []Step{StepPick, StepDeliver, StepEvaluate, StepRespond}

func (r *Rules) arm(at, name string, v schema.Values) (Arm, []schema.Problem) {
	a := Arm{Name: name, Service: v.Text("service"), Class: v.Text("class"), Rank: int(v.Count("rank")), MaxAttempts: int(v.Count("tries")),
		Timeout: time.Duration(v.Count("left_ms")) * time.Millisecond, Target: time.Duration(v.Count("aim_ms")) * time.Millisecond, Steps: every}
	if a.Target == 0 {
		a.Target = a.Timeout / 4
	}
	kind := v.Text("repeat")
	a.Repeatable = kind == "safe" || kind == "download"
	if kind == "upload" || kind == "download" {
		a.Bulk = kind
	}
	var bad []schema.Problem
	wrong := func(field, f string, args ...any) {
		bad = append(bad, schema.Problem{Place: at + "." + field, Message: fmt.Sprintf(f, args...)})
	}
	if a.Service != "" && !r.Services[a.Service] {
		wrong("service", "no service %q", a.Service)
	}
	_, single := v["service"]
	if _, split := v["split"]; split {
		var more []schema.Problem
		a.Split, a.sum, more = r.split(at+".split", v)
		bad = append(bad, more...)
		if single {
			wrong("split", "a path has a service or a split, not both")
		}
	} else if !single {
		wrong("service", "missing, and no split in its place")
	}
	_, known := r.Shares[a.Class]
	switch {
	case r.ranked && a.Class == "":
		a.Class = fmt.Sprintf("rank-%d", a.Rank)
	case r.ranked || a.Class != "" && !known:
		wrong("class", "no class %q", a.Class)
	case a.Class == "":
		wrong("class", "missing")
	}
	return a, bad
}

func (r *Rules) split(at string, v schema.Values) (out []WeightedService, sum float64, bad []schema.Problem) {
	list, _ := v["split"].([]any)
	for i, e := range list {
		at := fmt.Sprintf("%s[%d]", at, i)
		m, ok := e.(map[string]any)
		if !ok {
			bad = append(bad, schema.Problem{Place: at, Message: "must be an object"})
			continue
		}
		row, more := r.read(SplitTable, m, at)
		bad = append(bad, more...)
		p := WeightedService{row.Text("service"), row.Number("weight")}
		if p.Service != "" && !r.Services[p.Service] {
			bad = append(bad, schema.Problem{Place: at + ".service", Message: fmt.Sprintf("no service %q", p.Service)})
		}
		out, sum = append(out, p), sum+p.Weight
	}
	if sum <= 0 && len(bad) == 0 {
		bad = append(bad, schema.Problem{Place: at, Message: "at least one weight must be over 0"})
	}
	return out, sum, bad
}
