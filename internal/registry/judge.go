package registry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/judge"
	"puffincrank/internal/protocol"
	"puffincrank/internal/rules"
	"puffincrank/internal/schema"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/transport"
)

// reportKey identifies one incarnation of a proxy: counters restart at zero with each
// incarnation.
type reportKey struct{ node, incarnation string }

func (r *Registry) onTrialReports(context.Context, transport.Hello, struct{}) ([]protocol.TrialReport, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reports []protocol.TrialReport
	for _, s := range r.sessions {
		reports = append(reports, protocol.TrialReport{Node: s.member.Node, Incarnation: s.member.Incarnation, Counts: s.trialCounts, ActiveRoutes: s.activeRoutes})
	}
	return reports, nil
}

// collectReports gathers the trial counters of all proxies from all control nodes.
func (r *Registry) collectReports(ctx context.Context) []protocol.TrialReport {
	ctx, cancel := context.WithTimeout(ctx, r.Settings.CallTimeout())
	defer cancel()
	var mu sync.Mutex
	var pending sync.WaitGroup
	reports, _ := r.onTrialReports(ctx, transport.Hello{}, struct{}{})
	for _, addr := range r.controlNodes() {
		if addr == r.Settings.InternalAddr {
			continue
		}
		pending.Add(1)
		if !r.group.Go("ask-reports", func(context.Context) {
			defer pending.Done()
			peerReports, err := transport.Call[[]protocol.TrialReport](ctx, r.node, addr, "registry.reports", struct{}{})
			if err == nil {
				mu.Lock()
				reports = append(reports, peerReports...)
				mu.Unlock()
			}
		}) {
			pending.Done()
		}
	}
	pending.Wait()
	return reports
}

// judgeBounds reads the judge's bounds from the configuration.
func judgeBounds(fields schema.Values) judge.Bounds {
	millis := func(name string) time.Duration { return time.Duration(fields.Count(name)) * time.Millisecond }
	return judge.Bounds{MinRequests: uint64(fields.Count("least_jobs")), MinAge: millis("least_ms"), MaxAge: millis("most_ms"),
		Risk: fields.Number("risk"), MaxFailureIncrease: fields.Number("fail_margin"), MaxLatencyRatio: fields.Number("slow_ratio"), Quantile: fields.Number("quantile")}
}

// evaluateTrial sums up the reports for one trial and evaluates each of its routes.
func (r *Registry) evaluateTrial(trial statemachine.Trial, reports []protocol.TrialReport, bounds judge.Bounds) []judge.Facts {
	var facts []judge.Facts
	for _, route := range trial.Routes {
		var oldArm, newArm judge.Arm
		age := time.Duration(0)
		for _, report := range reports {
			for _, counts := range report.Counts {
				if counts.Trial != trial.ID || counts.Route != route {
					continue
				}
				if counts.Arm == "new" {
					newArm.Add(counts)
				} else {
					oldArm.Add(counts)
				}
				age = max(age, time.Duration(counts.AgeMS)*time.Millisecond)
			}
		}
		facts = append(facts, judge.Evaluate(route, oldArm, newArm, age, bounds))
	}
	return facts
}

// judgeTrials does the work of the judge, the role that ends trials. It works from the
// reports that proxies send with their sessions, so a judge that takes over during a trial
// needs nothing from its predecessor.
func (r *Registry) judgeTrials(ctx context.Context, number ballot.Number) {
	r.mu.Lock()
	compiled, trials := r.rules, r.trials
	running := []statemachine.Trial{}
	for _, trial := range trials {
		if trial.State == statemachine.Running {
			running = append(running, trial)
		}
	}
	// While no trial runs, the reports of proxies that are gone are not needed.
	if len(running) == 0 {
		r.latestReports = map[reportKey]protocol.TrialReport{}
	}
	due := len(running) > 0 && time.Since(r.lastJudged) >= r.Settings.ConfigBound/2
	if due {
		r.lastJudged = time.Now()
	}
	r.mu.Unlock()
	if !due || compiled == nil {
		return
	}
	newest := map[reportKey]protocol.TrialReport{}
	r.mu.Lock()
	// The counts of a proxy that died are kept: that incarnation never reports again.
	for _, report := range r.latestReports {
		newest[reportKey{report.Node, report.Incarnation}] = report
	}
	r.mu.Unlock()
	for _, report := range r.collectReports(ctx) {
		key := reportKey{report.Node, report.Incarnation}
		// A proxy that changed its control node is reported by both for a moment; the
		// report with the higher count is the newer one.
		if requestCount(report) >= requestCount(newest[key]) {
			newest[key] = report
		}
	}
	var reports []protocol.TrialReport
	for _, report := range newest {
		reports = append(reports, report)
	}
	r.mu.Lock()
	r.latestReports = newest
	r.mu.Unlock()
	for _, trial := range running {
		r.decideTrial(ctx, trial, r.evaluateTrial(trial, reports, judgeBounds(compiled.JudgeLimits)), number, compiled)
	}
}

func requestCount(report protocol.TrialReport) uint64 {
	count := uint64(0)
	for _, arm := range report.Counts {
		count += arm.Done + arm.Failed + arm.Unknown + arm.Refused + 1
	}
	return count
}

// decideTrial ends a trial when every route is good or one is bad. The decision carries the
// judge's ballot and the version it is based on, so it is committed at most once, even when
// several nodes try.
func (r *Registry) decideTrial(ctx context.Context, trial statemachine.Trial, facts []judge.Facts, number ballot.Number, compiled *rules.Rules) {
	verdict, reason := judge.Promote, "every path of the change is good"
	for _, f := range facts {
		if f.Verdict == judge.HoldBack {
			verdict, reason = judge.HoldBack, f.Route+": "+f.Reason
			break
		}
		if f.Verdict == judge.Wait {
			verdict = judge.Wait
		}
	}
	if verdict == judge.Wait {
		return
	}
	if verdict == judge.Promote && len(facts) == 1 {
		reason = facts[0].Reason
	}
	state := statemachine.Promoted
	if verdict == judge.HoldBack {
		state = statemachine.HeldBack
	}
	doc, err := rules.FinishTrial(compiled.Doc, trial.ID, state == statemachine.Promoted)
	if err != nil {
		return
	}
	raw, err := json.Marshal(facts)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.Settings.ConfigBound)
	defer cancel()
	result, err := r.stores.propose(ctx, "trial.decide", &statemachine.Decide{ID: trial.ID, Ballot: number, Base: compiled.Version, Doc: doc, State: state, Why: reason, Who: "judge", Statistics: raw})
	if err != nil || result.Code != statemachine.OK {
		// The next heartbeat evaluates the trial again, on the version then in force.
		return
	}
	kind := event.TrialPromoted
	if state == statemachine.HeldBack {
		kind = event.TrialHeldBack
	}
	r.env.Log.Emit(kind, "trial", trial.ID, "version", result.Version, "why", reason)
}
