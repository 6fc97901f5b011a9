package sim

import (
	"context"
	"fmt"
	"time"

	"puffincrank/internal/standin/actors"
)

// nextDraft returns the draft of the next configuration; numbers rise in random steps.
func (a faultRun) nextDraft() *actors.Draft {
	a.siteMu.Lock()
	defer a.siteMu.Unlock()
	draft := a.draft.Copy()
	draft.Number += 1 + uint64(a.IntN(5))
	a.draft = draft
	return draft
}

// changeDraft changes one random thing in a draft: the services of a route, its timeout, or
// the list of routes.
func (a faultRun) changeDraft(draft *actors.Draft) {
	original := a.deployment.draft(0)
	route := &draft.Routes[a.IntN(len(a.deployment.lines))]
	one, two := a.deployment.services[a.IntN(len(a.deployment.services))], a.deployment.services[a.IntN(len(a.deployment.services))]
	switch a.IntN(5) {
	case 0:
		route.Split = map[string]int{one: 1}
	case 1:
		if one != two {
			route.Split = map[string]int{one: 90, two: 10}
		}
	case 2:
		route.Timeout = route.Timeout * time.Duration(60+a.IntN(80)) / 100
	case 3:
		a.addRoutes(draft, 1+a.IntN(2))
	default:
		// Restore the original routes and remove the last added one.
		copy(draft.Routes, original.Routes)
		if count := len(draft.Routes); count > len(original.Routes) {
			a.removeRoute(draft.Routes[count-1])
			draft.Routes = draft.Routes[:count-1]
		}
	}
}

// addRoutes adds new routes to a draft.
func (a faultRun) addRoutes(draft *actors.Draft, count int) {
	for range count {
		a.siteMu.Lock()
		a.extraRoutes++
		route := actors.RouteDraft{Name: fmt.Sprint("x", a.extraRoutes), Host: draft.Routes[0].Host, Prefix: fmt.Sprintf("/x%d-%d/", a.extraRoutes, a.IntN(1000)), RetryMode: "safe",
			Split: map[string]int{a.deployment.services[a.IntN(len(a.deployment.services))]: 1}, Timeout: time.Second, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2, Priority: 2}
		a.addedRoutes = append(a.addedRoutes, route)
		a.siteMu.Unlock()
		draft.Routes = append(draft.Routes, route)
	}
}

func (a faultRun) removeRoute(route actors.RouteDraft) {
	a.siteMu.Lock()
	defer a.siteMu.Unlock()
	for i, o := range a.addedRoutes {
		if o.Prefix == route.Prefix {
			a.addedRoutes = append(a.addedRoutes[:i], a.addedRoutes[i+1:]...)
			return
		}
	}
}

// probe sends requests for the given routes and for a path that never had a route
// to a few machines that serve clients.
func (a faultRun) probe(routes ...actors.RouteDraft) {
	routes = append(routes, actors.RouteDraft{Host: a.draft.Routes[0].Host, Prefix: fmt.Sprintf("/never%d/", a.IntN(1000))})
	for range 4 {
		m := a.all()[a.IntN(len(a.all()))]
		if m.client.Paused.Load() {
			continue
		}
		for _, w := range routes {
			line := &actors.RequestKind{Kind: "probe", Host: w.Host, Method: "GET", Prefix: w.Prefix, Retryable: true, AnswerSize: 50, WorkTime: ms(10), Timeout: time.Second}
			a.g.Go("probe", func(ctx context.Context) { m.client.Probe(ctx, line) })
		}
		Wait(a.ms(50, 700))
	}
}

// addedRoutes lists the routes of a draft that an older one lacks.
func addedRoutes(draft, old *actors.Draft) (added []actors.RouteDraft) {
	known := map[string]bool{}
	for _, w := range old.Routes {
		known[w.Prefix] = true
	}
	for _, w := range draft.Routes {
		if !known[w.Prefix] {
			added = append(added, w)
		}
	}
	return added
}

var configFaults = []dayFault{
	{"change", noCore, func(a faultRun) {
		for range 1 + a.IntN(3) {
			old := a.draft
			draft := a.nextDraft()
			a.changeDraft(draft)
			accepted := a.op.Send(a.g.Context(), draft, "", "")
			a.say("configuration %d sent, accepted %v", draft.Number, accepted)
			a.probe(append(addedRoutes(draft, old), addedRoutes(old, draft)...)...)
			Wait(a.ms(200, 2500))
		}
	}},
	{"race", noCore, func(a faultRun) {
		first, second := a.nextDraft(), a.nextDraft()
		if a.IntN(2) == 0 {
			second.Number = first.Number
		}
		a.changeDraft(first)
		a.changeDraft(second)
		a.say("configurations %d and %d sent at once", first.Number, second.Number)
		done := make(chan struct{}, 2)
		for _, draft := range []*actors.Draft{first, second} {
			a.g.Go("race", func(ctx context.Context) { a.op.Send(ctx, draft, "", ""); done <- struct{}{} })
		}
		<-done
		<-done
		a.probe()
	}},
	{"broken", noCore, func(a faultRun) {
		for range 1 + a.IntN(3) {
			breakage := actors.InvalidDocuments[a.IntN(len(actors.InvalidDocuments))]
			draft := a.nextDraft()
			a.changeDraft(draft)
			a.say("configuration %d is invalid: %s", draft.Number, breakage.Name)
			a.op.Send(a.g.Context(), draft, breakage.Of(draft), breakage.Name)
			a.probe()
		}
	}},
	{"again", noCore, func(a faultRun) {
		a.say("an older configuration is sent again")
		a.op.Resend(a.g.Context())
	}},
	{"read", noCore, func(a faultRun) { a.op.ReadBack(a.g.Context(), 3*time.Second, false) }},
	{"big", noCore, func(a faultRun) {
		draft := a.nextDraft()
		a.addRoutes(draft, 30)
		accepted := a.op.Send(a.g.Context(), draft, "", "")
		a.say("configuration %d with 30 more routes sent, accepted %v", draft.Number, accepted)
		a.probe(addedRoutes(draft, a.site.deployment.draft(0))[:3]...)
	}},
}
