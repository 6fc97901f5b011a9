package registry

import (
	"context"
	"encoding/json"
	"net/http"

	"puffincrank/internal/event"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/schema"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/store"
)

// numberConfig takes a whole document by the operator's own number: the highest
// holds, at once and without a rehearsal, and one that is not above the version
// that stands is acknowledged and changes nothing. A number stands for one
// content: whoever sends another under one that was taken gets a 409, and the
// same content is acknowledged as often as it comes. A broken document is
// refused whatever its number.
func (r *Registry) numberConfig(w http.ResponseWriter, req *http.Request) {
	raw, ok := r.docBody(w, req)
	if !ok {
		return
	}
	var head struct {
		Version *json.Number `json:"version"`
	}
	var bad []schema.Problem
	// What can't be read here is named below, by the tables.
	if json.Unmarshal(raw, &head) == nil && head.Version == nil {
		bad = append(bad, schema.Problem{Place: "version", Message: "missing"})
	}
	c := r.checkDoc(w, raw, bad)
	if c == nil {
		return
	}
	key := numberKey(c.DocumentNumber, raw)
	ctx, end := r.withDeadline(req)
	defer end()
	got, known, err := r.knownNumber(ctx, key)
	if err == nil && !known {
		got, err = r.stores.proposeOnce(ctx, "config.number", &statemachine.SetNumberedConfig{Number: c.DocumentNumber, Doc: raw, Who: operatorOf(req), Why: "applied whole by its number"}, key)
	}
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	if got.Code == statemachine.OK && got.Version == c.DocumentNumber && !known && got.Message == "" {
		r.e.Log.Emit(event.ConfigAcknowledged, "version", got.Version, "who", operatorOf(req))
	}
	answerOrder(w, got, nil)
}

// knownNumber looks whether a number that is not above the version held here has
// been answered: then nothing needs to be written for it.
func (r *Registry) knownNumber(ctx context.Context, key *store.RequestKey) (statemachine.Result, bool, error) {
	if r.version() < key.Number {
		return statemachine.Result{}, false, nil
	}
	return r.earlierAnswer(ctx, key)
}

// sentConfig gives the newest document byte for byte as an operator sent it.
func (r *Registry) sentConfig(w http.ResponseWriter, req *http.Request) {
	ctx, end := r.withDeadline(req)
	defer end()
	got, err := r.stores.read(ctx, store.ReadRequest{Kind: "sent"})
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	if got.Code != statemachine.OK {
		httpapi.WriteJSON(w, http.StatusNotFound, httpapi.ErrorBody{Message: got.Message})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(got.Doc)
}
