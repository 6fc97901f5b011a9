package fleetrun

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/standin"
)

// Go runs the load and the plan, stops the fleet and prints the report. The
// result tells whether nothing that must never happen was seen.
func (r *Run) Go(plan string, long time.Duration, coord float64) bool {
	e := env.Real("callers")
	e.Log = event.New("callers", nil)
	callers := standin.NewCallers(e, r.Fronts(), r.Obs, 15*time.Second)
	apps := standin.NewCoord(e, r.Outers(), r.Obs)
	// As the platform does: readiness is polled every second, and callers
	// leave out whoever isn't ready.
	var away sync.Map
	r.g.Every("platform", time.Second, func(context.Context) {
		for _, n := range r.Nodes {
			r.g.Go("poll-ready", func(context.Context) {
				code, _ := r.Get("GET", n.Host+":7003", "/puffin/ready", "")
				away.Store(n.Host+":8000", code != 200)
				away.Store(n.Host+":7003", code != 200)
			})
		}
		for _, c := range r.Cores {
			r.g.Go("poll-ready", func(context.Context) {
				code, _ := r.Get("GET", c.Host+":7003", "/puffin/ready", "")
				away.Store(c.Host+":7003", code != 200)
			})
		}
	})
	callers.Skip = func(front string) bool {
		off, _ := away.Load(front)
		return off == true
	}
	apps.Skip = callers.Skip
	over := make(chan struct{}, 2)
	r.g.Go("callers", func(context.Context) { callers.Run(r.S.Lines, long); over <- struct{}{} })
	r.g.Go("apps", func(context.Context) { apps.Run(14, coord, long); over <- struct{}{} })
	from := time.Now()
	r.Play(plan, long)
	<-over
	<-over
	took := time.Since(from)
	_, fleet := r.Get("GET", r.Cores[0].Host+":7003", "/puffin/status", "")
	whole := r.Whole()
	late := r.Down()
	return r.report(plan, took, apps, fleet, whole, late)
}

func (r *Run) report(plan string, took time.Duration, apps *standin.Coord, fleet map[string]any, whole bool, late []string) bool {
	p := func(form string, args ...any) { fmt.Fprintf(r.out, form+"\n", args...) }
	bad, notes := r.Obs.Verdict()
	good := len(late) == 0 && whole && len(r.missed) == 0
	p("\n## plan %s, %.0f s", plan, took.Seconds())
	p("\n| what must never happen | seen |\n| --- | --- |")
	for _, k := range append(append([]string(nil), standin.Kinds...), standin.CoordKinds...) {
		p("| %s | %d |", k, bad[k])
		good = good && bad[k] == 0
	}
	for _, n := range notes {
		p("    %s", n)
	}
	for _, n := range r.missed {
		p("not as it should: %s", n)
	}
	for _, n := range late {
		p("not a polite end: %s", n)
	}
	p("\nall nodes ready and replicas whole at the end: %v", whole)
	n := r.Obs.Counts()
	p("\n| calls | done | busy, not run | unknown | no answer | runs |\n| --- | --- | --- | --- | --- | --- |")
	p("| %d | %d | %d | %d | %d | %d |", n["calls"], n["done"], n["busy"], n["unknown"], n["no answer"], n["runs"])
	p("\n| service | p50 ms | p90 ms | p99 ms |\n| --- | --- | --- | --- |")
	room := 0.0
	for _, s := range r.S.Services {
		p("| %s | %.1f | %.1f | %.1f |", s, ms(r.Obs.Latency(s, 0.5)), ms(r.Obs.Latency(s, 0.9)), ms(r.Obs.Latency(s, 0.99)))
		room += float64(r.Obs.Runs(s)) * r.S.Took[s].Seconds()
	}
	near, done, away := 0.0, 0.0, 0.0
	for _, kind := range []string{"proxies", "registries"} {
		list, _ := fleet[kind].([]any)
		for _, one := range list {
			m, _ := one.(map[string]any)
			b, _ := m["bytes_sent_to_other_areas"].(float64)
			away += b
			c, _ := m["jobs"].(map[string]any)
			x, _ := c["Near"].(float64)
			y, _ := c["Done"].(float64)
			near, done = near+x, done+y
		}
	}
	if done > 0 {
		p("\nshare of jobs done by a worker of the front's own area: %.3f", near/done)
		p("bytes between areas for each job, proxies and registries: %.0f", away/done)
	}
	p("room used, middle time × runs over slots × time: %.3f", room/(float64(r.S.Slots*len(r.Nodes))*took.Seconds()))
	cpu := map[string]time.Duration{}
	for _, x := range r.Nodes {
		cpu["proxy"] += x.Proxy.CPU()
	}
	for _, c := range r.Cores {
		cpu["registry"] += c.Registry.CPU()
		cpu["store"] += c.Store.CPU()
	}
	for _, k := range []string{"proxy", "registry", "store"} {
		p("processor time of all %s processes: %.2f s (%.2f ms for each job done)", k, cpu[k].Seconds(), ms(cpu[k])/float64(max(n["done"], 1)))
	}
	var names []string
	for k := range apps.Done {
		names = append(names, k)
	}
	sort.Strings(names)
	p("\n| coordination call and status | count |\n| --- | --- |")
	for _, k := range names {
		p("| %s | %d |", k, apps.Done[k])
	}
	if good {
		p("\nno violation")
	} else {
		p("\nVIOLATION or an end that was not clean")
	}
	return good
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
