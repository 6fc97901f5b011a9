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

// Execute runs the load and the plan, stops all processes and prints the report. It
// returns whether no guarantee was violated and all processes ended as expected.
func (r *Run) Execute(plan string, duration time.Duration, coordinationRate float64) bool {
	environment := env.Real("callers")
	environment.Log = event.New("callers", nil)
	callers := standin.NewCallers(environment, r.IngressAddrs(), r.Observer, 15*time.Second)
	apps := standin.NewCoordinationCallers(environment, r.APIAddrs(), r.Observer)
	// Like the platform, this polls readiness every second and excludes nodes that are not
	// ready from new calls.
	var unready sync.Map
	r.tasks.Every("platform", time.Second, func(context.Context) {
		for _, n := range r.Nodes {
			r.tasks.Go("poll-ready", func(context.Context) {
				code, _ := r.Get("GET", n.Host+":7003", "/puffin/ready", "")
				unready.Store(n.Host+":8000", code != 200)
				unready.Store(n.Host+":7003", code != 200)
			})
		}
		for _, c := range r.ControlMachines {
			r.tasks.Go("poll-ready", func(context.Context) {
				code, _ := r.Get("GET", c.Host+":7003", "/puffin/ready", "")
				unready.Store(c.Host+":7003", code != 200)
			})
		}
	})
	callers.Skip = func(address string) bool {
		skipped, _ := unready.Load(address)
		return skipped == true
	}
	apps.Skip = callers.Skip
	finished := make(chan struct{}, 2)
	r.tasks.Go("callers", func(context.Context) { callers.Run(r.Shape.Lines, duration); finished <- struct{}{} })
	r.tasks.Go("apps", func(context.Context) { apps.Run(14, coordinationRate, duration); finished <- struct{}{} })
	begin := time.Now()
	r.RunPlan(plan, duration)
	<-finished
	<-finished
	took := time.Since(begin)
	_, status := r.Get("GET", r.ControlMachines[0].Host+":7003", "/puffin/status", "")
	converged := r.Converged()
	stopFailures := r.Stop()
	return r.report(plan, took, apps, status, converged, stopFailures)
}

func (r *Run) report(plan string, took time.Duration, apps *standin.CoordinationCallers, status map[string]any, converged bool, stopFailures []string) bool {
	print := func(format string, args ...any) { fmt.Fprintf(r.out, format+"\n", args...) }
	violations, notes := r.Observer.Violations()
	passed := len(stopFailures) == 0 && converged && len(r.failures) == 0
	print("\n## plan %s, %.0f s", plan, took.Seconds())
	print("\n| what must never happen | seen |\n| --- | --- |")
	for _, k := range append(append([]string(nil), standin.ViolationKinds...), standin.CoordinationViolations...) {
		print("| %s | %d |", k, violations[k])
		passed = passed && violations[k] == 0
	}
	for _, note := range notes {
		print("    %s", note)
	}
	for _, failure := range r.failures {
		print("not as it should: %s", failure)
	}
	for _, failure := range stopFailures {
		print("not a polite end: %s", failure)
	}
	print("\nall nodes ready and replicas whole at the end: %v", converged)
	counts := r.Observer.Counts()
	print("\n| calls | done | busy, not run | unknown | no answer | runs |\n| --- | --- | --- | --- | --- | --- |")
	print("| %d | %d | %d | %d | %d | %d |", counts["calls"], counts["done"], counts["busy"], counts["unknown"], counts["no answer"], counts["runs"])
	print("\n| service | p50 ms | p90 ms | p99 ms |\n| --- | --- | --- | --- |")
	busySeconds := 0.0
	for _, s := range r.Shape.Services {
		print("| %s | %.1f | %.1f | %.1f |", s, millis(r.Observer.Latency(s, 0.5)), millis(r.Observer.Latency(s, 0.9)), millis(r.Observer.Latency(s, 0.99)))
		busySeconds += float64(r.Observer.Executions(s)) * r.Shape.ServiceTimes[s].Seconds()
	}
	sameZone, done, bytesBetweenZones := 0.0, 0.0, 0.0
	for _, kind := range []string{"proxies", "registries"} {
		list, _ := status[kind].([]any)
		for _, entry := range list {
			process, _ := entry.(map[string]any)
			bytes, _ := process["bytes_sent_to_other_areas"].(float64)
			bytesBetweenZones += bytes
			requests, _ := process["jobs"].(map[string]any)
			sameZoneDone, _ := requests["Near"].(float64)
			requestsDone, _ := requests["Done"].(float64)
			sameZone, done = sameZone+sameZoneDone, done+requestsDone
		}
	}
	if done > 0 {
		print("\nshare of jobs done by a worker of the front's own area: %.3f", sameZone/done)
		print("bytes between areas for each job, proxies and registries: %.0f", bytesBetweenZones/done)
	}
	print("room used, middle time × runs over slots × time: %.3f", busySeconds/(float64(r.Shape.Slots*len(r.Nodes))*took.Seconds()))
	cpu := map[string]time.Duration{}
	for _, node := range r.Nodes {
		cpu["proxy"] += node.Proxy.CPU()
	}
	for _, machine := range r.ControlMachines {
		cpu["registry"] += machine.Registry.CPU()
		cpu["store"] += machine.Store.CPU()
	}
	for _, k := range []string{"proxy", "registry", "store"} {
		print("processor time of all %s processes: %.2f s (%.2f ms for each job done)", k, cpu[k].Seconds(), millis(cpu[k])/float64(max(counts["done"], 1)))
	}
	var names []string
	for k := range apps.Outcomes {
		names = append(names, k)
	}
	sort.Strings(names)
	print("\n| coordination call and status | count |\n| --- | --- |")
	for _, k := range names {
		print("| %s | %d |", k, apps.Outcomes[k])
	}
	if passed {
		print("\nno violation")
	} else {
		print("\nVIOLATION or an end that was not clean")
	}
	return passed
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
