package soak

import (
	"time"

	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// The services, and how many of twelve machines serve each.
var services = []struct {
	name string
	part int
}{{"pages", 5}, {"lending", 4}, {"scans", 3}}

// Requests a second: for each machine, and in all at most.
const (
	ratePerMachine = 7.5
	rateAtMost     = 900
)

// bounds are those of the deployments that are known, with the allowance of
// repeats that goes with the load.
func bounds(size int) checker.Bounds {
	b := checker.Usual
	b.Allow = max(12, 5*float64(size))
	return b
}

// lines are the kinds of requests: short reads, long ones that are still at work
// when a caller leaves or a node is told to end, what may run but once, and uploads.
func lines(size int) []*actors.Line {
	scale := min(float64(size)*ratePerMachine, rateAtMost) / ratePerMachine
	check := &actors.Line{Kind: "check", Host: "soak.example", Method: "GET", Prefix: "/check/", Repeat: true, Work: 15 * time.Millisecond, Aim: 100 * time.Millisecond, Left: 500 * time.Millisecond, Most: 500 * time.Millisecond, Back: 80}
	return []*actors.Line{
		{Kind: "read", Host: "soak.example", Method: "GET", Prefix: "/read/", Repeat: true, Rate: 4.5 * scale, Work: 60 * time.Millisecond, Aim: 300 * time.Millisecond, Left: 1500 * time.Millisecond, Most: 1500 * time.Millisecond, Back: 2000, Further: 1},
		{Kind: "long", Host: "soak.example", Method: "GET", Prefix: "/long/", Repeat: true, Rate: 0.5 * scale, Work: 900 * time.Millisecond, Aim: 2 * time.Second, Left: 6 * time.Second, Most: 6 * time.Second, Back: 1000, Further: 1,
			Calls: []actors.Call{{Line: check, Share: 0.5}}},
		{Kind: "lend", Host: "soak.example", Method: "POST", Prefix: "/lend/", Rate: 2 * scale, Work: 80 * time.Millisecond, Aim: 400 * time.Millisecond, Left: 2 * time.Second, Most: 2 * time.Second, Size: 200, Back: 200, Further: 1,
			Calls: []actors.Call{{Line: check, Share: 0.2}}},
		{Kind: "scan", Host: "soak.example", Method: "PUT", Prefix: "/scan/", Rate: 0.5 * scale, Work: 70 * time.Millisecond, Aim: 500 * time.Millisecond, Left: 3 * time.Second, Most: 3 * time.Second, Size: 30000, Back: 100, Further: 1},
		// At work for seconds, so that an order to end meets runs at any moment of its
		// grace, and some that outlast it.
		{Kind: "survey", Host: "soak.example", Method: "GET", Prefix: "/survey/", Repeat: true, Rate: 0.9 * scale, Work: 3500 * time.Millisecond, Aim: 8 * time.Second, Left: 12 * time.Second, Most: 12 * time.Second, Back: 1000, Further: 1},
		{Kind: "plan", Host: "soak.example", Method: "POST", Prefix: "/plan/", Rate: 0.6 * scale, Work: 2800 * time.Millisecond, Aim: 8 * time.Second, Left: 15 * time.Second, Most: 15 * time.Second, Size: 300, Back: 300, Further: 1,
			Calls: []actors.Call{{Line: check, Share: 0.5}}},
		check,
	}
}

// serves tells where a line goes and how often its requests may run.
var serves = map[string]struct {
	service, repeat string
	rank            int
}{"read": {"pages", "safe", 1}, "long": {"pages", "safe", 2}, "lend": {"lending", "never", 0}, "scan": {"scans", "upload", 2}, "survey": {"pages", "safe", 2}, "plan": {"lending", "never", 1}, "check": {"scans", "safe", 1}}

// firstDraft is the document that all begins with.
func firstDraft(all []*actors.Line) *actors.Draft {
	d := &actors.Draft{Number: 1, Links: ways.Conns, Fitness: ways.Fitness}
	for _, s := range services {
		d.Services = append(d.Services, s.name)
	}
	for _, l := range all {
		s := serves[l.Kind]
		d.Ways = append(d.Ways, actors.Way{Name: "p-" + l.Kind, Host: l.Host, Prefix: l.Prefix, Repeat: s.repeat, Split: map[string]int{s.service: 1}, Left: l.Most, Aim: l.Aim, Tries: 2, Rank: s.rank})
	}
	return d
}

// ways is how the workers behave when they are well.
var ways = actors.Ways{Slots: 12, Queue: 4, Conns: 120, Hello: 1500 * time.Microsecond, Idle: 5 * time.Second, Speed: 1, Crowd: 1.4, Cold: 2 * time.Second, ColdBy: 1.5, Hop: 0.01, Drain: 2 * time.Second, Fitness: "/health"}

// serviceOf is the service of the i-th machine.
func serviceOf(i int) string {
	at := i % 12
	for _, s := range services {
		if at -= s.part; at < 0 {
			return s.name
		}
	}
	return services[0].name
}
