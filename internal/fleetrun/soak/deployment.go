package soak

import (
	"time"

	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// services are the services and how many of every twelve machines serve each.
var services = []struct {
	name     string
	machines int
}{{"pages", 5}, {"lending", 4}, {"scans", 3}}

// Requests per second: for each machine, and the maximum in total.
const (
	ratePerMachine = 7.5
	maxRate        = 900
)

// deploymentBounds returns the bounds of the known deployments, with an allowance of retries that
// is proportional to the load.
func deploymentBounds(machines int) checker.Bounds {
	b := checker.UsualBounds
	b.RetryAllowance = max(12, 5*float64(machines))
	return b
}

// requestLines returns the kinds of requests: short reads, long ones that are still running
// when a caller leaves or a node is shut down, requests that may run only once, and uploads.
func requestLines(machines int) []*actors.RequestKind {
	scale := min(float64(machines)*ratePerMachine, maxRate) / ratePerMachine
	check := &actors.RequestKind{Kind: "check", Host: "soak.example", Method: "GET", Prefix: "/check/", Retryable: true, WorkTime: 15 * time.Millisecond, TargetLatency: 100 * time.Millisecond, Timeout: 500 * time.Millisecond, RouteTimeout: 500 * time.Millisecond, AnswerSize: 80}
	return []*actors.RequestKind{
		{Kind: "read", Host: "soak.example", Method: "GET", Prefix: "/read/", Retryable: true, Rate: 4.5 * scale, WorkTime: 60 * time.Millisecond, TargetLatency: 300 * time.Millisecond, Timeout: 1500 * time.Millisecond, RouteTimeout: 1500 * time.Millisecond, AnswerSize: 2000, Retries: 1},
		{Kind: "long", Host: "soak.example", Method: "GET", Prefix: "/long/", Retryable: true, Rate: 0.5 * scale, WorkTime: 900 * time.Millisecond, TargetLatency: 2 * time.Second, Timeout: 6 * time.Second, RouteTimeout: 6 * time.Second, AnswerSize: 1000, Retries: 1,
			Calls: []actors.NestedCall{{Line: check, Share: 0.5}}},
		{Kind: "lend", Host: "soak.example", Method: "POST", Prefix: "/lend/", Rate: 2 * scale, WorkTime: 80 * time.Millisecond, TargetLatency: 400 * time.Millisecond, Timeout: 2 * time.Second, RouteTimeout: 2 * time.Second, Size: 200, AnswerSize: 200, Retries: 1,
			Calls: []actors.NestedCall{{Line: check, Share: 0.2}}},
		{Kind: "scan", Host: "soak.example", Method: "PUT", Prefix: "/scan/", Rate: 0.5 * scale, WorkTime: 70 * time.Millisecond, TargetLatency: 500 * time.Millisecond, Timeout: 3 * time.Second, RouteTimeout: 3 * time.Second, Size: 30000, AnswerSize: 100, Retries: 1},
		// These run for seconds, so that at a stop signal some runs end at any moment of
		// the grace period and some would outlast it.
		{Kind: "survey", Host: "soak.example", Method: "GET", Prefix: "/survey/", Retryable: true, Rate: 0.9 * scale, WorkTime: 3500 * time.Millisecond, TargetLatency: 8 * time.Second, Timeout: 12 * time.Second, RouteTimeout: 12 * time.Second, AnswerSize: 1000, Retries: 1},
		{Kind: "plan", Host: "soak.example", Method: "POST", Prefix: "/plan/", Rate: 0.6 * scale, WorkTime: 2800 * time.Millisecond, TargetLatency: 8 * time.Second, Timeout: 15 * time.Second, RouteTimeout: 15 * time.Second, Size: 300, AnswerSize: 300, Retries: 1,
			Calls: []actors.NestedCall{{Line: check, Share: 0.5}}},
		check,
	}
}

// edgeRatePerMachine is the number of requests per second and machine to the edges of prefixes.
const edgeRatePerMachine = 0.4

// routeTargets has the service, retry policy and rank for each kind of request.
var routeTargets = map[string]struct {
	service, retryPolicy string
	rank                 int
}{"read": {"pages", "safe", 1}, "long": {"pages", "safe", 2}, "lend": {"lending", "never", 0}, "scan": {"scans", "upload", 2}, "survey": {"pages", "safe", 2}, "plan": {"lending", "never", 1}, "check": {"scans", "safe", 1}}

// initialDraft returns the first configuration document.
func initialDraft(lines []*actors.RequestKind) *actors.Draft {
	draft := &actors.Draft{Number: 1, MaxConns: workerBehavior.MaxConns, HealthPath: workerBehavior.HealthPath}
	for _, service := range services {
		draft.Services = append(draft.Services, service.name)
	}
	for _, line := range lines {
		target := routeTargets[line.Kind]
		draft.Routes = append(draft.Routes, actors.RouteDraft{Name: "p-" + line.Kind, Host: line.Host, Prefix: line.Prefix, RetryMode: target.retryPolicy, Split: map[string]int{target.service: 1}, Timeout: line.RouteTimeout, TargetLatency: line.TargetLatency, MaxAttempts: 2, Priority: target.rank})
	}
	draft.Routes = append(draft.Routes, actors.NestedRoutes(draft.Routes)...)
	return draft
}

// workerBehavior is how workers without faults behave.
var workerBehavior = actors.WorkerBehavior{Slots: 12, Queue: 4, MaxConns: 120, HandshakeTime: 1500 * time.Microsecond, IdleTimeout: 5 * time.Second, TimeFactor: 1, LoadFactor: 1.4, ColdStart: 2 * time.Second, ColdStartFactor: 1.5, CloseShare: 0.01, DrainTime: 2 * time.Second, HealthPath: "/health"}

// serviceOf returns the service of the machine with index i.
func serviceOf(i int) string {
	position := i % 12
	for _, s := range services {
		if position -= s.machines; position < 0 {
			return s.name
		}
	}
	return services[0].name
}
