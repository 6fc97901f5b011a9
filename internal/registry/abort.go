package registry

import (
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"puffincrank/internal/event"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/rules"
	"puffincrank/internal/statemachine"
)

// abortTrial ends a trial at an operator's request; the old route stays in force.
func (r *Registry) abortTrial(w http.ResponseWriter, req *http.Request) {
	id, err := strconv.ParseUint(chi.URLParam(req, "id"), 10, 64)
	if err != nil {
		httpapi.WriteJSON(w, http.StatusNotFound, httpapi.ErrorBody{Message: "no such trial"})
		return
	}
	key := requestKey(w, req, "abort", []byte(operatorOf(req)), []byte(chi.URLParam(req, "id")))
	if key == nil {
		return
	}
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	earlier, known, err := r.earlierResult(ctx, key)
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	if known {
		writeResult(w, earlier, map[string]any{"version": earlier.Version, "trial": id})
		return
	}
	current, err := r.readConfirmed(ctx)
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	doc, err := rules.FinishTrial(current.Doc, id, false)
	if err != nil {
		writeInvalid(w, err.Error(), nil)
		return
	}
	result, err := r.stores.proposeOnce(ctx, "trial.decide", &statemachine.Decide{ID: id, Base: current.Version, Doc: doc, State: statemachine.HeldBack, Why: "aborted by " + operatorOf(req), Who: operatorOf(req)}, key)
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	if result.Code == statemachine.OK {
		r.env.Log.Emit(event.TrialHeldBack, "trial", id, "version", result.Version, "why", "aborted by "+operatorOf(req))
	}
	writeResult(w, result, map[string]any{"version": result.Version, "trial": id})
}
