package rules

import (
	"fmt"
	"time"

	"puffincrank/internal/schema"
)

// Arm says which service the requests of a route go to, and under which limits.
type Arm struct {
	Service     string // empty when Split is set
	Split       []WeightedService
	totalWeight float64 // of the weights in Split
	Class       string
	Rank        int           // priority; 0 is the highest
	Timeout     time.Duration // time that a request has at its start
	Target      time.Duration // latency within which a response is of full use
	Repeatable  bool
	Bulk        string // "upload", "download" or empty
	MaxAttempts int
	Name        string // "old" or "new"
	Steps       []Step
}

// WeightedService is one service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// ServiceFor returns the service of a request. It is chosen by a hash of the request ID, so that
// every ingress and every attempt chooses the same service.
func (a *Arm) ServiceFor(requestID string) string {
	if len(a.Split) == 0 {
		return a.Service
	}
	position := hashFraction("split", requestID) * a.totalWeight
	last := ""
	for _, part := range a.Split {
		if part.Weight <= 0 {
			continue
		}
		last = part.Service
		if position -= part.Weight; position < 0 {
			break
		}
	}
	// Rounding may leave a remainder, which goes to the last service.
	return last
}

// RoutesTo reports whether requests of the arm can go to a service.
func (a *Arm) RoutesTo(service string) bool {
	if len(a.Split) == 0 {
		return a.Service == service
	}
	for _, part := range a.Split {
		if part.Service == service && part.Weight > 0 {
			return true
		}
	}
	return false
}

// allSteps are the steps that every arm runs.
var allSteps = []Step{StepPick, StepDeliver, StepEvaluate, StepRespond}

func (r *Rules) compileArm(place, name string, values schema.Values) (Arm, []schema.Problem) {
	arm := Arm{Name: name, Service: values.Text("service"), Class: values.Text("class"), Rank: int(values.Count("rank")), MaxAttempts: int(values.Count("tries")),
		Timeout: time.Duration(values.Count("left_ms")) * time.Millisecond, Target: time.Duration(values.Count("aim_ms")) * time.Millisecond, Steps: allSteps}
	if arm.Target == 0 {
		arm.Target = arm.Timeout / 4
	}
	retry := values.Text("repeat")
	arm.Repeatable = retry == "safe" || retry == "download"
	if retry == "upload" || retry == "download" {
		arm.Bulk = retry
	}
	var problems []schema.Problem
	report := func(field, format string, args ...any) {
		problems = append(problems, schema.Problem{Place: place + "." + field, Message: fmt.Sprintf(format, args...)})
	}
	if arm.Service != "" && !r.Services[arm.Service] {
		report("service", "no service %q", arm.Service)
	}
	_, hasService := values["service"]
	if _, hasSplit := values["split"]; hasSplit {
		var found []schema.Problem
		arm.Split, arm.totalWeight, found = r.compileSplit(place+".split", values)
		problems = append(problems, found...)
		if hasService {
			report("split", "a path has a service or a split, not both")
		}
	} else if !hasService {
		report("service", "missing, and no split in its place")
	}
	_, known := r.Shares[arm.Class]
	switch {
	case r.derivesClasses && arm.Class == "":
		arm.Class = fmt.Sprintf("rank-%d", arm.Rank)
	case r.derivesClasses || arm.Class != "" && !known:
		report("class", "no class %q", arm.Class)
	case arm.Class == "":
		report("class", "missing")
	}
	return arm, problems
}

func (r *Rules) compileSplit(place string, values schema.Values) (parts []WeightedService, totalWeight float64, problems []schema.Problem) {
	list, _ := values["split"].([]any)
	for i, element := range list {
		place := fmt.Sprintf("%s[%d]", place, i)
		object, ok := element.(map[string]any)
		if !ok {
			problems = append(problems, schema.Problem{Place: place, Message: "must be an object"})
			continue
		}
		row, found := r.readObject(SplitTable, object, place)
		problems = append(problems, found...)
		part := WeightedService{row.Text("service"), row.Number("weight")}
		if part.Service != "" && !r.Services[part.Service] {
			problems = append(problems, schema.Problem{Place: place + ".service", Message: fmt.Sprintf("no service %q", part.Service)})
		}
		parts, totalWeight = append(parts, part), totalWeight+part.Weight
	}
	if totalWeight <= 0 && len(problems) == 0 {
		problems = append(problems, schema.Problem{Place: place, Message: "at least one weight must be over 0"})
	}
	return parts, totalWeight, problems
}
