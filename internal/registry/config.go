package registry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"puffincrank/internal/event"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/rules"
	"puffincrank/internal/schema"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/store"
)

// putConfig puts a whole document in force, based on a version. Routes that carry traffic
// and would lead elsewhere go through a trial first; all other changes apply at once. In an
// emergency everything applies at once.
func (r *Registry) putConfig(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	if query.Get("by") == "number" {
		r.putNumberedConfig(w, req)
		return
	}
	base, err := strconv.ParseUint(query.Get("based_on"), 10, 64)
	if err != nil {
		writeInvalid(w, "based_on must name the version that the document is based on", nil)
		return
	}
	raw, compiled := r.readDocument(w, req)
	if compiled == nil {
		return
	}
	emergency := query.Get("emergency") == "true"
	key := requestKey(w, req, "config", []byte(operatorOf(req)), []byte(query.Get("based_on")), []byte(query.Get("emergency")), raw)
	if key == nil {
		return
	}
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	if r.writeEarlierResult(ctx, w, key) {
		return
	}
	if !emergency && base > 0 {
		current, err := r.readConfirmed(ctx)
		if err != nil {
			r.writeStoreError(w, err)
			return
		}
		if current.Version == base && r.startRouteTrials(ctx, w, req, key, current, raw) {
			return
		}
	}
	reason := "applied whole"
	if emergency {
		reason = "applied whole as an emergency"
	}
	result, err := r.stores.proposeOnce(ctx, "config.set", &statemachine.SetConfig{Base: base, Doc: raw, Who: operatorOf(req), Why: reason, Emergency: emergency}, key)
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	if result.Code == statemachine.OK && emergency {
		r.env.Log.Emit(event.EmergencyChange, "version", result.Version, "who", operatorOf(req))
	}
	if result.Code == statemachine.OK {
		r.env.Log.Emit(event.ConfigAcknowledged, "version", result.Version, "who", operatorOf(req))
	}
	writeConfigResult(w, result, nil)
}

// startRouteTrials starts a trial of the routes that carry traffic and that the document
// changes. It returns false, without having answered, when there are none.
func (r *Registry) startRouteTrials(ctx context.Context, w http.ResponseWriter, req *http.Request, key *store.RequestKey, current statemachine.Result, raw []byte) bool {
	for _, t := range current.Trials {
		if t.State == statemachine.Running {
			httpapi.WriteJSON(w, http.StatusConflict, httpapi.ErrorBody{Message: fmt.Sprintf("trial %d runs: wait, abort it, or apply as an emergency", t.ID), Version: current.Version})
			return true
		}
	}
	doc, routes, err := rules.PlanTrials(current.Doc, raw, current.Number+1, activeRoutes(r.collectReports(ctx)))
	if err != nil || len(routes) == 0 {
		return false
	}
	compiled, problems, err := rules.Compile(current.Version+1, doc)
	if err != nil || len(problems) > 0 {
		writeInvalid(w, "a path with traffic is rehearsed first, and its old arm needs what the document drops; keep that until the trial ends, or apply as an emergency", problems)
		return true
	}
	r.startTrial(ctx, w, req, key, &statemachine.Propose{ID: current.Number + 1, Base: current.Version, Doc: doc, Routes: routes, Slice: compiled.JudgeLimits.Number("slice"), Who: operatorOf(req)})
	return true
}

func operatorOf(req *http.Request) string {
	if name := req.URL.Query().Get("who"); name != "" && len(name) <= 64 {
		return name
	}
	return "operator"
}

func (r *Registry) getHistory(w http.ResponseWriter, req *http.Request) {
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	from, _ := strconv.ParseUint(req.URL.Query().Get("version"), 10, 64)
	result, err := r.stores.read(ctx, store.ReadRequest{Kind: "history", From: from})
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	type row struct {
		statemachine.Config
		Doc any `json:"document,omitempty"`
	}
	rows := []row{}
	for _, c := range result.Configs {
		line := row{Config: c}
		if from > 0 {
			line.Doc, _, _ = schema.Parse(c.Doc)
		}
		rows = append(rows, line)
	}
	httpapi.WriteJSON(w, http.StatusOK, map[string]any{"version": result.Version, "history": rows})
}
