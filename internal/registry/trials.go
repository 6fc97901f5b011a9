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

// ProposalTable is the schema of a proposal's body.
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

// readConfirmed reads the configuration and the trials, confirmed by a majority.
func (r *Registry) readConfirmed(ctx context.Context) (statemachine.Result, error) {
	return r.stores.read(ctx, store.ReadRequest{Kind: "config"})
}

func writeInvalid(w http.ResponseWriter, reason string, problems []schema.Problem) {
	httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: reason, Faults: problems})
}

// proposeTrial starts a trial of one route.
func (r *Registry) proposeTrial(w http.ResponseWriter, req *http.Request) {
	base, err := strconv.ParseUint(req.URL.Query().Get("based_on"), 10, 64)
	if err != nil {
		writeInvalid(w, "based_on must name the version that the proposal is based on", nil)
		return
	}
	fields, ok := readFields(w, req, ProposalTable)
	if !ok {
		return
	}
	content, err := json.Marshal(fields)
	if err != nil {
		writeInvalid(w, err.Error(), nil)
		return
	}
	key := requestKey(w, req, "propose", []byte(operatorOf(req)), []byte(req.URL.Query().Get("based_on")), content)
	if key == nil {
		return
	}
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	if r.writeEarlierResult(ctx, w, key) {
		return
	}
	current, err := r.readConfirmed(ctx)
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	if current.Version != base {
		httpapi.WriteJSON(w, http.StatusConflict, httpapi.ErrorBody{Message: fmt.Sprintf("based on version %d, but %d stands", base, current.Version), Version: current.Version})
		return
	}
	routeName := fields.Text("path")
	change := map[string]any{}
	for _, field := range rules.ArmFields {
		if value, ok := fields[field]; ok {
			change[field] = value
		}
	}
	compiled, _, _ := rules.Compile(base, current.Doc)
	if compiled == nil || compiled.RouteByName(routeName) == nil {
		writeInvalid(w, "there is no such path", []schema.Problem{{Place: "path", Message: fmt.Sprintf("no path %q", routeName)}})
		return
	}
	if rules.IsNoop(current.Doc, routeName, change) {
		writeInvalid(w, "the proposal is what stands already", nil)
		return
	}
	for _, trial := range current.Trials {
		for _, route := range trial.Routes {
			if trial.State == statemachine.Running && route == routeName {
				httpapi.WriteJSON(w, http.StatusConflict, httpapi.ErrorBody{Message: fmt.Sprintf("trial %d runs on the same path", trial.ID), Version: current.Version})
				return
			}
		}
	}
	slice := compiled.JudgeLimits.Number("slice")
	if value, ok := fields["slice"]; ok {
		slice = value.(float64)
	}
	id := current.Number + 1
	doc, err := rules.StartTrial(current.Doc, id, routeName, change, slice)
	if err != nil {
		writeInvalid(w, err.Error(), nil)
		return
	}
	if _, problems, err := rules.Compile(base+1, doc); err != nil || len(problems) > 0 {
		writeInvalid(w, "the proposal can't stand", problems)
		return
	}
	r.startTrial(ctx, w, req, key, &statemachine.Propose{ID: id, Base: base, Doc: doc, Routes: []string{routeName}, Slice: slice, Who: operatorOf(req)})
}

// startTrial proposes a trial and answers the request.
func (r *Registry) startTrial(ctx context.Context, w http.ResponseWriter, req *http.Request, key *store.RequestKey, command *statemachine.Propose) {
	result, err := r.stores.proposeOnce(ctx, "trial.propose", command, key)
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	if result.Code == statemachine.OK {
		r.env.Log.Emit(event.TrialBegan, "trial", result.Number, "version", result.Version, "who", operatorOf(req), "paths", fmt.Sprint(command.Routes))
	}
	writeConfigResult(w, result, command.Routes)
}

// trialResponse returns a trial with the figures it was decided on or, while it runs, the
// current ones.
func (r *Registry) trialResponse(ctx context.Context, trial statemachine.Trial, doc []byte, version uint64) map[string]any {
	response := map[string]any{"trial": trial}
	if trial.State != statemachine.Running {
		var facts any
		if json.Unmarshal(trial.Statistics, &facts) == nil {
			response["figures"] = facts
		}
		return response
	}
	if compiled, _, _ := rules.Compile(version, doc); compiled != nil {
		response["figures"] = r.evaluateTrial(trial, r.collectReports(ctx), judgeBounds(compiled.JudgeLimits))
	}
	return response
}

func (r *Registry) getTrials(w http.ResponseWriter, req *http.Request) {
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	current, err := r.readConfirmed(ctx)
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	id := chi.URLParam(req, "id")
	if id == "" {
		if current.Trials == nil {
			current.Trials = []statemachine.Trial{}
		}
		httpapi.WriteJSON(w, http.StatusOK, map[string]any{"version": current.Version, "trials": current.Trials})
		return
	}
	for _, t := range current.Trials {
		if fmt.Sprint(t.ID) == id {
			body := r.trialResponse(ctx, t, current.Doc, current.Version)
			body["version"] = current.Version
			httpapi.WriteJSON(w, http.StatusOK, body)
			return
		}
	}
	httpapi.WriteJSON(w, http.StatusNotFound, httpapi.ErrorBody{Message: "no such trial"})
}

// drainNode asks a node to drain its workers, or to take requests again.
func (r *Registry) drainNode(w http.ResponseWriter, req *http.Request) {
	node := chi.URLParam(req, "node")
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	r.mu.Lock()
	addr := ""
	if member := r.members.List().Get(node); member != nil && member.Role == "proxy" {
		addr = member.InternalAddr
	}
	r.mu.Unlock()
	if addr == "" {
		httpapi.WriteJSON(w, http.StatusNotFound, httpapi.ErrorBody{Message: "no such node has a session"})
		return
	}
	status, err := transport.Call[proxy.Status](ctx, r.node, addr, "node.drain", proxy.DrainRequest{On: req.URL.Query().Get("undo") != "true"})
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, map[string]any{"node": node, "workers": status.Workers})
}

// activeRoutes returns a function that reports whether any proxy saw requests on a route
// recently.
func activeRoutes(reports []protocol.TrialReport) func(string) bool {
	active := map[string]bool{}
	for _, report := range reports {
		for _, route := range report.ActiveRoutes {
			active[route] = true
		}
	}
	return func(route string) bool { return active[route] }
}
