package registry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"

	"puffincrank/internal/httpapi"
	"puffincrank/internal/schema"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/store"
)

// requestIDParameter is the query parameter with which a client identifies its request, so
// that it can be retried safely.
const requestIDParameter = "request_id"

// requestKey returns the key that identifies an operator's request: the ID that the client
// sent or, without one, the digest of its content. If the ID is invalid, it answers the
// request and returns nil.
func requestKey(w http.ResponseWriter, req *http.Request, kind string, content ...[]byte) *store.RequestKey {
	digest := contentDigest(kind, content)
	id := req.URL.Query().Get(requestIDParameter)
	if id == "" {
		return &store.RequestKey{ID: kind + "/" + hex.EncodeToString(digest[:16]), Digest: digest}
	}
	if err := schema.IsName(id); err != nil {
		writeInvalid(w, requestIDParameter+" "+err.Error(), nil)
		return nil
	}
	return &store.RequestKey{ID: "id/" + id, Digest: digest}
}

// contentDigest returns the digest of a request's content. Each part is prefixed with its
// length, so that different sequences of parts never give the same input.
func contentDigest(kind string, content [][]byte) []byte {
	hash := sha256.New()
	for _, part := range append([][]byte{[]byte(kind)}, content...) {
		fmt.Fprintf(hash, "%d:", len(part))
		hash.Write(part)
	}
	return hash.Sum(nil)
}

// numberKey identifies a configuration by the operator's own number. A number stands for
// one content, whoever sends it.
func numberKey(number uint64, doc []byte) *store.RequestKey {
	return &store.RequestKey{ID: statemachine.NumberRequestID(number), Digest: statemachine.DocumentDigest(doc), Number: number}
}

// earlierResult returns the first result of a request that was already committed. A
// majority confirms that the request is known, or that it is not.
func (r *Registry) earlierResult(ctx context.Context, key *store.RequestKey) (result statemachine.Result, known bool, err error) {
	result, err = r.stores.read(ctx, store.ReadRequest{Kind: "request", Name: key.ID})
	if err != nil || result.Code != statemachine.OK || result.Recorded == nil {
		return statemachine.Result{}, false, err
	}
	return result.Recorded.ResultForRetry(key.Digest), true, nil
}

// writeConfigResult answers a request that puts a version in force or starts a trial.
func writeConfigResult(w http.ResponseWriter, result statemachine.Result, routes []string) {
	switch {
	case result.Code != statemachine.OK:
		httpapi.WriteJSON(w, http.StatusConflict, httpapi.ErrorBody{Message: result.Message, Version: result.Version})
	case result.Number > 0:
		httpapi.WriteJSON(w, http.StatusOK, map[string]any{"version": result.Version, "trial": result.Number, "paths": routes})
	default:
		httpapi.WriteJSON(w, http.StatusOK, map[string]any{"version": result.Version})
	}
}

// writeEarlierResult answers a request whose first result is known. It returns false,
// without having answered, if none is known.
func (r *Registry) writeEarlierResult(ctx context.Context, w http.ResponseWriter, key *store.RequestKey) bool {
	result, known, err := r.earlierResult(ctx, key)
	if err != nil {
		r.writeStoreError(w, err)
		return true
	}
	if !known {
		return false
	}
	var routes []string
	if result.Code == statemachine.OK && result.Number > 0 {
		current, err := r.readConfirmed(ctx)
		if err != nil {
			r.writeStoreError(w, err)
			return true
		}
		routes = trialRoutes(current.Trials, result.Number)
	}
	writeConfigResult(w, result, routes)
	return true
}

// trialRoutes returns the routes of a trial, or none if the trial is no longer known.
func trialRoutes(trials []statemachine.Trial, id uint64) []string {
	for _, t := range trials {
		if t.ID == id {
			return t.Routes
		}
	}
	return []string{}
}
