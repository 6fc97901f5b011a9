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

// abort ends a trial by an operator's word: the old path stays.
func (r *Registry) abort(w http.ResponseWriter, req *http.Request) {
	id, err := strconv.ParseUint(chi.URLParam(req, "id"), 10, 64)
	if err != nil {
		httpapi.WriteJSON(w, http.StatusNotFound, httpapi.ErrorBody{Message: "no such trial"})
		return
	}
	key := requestKey(w, req, "abort", []byte(operatorOf(req)), []byte(chi.URLParam(req, "id")))
	if key == nil {
		return
	}
	ctx, end := r.withDeadline(req)
	defer end()
	earlier, known, err := r.earlierAnswer(ctx, key)
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	if known {
		answer(w, earlier, map[string]any{"version": earlier.Version, "trial": id})
		return
	}
	now, err := r.confirmed(ctx)
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	doc, err := rules.FinishTrial(now.Doc, id, false)
	if err != nil {
		answerWrong(w, err.Error(), nil)
		return
	}
	got, err := r.stores.proposeOnce(ctx, "trial.decide", &statemachine.Decide{ID: id, Base: now.Version, Doc: doc, State: statemachine.HeldBack, Why: "aborted by " + operatorOf(req), Who: operatorOf(req)}, key)
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	if got.Code == statemachine.OK {
		r.e.Log.Emit(event.TrialHeldBack, "trial", id, "version", got.Version, "why", "aborted by "+operatorOf(req))
	}
	answer(w, got, map[string]any{"version": got.Version, "trial": id})
}
