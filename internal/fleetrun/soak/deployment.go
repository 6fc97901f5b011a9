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
	b := checker.Usual
	b.Allow = max(12, 5*float64(machines))
	return b
}

// requestLines returns the kinds of requests: short reads, long ones that are still running
// when a caller leaves or a node is shut down, requests that may run only once, and uploads.
func requestLines(machines int) []*actors.Line {
	scale := min(float64(machines)*ratePerMachine, maxRate) / ratePerMachine
	check := &actors.Line{Kind: "check", Host: "soak.example", Method: "GET", Prefix: "/check/", Repeat: true, Work: 15 * time.Millisecond, Aim: 100 * time.Millisecond, Left: 500 * time.Millisecond, Most: 500 * time.Millisecond, Back: 80}
	return []*actors.Line{
		{Kind: "read", Host: "soak.example", Method: "GET", Prefix: "/read/", Repeat: true, Rate: 4.5 * scale, Work: 60 * time.Millisecond, Aim: 300 * time.Millisecond, Left: 1500 * time.Millisecond, Most: 1500 * time.Millisecond, Back: 2000, Further: 1},
		{Kind: "long", Host: "soak.example", Method: "GET", Prefix: "/long/", Repeat: true, Rate: 0.5 * scale, Work: 900 * time.Millisecond, Aim: 2 * time.Second, Left: 6 * time.Second, Most: 6 * time.Second, Back: 1000, Further: 1,
			Calls: []actors.Call{{Line: check, Share: 0.5}}},
		{Kind: "lend", Host: "soak.example", Method: "POST", Prefix: "/lend/", Rate: 2 * scale, Work: 80 * time.Millisecond, Aim: 400 * time.Millisecond, Left: 2 * time.Second, Most: 2 * time.Second, Size: 200, Back: 200, Further: 1,
			Calls: []actors.Call{{Line: check, Share: 0.2}}},
		{Kind: "scan", Host: "soak.example", Method: "PUT", Prefix: "/scan/", Rate: 0.5 * scale, Work: 70 * time.Millisecond, Aim: 500 * time.Millisecond, Left: 3 * time.Second, Most: 3 * time.Second, Size: 30000, Back: 100, Further: 1},
		// These run for seconds, so that at a stop signal some runs end at any moment of
		// the grace period and some would outlast it.
		{Kind: "survey", Host: "soak.example", Method: "GET", Prefix: "/survey/", Repeat: true, Rate: 0.9 * scale, Work: 3500 * time.Millisecond, Aim: 8 * time.Second, Left: 12 * time.Second, Most: 12 * time.Second, Back: 1000, Further: 1},
		{Kind: "plan", Host: "soak.example", Method: "POST", Prefix: "/plan/", Rate: 0.6 * scale, Work: 2800 * time.Millisecond, Aim: 8 * time.Second, Left: 15 * time.Second, Most: 15 * time.Second, Size: 300, Back: 300, Further: 1,
			Calls: []actors.Call{{Line: check, Share: 0.5}}},
		check,
	}
}

// routeTargets has the service, retry policy and rank for each kind of request.
var routeTargets = map[string]struct {
	service, retryPolicy string
	rank                 int
}{"read": {"pages", "safe", 1}, "long": {"pages", "safe", 2}, "lend": {"lending", "never", 0}, "scan": {"scans", "upload", 2}, "survey": {"pages", "safe", 2}, "plan": {"lending", "never", 1}, "check": {"scans", "safe", 1}}

// initialDraft returns the first configuration document.
func initialDraft(lines []*actors.Line) *actors.Draft {
	draft := &actors.Draft{Number: 1, Links: workerBehavior.Conns, Fitness: workerBehavior.Fitness}
	for _, service := range services {
		draft.Services = append(draft.Services, service.name)
	}
	for _, line := range lines {
		target := routeTargets[line.Kind]
		draft.Ways = append(draft.Ways, actors.Way{Name: "p-" + line.Kind, Host: line.Host, Prefix: line.Prefix, Repeat: target.retryPolicy, Split: map[string]int{target.service: 1}, Left: line.Most, Aim: line.Aim, Tries: 2, Rank: target.rank})
	}
	return draft
}

// workerBehavior is how workers without faults behave.
var workerBehavior = actors.Ways{Slots: 12, Queue: 4, Conns: 120, Hello: 1500 * time.Microsecond, Idle: 5 * time.Second, Speed: 1, Crowd: 1.4, Cold: 2 * time.Second, ColdBy: 1.5, Hop: 0.01, Drain: 2 * time.Second, Fitness: "/health"}

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
