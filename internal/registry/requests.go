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

// requestIDParameter is the query parameter by which a caller names its request.
const requestIDParameter = "request_id"

// requestKey identifies an operator's request: by the id that the call brings or,
// without one, by the digest of its content. It answers the call and gives nil
// when the id can't be one.
func requestKey(w http.ResponseWriter, req *http.Request, kind string, content ...[]byte) *store.RequestKey {
	digest := contentDigest(kind, content)
	id := req.URL.Query().Get(requestIDParameter)
	if id == "" {
		return &store.RequestKey{ID: kind + "/" + hex.EncodeToString(digest[:16]), Digest: digest}
	}
	if err := schema.IsName(id); err != nil {
		answerWrong(w, requestIDParameter+" "+err.Error(), nil)
		return nil
	}
	return &store.RequestKey{ID: "id/" + id, Digest: digest}
}

// contentDigest is the identity of a request's content; each part is led in by
// its length, so that no two rows of parts look alike.
func contentDigest(kind string, content [][]byte) []byte {
	sum := sha256.New()
	for _, part := range append([][]byte{[]byte(kind)}, content...) {
		fmt.Fprintf(sum, "%d:", len(part))
		sum.Write(part)
	}
	return sum.Sum(nil)
}

// numberKey identifies a configuration under the operator's own number. One
// number stands for one content, whoever sends it.
func numberKey(number uint64, doc []byte) *store.RequestKey {
	return &store.RequestKey{ID: statemachine.NumberRequestID(number), Digest: statemachine.DocumentDigest(doc), Number: number}
}

// earlierAnswer gives the first answer of a request that was taken already. A
// majority confirms that it is known, or that it is not.
func (r *Registry) earlierAnswer(ctx context.Context, key *store.RequestKey) (got statemachine.Result, known bool, err error) {
	got, err = r.stores.read(ctx, store.ReadRequest{Kind: "request", Name: key.ID})
	if err != nil || got.Code != statemachine.OK || got.Recorded == nil {
		return statemachine.Result{}, false, err
	}
	return got.Recorded.ResultForRetry(key.Digest), true, nil
}

// answerOrder answers an order that puts a version in force, or begins a trial.
func answerOrder(w http.ResponseWriter, got statemachine.Result, paths []string) {
	switch {
	case got.Code != statemachine.OK:
		httpapi.WriteJSON(w, http.StatusConflict, httpapi.ErrorBody{Message: got.Message, Version: got.Version})
	case got.Number > 0:
		httpapi.WriteJSON(w, http.StatusOK, map[string]any{"version": got.Version, "trial": got.Number, "paths": paths})
	default:
		httpapi.WriteJSON(w, http.StatusOK, map[string]any{"version": got.Version})
	}
}

// answerEarlier answers a request whose first answer is known; false means that
// it is not, and nothing was answered.
func (r *Registry) answerEarlier(ctx context.Context, w http.ResponseWriter, key *store.RequestKey) bool {
	got, known, err := r.earlierAnswer(ctx, key)
	if err != nil {
		r.answerFailure(w, err)
		return true
	}
	if !known {
		return false
	}
	var paths []string
	if got.Code == statemachine.OK && got.Number > 0 {
		now, err := r.confirmed(ctx)
		if err != nil {
			r.answerFailure(w, err)
			return true
		}
		paths = pathsOf(now.Trials, got.Number)
	}
	answerOrder(w, got, paths)
	return true
}

// pathsOf gives the paths of a trial, none when it is no longer known.
func pathsOf(trials []statemachine.Trial, id uint64) []string {
	for _, t := range trials {
		if t.ID == id {
			return t.Routes
		}
	}
	return []string{}
}
