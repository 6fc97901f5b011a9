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

// putNumberedConfig puts a whole document in force under the operator's own number. The
// highest number wins, at once and without a trial; a number that is not above the version
// in force is acknowledged and changes nothing. A number stands for one content: other
// content under a number already used gets a 409, and the same content is acknowledged
// however often it is sent. An invalid document is refused whatever its number.
func (r *Registry) putNumberedConfig(w http.ResponseWriter, req *http.Request) {
	raw, ok := r.readDocumentBody(w, req)
	if !ok {
		return
	}
	var head struct {
		Version *json.Number `json:"version"`
	}
	var problems []schema.Problem
	// If this doesn't parse, checkDocument reports the problems.
	if json.Unmarshal(raw, &head) == nil && head.Version == nil {
		problems = append(problems, schema.Problem{Place: "version", Message: "missing"})
	}
	compiled := r.checkDocument(w, raw, problems)
	if compiled == nil {
		return
	}
	key := numberKey(compiled.DocumentNumber, raw)
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	result, known, err := r.earlierNumberedResult(ctx, key)
	if err == nil && !known {
		result, err = r.stores.proposeOnce(ctx, "config.number", &statemachine.SetNumberedConfig{Number: compiled.DocumentNumber, Doc: raw, Who: operatorOf(req), Why: "applied whole by its number"}, key)
	}
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	if result.Code == statemachine.OK && result.Version == compiled.DocumentNumber && !known && result.Message == "" {
		r.env.Log.Emit(event.ConfigAcknowledged, "version", result.Version, "who", operatorOf(req))
	}
	writeConfigResult(w, result, nil)
}

// earlierNumberedResult looks for an earlier answer to a number that is not above the
// version held here; then nothing needs to be written for it.
func (r *Registry) earlierNumberedResult(ctx context.Context, key *store.RequestKey) (statemachine.Result, bool, error) {
	if r.version() < key.Number {
		return statemachine.Result{}, false, nil
	}
	return r.earlierResult(ctx, key)
}

// getSentConfig returns the newest document byte for byte as an operator sent it.
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
