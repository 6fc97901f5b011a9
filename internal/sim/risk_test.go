package sim

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// The columns of the table in docs/promises.md.
const (
	workerDies   = "worker dies, replaced, address passes"
	workerBad    = "worker slow, garbles, loses"
	nodeKilled   = "node killed, many at once"
	nodeFrozen   = "node frozen"
	nodeCut      = "node cut off"
	coreKilled   = "core machine killed, power, disk lost"
	coreFrozen   = "core frozen"
	coreCut      = "core cut, one way"
	diskBad      = "disk slow, full"
	clocksJump   = "clocks jump"
	changesRace  = "changes race, broken, old"
	plannedStops = "planned stops"
)

// exposure counts what a fault at a given moment could harm.
type exposure struct {
	at                                         time.Time
	requests, locks, acknowledged, left, calls int
	retries                                    float64
}

// countExposure counts what a fault could harm now.
func (p *plan) countExposure() exposure {
	s := exposure{at: time.Now(), locks: p.apps.HeldLocks(), acknowledged: p.f.Observer.AckedVersions(), calls: p.apps.Succeeded()}
	p.mu.Lock()
	s.left = p.departed
	p.mu.Unlock()
	for _, n := range p.f.Nodes {
		proxy, worker := p.f.processesOf(n)
		if worker != nil {
			s.requests += worker.Executing()
		}
		if proxy != nil {
			s.retries += float64(proxy.RetriesRequested())
		}
	}
	return s
}

// risks counts, by fault and guarantee, how often a fault could have broken it.
type risks map[string]map[string]int

func (r risks) add(fault string, before, after exposure, s *faultStep) {
	if r[fault] == nil {
		r[fault] = map[string]int{}
	}
	counts := r[fault]
	// A request in progress when the fault occurs may run twice, be answered busy
	// after it ran, get a wrong or partial response, or reach another worker at a
	// reused address.
	for _, promise := range []string{"never runs twice", "busy means not run", "success is whole and one's own", "nothing to a stranger"} {
		counts[promise] += before.requests
	}
	counts["no new job 2 s after leaving"] += max(after.left-before.left, 0)
	counts["nobody in touch acts on an older version; none steps back"] += after.acknowledged - before.acknowledged
	if s.affectsControlPlane || fault == changesRace {
		counts["broken ones refused, acknowledged ones kept"] += before.acknowledged
	}
	counts["repeats within the bound"] += int(max(after.retries-before.retries, 0))
	counts["locks, numbers, revisions"] += before.locks + after.locks
	counts["no old read; watches whole"] += after.calls - before.calls
	if fault == plannedStops {
		counts["planned stops cut nothing"] += before.requests
	}
	if s.restarts {
		counts["service back within 15 s"]++
	}
}

// affectsNodes reports whether the fault affects nodes or workers.
func (s *faultStep) affectsNodes() bool {
	return !s.affectsControlPlane && s.fault != changesRace
}

func (r risks) join(other risks) {
	for f, m := range other {
		if r[f] == nil {
			r[f] = map[string]int{}
		}
		for p, n := range m {
			r[f][p] += n
		}
	}
}

func (r risks) String() string {
	var faults []string
	seen := map[string]bool{}
	for f, m := range r {
		faults = append(faults, f)
		for p := range m {
			seen[p] = true
		}
	}
	sort.Strings(faults)
	var promises []string
	for p := range seen {
		promises = append(promises, p)
	}
	sort.Strings(promises)
	var table strings.Builder
	fmt.Fprintf(&table, "| promise | %s |\n|%s\n", strings.Join(faults, " | "), strings.Repeat(" --- |", len(faults)+1))
	for _, p := range promises {
		fmt.Fprintf(&table, "| %s |", p)
		for _, f := range faults {
			fmt.Fprintf(&table, " %d |", r[f][p])
		}
		table.WriteString("\n")
	}
	return table.String()
}
