package sim

import (
	"context"
	"fmt"
	"time"

	"puffincrank/internal/standin/actors"
)

// next returns the draft of the next configuration; numbers rise in random steps.
func (a act) next() *actors.Draft {
	a.smu.Lock()
	defer a.smu.Unlock()
	draft := a.draft.Copy()
	draft.Number += 1 + uint64(a.IntN(5))
	a.draft = draft
	return draft
}

// alter changes one random thing in a draft: the services of a route, its timeout, or
// the list of routes.
func (a act) alter(draft *actors.Draft) {
	original := a.d.draft(0)
	route := &draft.Ways[a.IntN(len(original.Ways))]
	one, two := a.d.services[a.IntN(len(a.d.services))], a.d.services[a.IntN(len(a.d.services))]
	switch a.IntN(5) {
	case 0:
		route.Split = map[string]int{one: 1}
	case 1:
		if one != two {
			route.Split = map[string]int{one: 90, two: 10}
		}
	case 2:
		route.Left = route.Left * time.Duration(60+a.IntN(80)) / 100
	case 3:
		a.grow(draft, 1+a.IntN(2))
	default:
		// Restore the original routes and remove the last added one.
		copy(draft.Ways, original.Ways)
		if count := len(draft.Ways); count > len(original.Ways) {
			a.removeRoute(draft.Ways[count-1])
			draft.Ways = draft.Ways[:count-1]
		}
	}
}

// grow adds new routes to a draft.
func (a act) grow(draft *actors.Draft, count int) {
	for range count {
		a.smu.Lock()
		a.extra++
		route := actors.Way{Name: fmt.Sprint("x", a.extra), Host: draft.Ways[0].Host, Prefix: fmt.Sprintf("/x%d-%d/", a.extra, a.IntN(1000)), Repeat: "safe",
			Split: map[string]int{a.d.services[a.IntN(len(a.d.services))]: 1}, Left: time.Second, Aim: 300 * time.Millisecond, Tries: 2, Rank: 2}
		a.added = append(a.added, route)
		a.smu.Unlock()
		draft.Ways = append(draft.Ways, route)
	}
}

func (a act) removeRoute(route actors.Way) {
	a.smu.Lock()
	defer a.smu.Unlock()
	for i, o := range a.added {
		if o.Prefix == route.Prefix {
			a.added = append(a.added[:i], a.added[i+1:]...)
			return
		}
	}
}

// probe sends requests for the given routes and for a path that never had a route
// to a few machines that serve clients.
func (a act) probe(routes ...actors.Way) {
	routes = append(routes, actors.Way{Host: a.draft.Ways[0].Host, Prefix: fmt.Sprintf("/never%d/", a.IntN(1000))})
	for range 4 {
		m := a.all()[a.IntN(len(a.all()))]
		if m.c.Out.Load() {
			continue
		}
		for _, w := range routes {
			line := &actors.Line{Kind: "probe", Host: w.Host, Method: "GET", Prefix: w.Prefix, Repeat: true, Back: 50, Work: ms(10), Left: time.Second}
			a.g.Go("probe", func(ctx context.Context) { m.c.Probe(ctx, line) })
		}
		Wait(a.ms(50, 700))
	}
}

// addedRoutes lists the routes of a draft that an older one lacks.
func addedRoutes(draft, old *actors.Draft) (added []actors.Way) {
	known := map[string]bool{}
	for _, w := range old.Ways {
		known[w.Prefix] = true
	}
	for _, w := range draft.Ways {
		if !known[w.Prefix] {
			added = append(added, w)
		}
	}
	return added
}

var docTroubles = []trouble{
	{"change", none, func(a act) {
		for range 1 + a.IntN(3) {
			old := a.draft
			draft := a.next()
			a.alter(draft)
			accepted := a.op.Send(a.g.Context(), draft, "", "")
			a.say("configuration %d sent, accepted %v", draft.Number, accepted)
			a.probe(append(addedRoutes(draft, old), addedRoutes(old, draft)...)...)
			Wait(a.ms(200, 2500))
		}
	}},
	{"race", none, func(a act) {
		first, second := a.next(), a.next()
		if a.IntN(2) == 0 {
			second.Number = first.Number
		}
		a.alter(first)
		a.alter(second)
		a.say("configurations %d and %d sent at once", first.Number, second.Number)
		done := make(chan struct{}, 2)
		for _, draft := range []*actors.Draft{first, second} {
			a.g.Go("race", func(ctx context.Context) { a.op.Send(ctx, draft, "", ""); done <- struct{}{} })
		}
		<-done
		<-done
		a.probe()
	}},
	{"broken", none, func(a act) {
		for range 1 + a.IntN(3) {
			breakage := actors.Breaks[a.IntN(len(actors.Breaks))]
			draft := a.next()
			a.alter(draft)
			a.say("configuration %d is invalid: %s", draft.Number, breakage.Name)
			a.op.Send(a.g.Context(), draft, breakage.Of(draft), breakage.Name)
			a.probe()
		}
	}},
	{"again", none, func(a act) {
		a.say("an older configuration is sent again")
		a.op.Again(a.g.Context())
	}},
	{"read", none, func(a act) { a.op.Read(a.g.Context(), 3*time.Second, false) }},
	{"big", none, func(a act) {
		draft := a.next()
		a.grow(draft, 30)
		accepted := a.op.Send(a.g.Context(), draft, "", "")
		a.say("configuration %d with 30 more routes sent, accepted %v", draft.Number, accepted)
		a.probe(addedRoutes(draft, a.site.d.draft(0))[:3]...)
	}},
}
