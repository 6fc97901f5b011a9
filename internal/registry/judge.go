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

// reportKey names one start of one front: its counters begin anew with each.
type reportKey struct{ node, start string }

func (r *Registry) onReports(context.Context, transport.Hello, struct{}) ([]protocol.TrialReport, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []protocol.TrialReport
	for _, s := range r.own {
		out = append(out, protocol.TrialReport{Node: s.f.Node, Start: s.f.Incarnation, Counts: s.tallies, ActiveRoutes: s.live})
	}
	return out, nil
}

// reports gathers what all fronts counted, from all control nodes.
func (r *Registry) reports(ctx context.Context) []protocol.TrialReport {
	ctx, end := context.WithTimeout(ctx, r.Settings.CallTimeout())
	defer end()
	var mu sync.Mutex
	var wait sync.WaitGroup
	out, _ := r.onReports(ctx, transport.Hello{}, struct{}{})
	for _, a := range r.core() {
		if a == r.Settings.InternalAddr {
			continue
		}
		wait.Add(1)
		if !r.g.Go("ask-reports", func(context.Context) {
			defer wait.Done()
			got, err := transport.Call[[]protocol.TrialReport](ctx, r.n, a, "registry.reports", struct{}{})
			if err == nil {
				mu.Lock()
				out = append(out, got...)
				mu.Unlock()
			}
		}) {
			wait.Done()
		}
	}
	wait.Wait()
	return out
}

// judgeBounds reads the judge's bounds from the configuration.
func judgeBounds(v schema.Values) judge.Bounds {
	ms := func(n string) time.Duration { return time.Duration(v.Count(n)) * time.Millisecond }
	return judge.Bounds{MinRequests: uint64(v.Count("least_jobs")), MinAge: ms("least_ms"), MaxAge: ms("most_ms"),
		Risk: v.Number("risk"), MaxFailureIncrease: v.Number("fail_margin"), MaxLatencyRatio: v.Number("slow_ratio"), Quantile: v.Number("quantile")}
}

// weigh sums the reports up for one trial and judges each of its paths.
func (r *Registry) weigh(t statemachine.Trial, all []protocol.TrialReport, b judge.Bounds) []judge.Facts {
	var out []judge.Facts
	for _, path := range t.Routes {
		var old, now judge.Arm
		age := time.Duration(0)
		for _, rep := range all {
			for _, y := range rep.Counts {
				if y.Trial != t.ID || y.Route != path {
					continue
				}
				if y.Arm == "new" {
					now.Add(y)
				} else {
					old.Add(y)
				}
				age = max(age, time.Duration(y.AgeMS)*time.Millisecond)
			}
		}
		out = append(out, judge.Evaluate(path, old, now, age, b))
	}
	return out
}

// judge is the role that ends trials. It goes on from the reports of the
// standing sessions, so a judge that takes over half-way needs nothing from
// the one before.
func (r *Registry) judge(ctx context.Context, num ballot.Number) {
	r.mu.Lock()
	rl, trials := r.rules, r.trials
	run := []statemachine.Trial{}
	for _, t := range trials {
		if t.State == statemachine.Running {
			run = append(run, t)
		}
	}
	// Without a trial nothing needs to be remembered of fronts that are gone.
	if len(run) == 0 {
		r.seenOf = map[reportKey]protocol.TrialReport{}
	}
	due := len(run) > 0 && time.Since(r.looked) >= r.Settings.ConfigBound/2
	if due {
		r.looked = time.Now()
	}
	r.mu.Unlock()
	if !due || rl == nil {
		return
	}
	now := map[reportKey]protocol.TrialReport{}
	r.mu.Lock()
	// A front that died keeps what it counted: its start never counts again.
	for _, rep := range r.seenOf {
		now[reportKey{rep.Node, rep.Start}] = rep
	}
	r.mu.Unlock()
	for _, rep := range r.reports(ctx) {
		k := reportKey{rep.Node, rep.Start}
		// A front that changed its control node is in two lists for a moment;
		// the higher count is the newer.
		if requestsOf(rep) >= requestsOf(now[k]) {
			now[k] = rep
		}
	}
	var all []protocol.TrialReport
	for _, rep := range now {
		all = append(all, rep)
	}
	r.mu.Lock()
	r.seenOf = now
	r.mu.Unlock()
	for _, t := range run {
		r.decide(ctx, t, r.weigh(t, all, judgeBounds(rl.JudgeLimits)), num, rl)
	}
}

func requestsOf(r protocol.TrialReport) uint64 {
	n := uint64(0)
	for _, t := range r.Counts {
		n += t.Done + t.Failed + t.Unknown + t.Refused + 1
	}
	return n
}

// decide ends a trial when every path is good, or one is bad. The decision
// carries the judge's ballot and the version it is based on, so it is taken
// once, whoever else tries.
func (r *Registry) decide(ctx context.Context, t statemachine.Trial, facts []judge.Facts, num ballot.Number, rl *rules.Rules) {
	word, why := judge.Promote, "every path of the change is good"
	for _, f := range facts {
		if f.Verdict == judge.HoldBack {
			word, why = judge.HoldBack, f.Route+": "+f.Reason
			break
		}
		if f.Verdict == judge.Wait {
			word = judge.Wait
		}
	}
	if word == judge.Wait {
		return
	}
	if word == judge.Promote && len(facts) == 1 {
		why = facts[0].Reason
	}
	state := statemachine.Promoted
	if word == judge.HoldBack {
		state = statemachine.HeldBack
	}
	doc, err := rules.FinishTrial(rl.Doc, t.ID, state == statemachine.Promoted)
	if err != nil {
		return
	}
	raw, err := json.Marshal(facts)
	if err != nil {
		return
	}
	ctx, end := context.WithTimeout(ctx, r.Settings.ConfigBound)
	defer end()
	got, err := r.stores.propose(ctx, "trial.decide", &statemachine.Decide{ID: t.ID, Ballot: num, Base: rl.Version, Doc: doc, State: state, Why: why, Who: "judge", Statistics: raw})
	if err != nil || got.Code != statemachine.OK {
		// Looked at again at the next beat, on what then stands.
		return
	}
	kind := event.TrialPromoted
	if state == statemachine.HeldBack {
		kind = event.TrialHeldBack
	}
	r.e.Log.Emit(kind, "trial", t.ID, "version", got.Version, "why", why)
}
