package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"puffincrank/internal/event"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/protocol"
	"puffincrank/internal/proxy"
	"puffincrank/internal/rules"
	"puffincrank/internal/schema"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/store"
	"puffincrank/internal/transport"
)

// ProposalTable is the body of a proposal.
var ProposalTable = schema.Table{Name: "propose", Fields: []schema.Field{
	{Name: "path", Type: schema.Text, Required: true, Check: schema.IsName, Rule: "a path in force", Help: "the path to change"},
	{Name: "slice", Type: schema.Number, Check: schema.FloatRange(0.1, 50), Rule: "0.1 to 50", Help: "percent of its jobs; the judge's slice when left out"},
	{Name: "service", Type: schema.Text, Check: schema.IsName, Rule: "one of services", Help: "the new service, in place of a split too"},
	{Name: "split", Type: schema.Objects, Rule: "one weight over 0", Help: "the new split, in place of a service too"},
	{Name: "class", Type: schema.Text, Check: schema.IsName, Rule: "one of classes", Help: "the new class"},
	{Name: "rank", Type: schema.Count, Check: schema.IntRange(0, 1000), Rule: "0 to 1000", Help: "the new rank"},
	{Name: "left_ms", Type: schema.Duration, Check: schema.IntRange(1, 3600_000), Rule: "1 to 3600000", Help: "the new time left"},
	{Name: "aim_ms", Type: schema.Duration, Check: schema.IntRange(1, 3600_000), Rule: "1 to 3600000", Help: "the new aim"},
	{Name: "repeat", Type: schema.Text, Check: schema.OneOf("never", "safe", "upload", "download"), Rule: "never, safe, upload or download", Help: "the new word on repeats"},
	{Name: "tries", Type: schema.Count, Check: schema.IntRange(1, 1000), Rule: "1 to 1000", Help: "the new sends at the most"},
}}

// confirmed reads the configuration and the trials with a majority.
func (r *Registry) confirmed(ctx context.Context) (statemachine.Result, error) {
	return r.stores.read(ctx, store.ReadRequest{Kind: "config"})
}

func answerWrong(w http.ResponseWriter, why string, bad []schema.Problem) {
	httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: why, Faults: bad})
}

// propose begins a trial of one path.
func (r *Registry) propose(w http.ResponseWriter, req *http.Request) {
	base, err := strconv.ParseUint(req.URL.Query().Get("based_on"), 10, 64)
	if err != nil {
		answerWrong(w, "based_on must name the version that the proposal is based on", nil)
		return
	}
	v, ok := readFields(w, req, ProposalTable)
	if !ok {
		return
	}
	content, err := json.Marshal(v)
	if err != nil {
		answerWrong(w, err.Error(), nil)
		return
	}
	key := requestKey(w, req, "propose", []byte(operatorOf(req)), []byte(req.URL.Query().Get("based_on")), content)
	if key == nil {
		return
	}
	ctx, end := r.withDeadline(req)
	defer end()
	if r.answerEarlier(ctx, w, key) {
		return
	}
	now, err := r.confirmed(ctx)
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	if now.Version != base {
		httpapi.WriteJSON(w, http.StatusConflict, httpapi.ErrorBody{Message: fmt.Sprintf("based on version %d, but %d stands", base, now.Version), Version: now.Version})
		return
	}
	path := v.Text("path")
	change := map[string]any{}
	for _, f := range rules.ArmFields {
		if x, ok := v[f]; ok {
			change[f] = x
		}
	}
	standing, _, _ := rules.Compile(base, now.Doc)
	if standing == nil || standing.RouteByName(path) == nil {
		answerWrong(w, "there is no such path", []schema.Problem{{Place: "path", Message: fmt.Sprintf("no path %q", path)}})
		return
	}
	if rules.IsNoop(now.Doc, path, change) {
		answerWrong(w, "the proposal is what stands already", nil)
		return
	}
	for _, t := range now.Trials {
		for _, p := range t.Routes {
			if t.State == statemachine.Running && p == path {
				httpapi.WriteJSON(w, http.StatusConflict, httpapi.ErrorBody{Message: fmt.Sprintf("trial %d runs on the same path", t.ID), Version: now.Version})
				return
			}
		}
	}
	slice := standing.JudgeLimits.Number("slice")
	if x, ok := v["slice"]; ok {
		slice = x.(float64)
	}
	id := now.Number + 1
	doc, err := rules.StartTrial(now.Doc, id, path, change, slice)
	if err != nil {
		answerWrong(w, err.Error(), nil)
		return
	}
	if _, bad, err := rules.Compile(base+1, doc); err != nil || len(bad) > 0 {
		answerWrong(w, "the proposal can't stand", bad)
		return
	}
	r.begin(ctx, w, req, key, &statemachine.Propose{ID: id, Base: base, Doc: doc, Routes: []string{path}, Slice: slice, Who: operatorOf(req)})
}

// begin offers a trial and answers.
func (r *Registry) begin(ctx context.Context, w http.ResponseWriter, req *http.Request, key *store.RequestKey, c *statemachine.Propose) {
	got, err := r.stores.proposeOnce(ctx, "trial.propose", c, key)
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	if got.Code == statemachine.OK {
		r.e.Log.Emit(event.TrialBegan, "trial", got.Number, "version", got.Version, "who", operatorOf(req), "paths", fmt.Sprint(c.Routes))
	}
	answerOrder(w, got, c.Routes)
}

// trialBody shows a trial with the figures that decided, or those so far.
func (r *Registry) trialBody(ctx context.Context, t statemachine.Trial, doc []byte, version uint64) map[string]any {
	out := map[string]any{"trial": t}
	if t.State != statemachine.Running {
		var facts any
		if json.Unmarshal(t.Statistics, &facts) == nil {
			out["figures"] = facts
		}
		return out
	}
	if rl, _, _ := rules.Compile(version, doc); rl != nil {
		out["figures"] = r.weigh(t, r.reports(ctx), judgeBounds(rl.JudgeLimits))
	}
	return out
}

func (r *Registry) getTrials(w http.ResponseWriter, req *http.Request) {
	ctx, end := r.withDeadline(req)
	defer end()
	now, err := r.confirmed(ctx)
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	raw := chi.URLParam(req, "id")
	if raw == "" {
		if now.Trials == nil {
			now.Trials = []statemachine.Trial{}
		}
		httpapi.WriteJSON(w, http.StatusOK, map[string]any{"version": now.Version, "trials": now.Trials})
		return
	}
	for _, t := range now.Trials {
		if fmt.Sprint(t.ID) == raw {
			body := r.trialBody(ctx, t, now.Doc, now.Version)
			body["version"] = now.Version
			httpapi.WriteJSON(w, http.StatusOK, body)
			return
		}
	}
	httpapi.WriteJSON(w, http.StatusNotFound, httpapi.ErrorBody{Message: "no such trial"})
}

// drain tells a node to drain its workers, or to take jobs again.
func (r *Registry) drain(w http.ResponseWriter, req *http.Request) {
	node := chi.URLParam(req, "node")
	ctx, end := r.withDeadline(req)
	defer end()
	r.mu.Lock()
	at := ""
	if f := r.roll.List().Get(node); f != nil && f.Role == "proxy" {
		at = f.InternalAddr
	}
	r.mu.Unlock()
	if at == "" {
		httpapi.WriteJSON(w, http.StatusNotFound, httpapi.ErrorBody{Message: "no such node has a session"})
		return
	}
	got, err := transport.Call[proxy.Status](ctx, r.n, at, "node.drain", proxy.DrainRequest{On: req.URL.Query().Get("undo") != "true"})
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, map[string]any{"node": node, "workers": got.Workers})
}

// liveReports tells which paths had jobs lately, by all fronts.
func liveReports(all []protocol.TrialReport) func(string) bool {
	set := map[string]bool{}
	for _, rep := range all {
		for _, p := range rep.ActiveRoutes {
			set[p] = true
		}
	}
	return func(p string) bool { return set[p] }
}
