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

// putNumberedConfig takes a whole document by the operator's own number: the highest
// holds, at once and without a rehearsal, and one that is not above the version
// that stands is acknowledged and changes nothing. A number stands for one
// content: whoever sends another under one that was taken gets a 409, and the
// same content is acknowledged as often as it comes. A broken document is
// refused whatever its number.
func (r *Registry) putNumberedConfig(w http.ResponseWriter, req *http.Request) {
	raw, ok := r.readDocumentBody(w, req)
	if !ok {
		return
	}
	var head struct {
		Version *json.Number `json:"version"`
	}
	var problems []schema.Problem
	// What can't be read here is named below, by the tables.
	if json.Unmarshal(raw, &head) == nil && head.Version == nil {
		problems = append(problems, schema.Problem{Place: "version", Message: "missing"})
	}
	compiled := r.checkDocument(w, raw, problems)
	if compiled == nil {
		return
	}
	key := numberKey(compiled.Number, raw)
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	result, known, err := r.earlierNumberedResult(ctx, key)
	if err == nil && !known {
		result, err = r.stores.proposeOnce(ctx, "config.number", &statemachine.SetNumberedConfig{Number: compiled.Number, Doc: raw, Who: operatorOf(req), Why: "applied whole by its number"}, key)
	}
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	if result.Code == statemachine.OK && result.Version == compiled.Number && !known && result.Message == "" {
		r.env.Log.Emit(event.ConfigAcknowledged, "version", result.Version, "who", operatorOf(req))
	}
	writeConfigResult(w, result, nil)
}

// earlierNumberedResult looks whether a number that is not above the version held here has
// been answered: then nothing needs to be written for it.
func (r *Registry) earlierNumberedResult(ctx context.Context, key *store.RequestKey) (statemachine.Result, bool, error) {
	if r.version() < key.Number {
		return statemachine.Result{}, false, nil
	}
	return r.earlierResult(ctx, key)
}

// getSentConfig gives the newest document byte for byte as an operator sent it.
func (r *Registry) getSentConfig(w http.ResponseWriter, req *http.Request) {
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	result, err := r.stores.read(ctx, store.ReadRequest{Kind: "sent"})
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	if result.Code != statemachine.OK {
		httpapi.WriteJSON(w, http.StatusNotFound, httpapi.ErrorBody{Message: result.Message})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(result.Doc)
}
