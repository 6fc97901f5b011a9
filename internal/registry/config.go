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

// putConfig takes a whole document, based on a version. Paths that carry
// traffic and would go elsewhere are rehearsed; the rest applies at once, and
// all of it does in an emergency.
func (r *Registry) putConfig(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	if q.Get("by") == "number" {
		r.numberConfig(w, req)
		return
	}
	base, err := strconv.ParseUint(q.Get("based_on"), 10, 64)
	if err != nil {
		answerWrong(w, "based_on must name the version that the document is based on", nil)
		return
	}
	raw, c := r.readDoc(w, req)
	if c == nil {
		return
	}
	now := q.Get("emergency") == "true"
	key := requestKey(w, req, "config", []byte(operatorOf(req)), []byte(q.Get("based_on")), []byte(q.Get("emergency")), raw)
	if key == nil {
		return
	}
	ctx, end := r.withDeadline(req)
	defer end()
	if r.answerEarlier(ctx, w, key) {
		return
	}
	if !now && base > 0 {
		old, err := r.confirmed(ctx)
		if err != nil {
			r.answerFailure(w, err)
			return
		}
		if old.Version == base && r.checkChange(ctx, w, req, key, old, raw) {
			return
		}
	}
	why := "applied whole"
	if now {
		why = "applied whole as an emergency"
	}
	got, err := r.stores.proposeOnce(ctx, "config.set", &statemachine.SetConfig{Base: base, Doc: raw, Who: operatorOf(req), Why: why, Emergency: now}, key)
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	if got.Code == statemachine.OK && now {
		r.e.Log.Emit(event.EmergencyChange, "version", got.Version, "who", operatorOf(req))
	}
	if got.Code == statemachine.OK {
		r.e.Log.Emit(event.ConfigAcknowledged, "version", got.Version, "who", operatorOf(req))
	}
	answerOrder(w, got, nil)
}

// checkChange begins a trial for a whole document's changed live paths; false
// means that there are none.
func (r *Registry) checkChange(ctx context.Context, w http.ResponseWriter, req *http.Request, key *store.RequestKey, old statemachine.Result, raw []byte) bool {
	for _, t := range old.Trials {
		if t.State == statemachine.Running {
			httpapi.WriteJSON(w, http.StatusConflict, httpapi.ErrorBody{Message: fmt.Sprintf("trial %d runs: wait, abort it, or apply as an emergency", t.ID), Version: old.Version})
			return true
		}
	}
	doc, paths, err := rules.PlanTrials(old.Doc, raw, old.Number+1, liveReports(r.reports(ctx)))
	if err != nil || len(paths) == 0 {
		return false
	}
	c, bad, err := rules.Compile(old.Version+1, doc)
	if err != nil || len(bad) > 0 {
		answerWrong(w, "a path with traffic is rehearsed first, and its old arm needs what the document drops; keep that until the trial ends, or apply as an emergency", bad)
		return true
	}
	r.begin(ctx, w, req, key, &statemachine.Propose{ID: old.Number + 1, Base: old.Version, Doc: doc, Routes: paths, Slice: c.JudgeLimits.Number("slice"), Who: operatorOf(req)})
	return true
}

func operatorOf(req *http.Request) string {
	if s := req.URL.Query().Get("who"); s != "" && len(s) <= 64 {
		return s
	}
	return "operator"
}

func (r *Registry) getHistory(w http.ResponseWriter, req *http.Request) {
	ctx, end := r.withDeadline(req)
	defer end()
	from, _ := strconv.ParseUint(req.URL.Query().Get("version"), 10, 64)
	got, err := r.stores.read(ctx, store.ReadRequest{Kind: "history", From: from})
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	type row struct {
		statemachine.Config
		Doc any `json:"document,omitempty"`
	}
	rows := []row{}
	for _, c := range got.Configs {
		line := row{Config: c}
		if from > 0 {
			line.Doc, _, _ = schema.Parse(c.Doc)
		}
		rows = append(rows, line)
	}
	httpapi.WriteJSON(w, http.StatusOK, map[string]any{"version": got.Version, "history": rows})
}
