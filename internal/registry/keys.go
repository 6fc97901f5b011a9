package registry

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-chi/chi/v5"

	"puffincrank/internal/httpapi"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/store"
)

func keyResponse(name string) func(statemachine.Result) map[string]any {
	return func(result statemachine.Result) map[string]any {
		response := map[string]any{"key": name, "rev": result.Revision}
		if result.Key != nil {
			response["value"], response["rev"], response["made"] = string(result.Key.Value), result.Key.Revision, result.Key.CreatedRevision
		}
		return response
	}
}

// keyName reads a key's name from the URL; it may contain slashes.
func keyName(w http.ResponseWriter, req *http.Request) (string, bool) {
	name, err := url.PathUnescape(chi.URLParam(req, "*"))
	if err != nil || name == "" || len(name) > 256 {
		httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: "a key's name has 1 to 256 bytes"})
		return "", false
	}
	return name, true
}

func (r *Registry) listKeys(w http.ResponseWriter, req *http.Request) {
	r.readStores(w, req, store.ReadRequest{Kind: "keys", Name: req.URL.Query().Get("prefix")}, func(result statemachine.Result) map[string]any {
		if result.Names == nil {
			result.Names = []string{}
		}
		return map[string]any{"keys": result.Names, "rev": result.Revision}
	})
}

func (r *Registry) getKey(w http.ResponseWriter, req *http.Request) {
	if name, ok := keyName(w, req); ok {
		r.readStores(w, req, store.ReadRequest{Kind: "key", Name: name}, keyResponse(name))
	}
}

func (r *Registry) putKey(w http.ResponseWriter, req *http.Request) {
	name, ok := keyName(w, req)
	if !ok {
		return
	}
	fields, ok := readFields(w, req, KeyTable)
	if !ok {
		return
	}
	revision, conditional := fields["if_rev"].(int64)
	r.proposeChange(w, req, "key.put", &statemachine.PutKey{Name: name, Value: []byte(fields.Text("value")), If: conditional, Revision: uint64(revision)}, keyResponse(name))
}

func (r *Registry) deleteKey(w http.ResponseWriter, req *http.Request) {
	name, ok := keyName(w, req)
	if !ok {
		return
	}
	command := &statemachine.DeleteKey{Name: name}
	if raw := req.URL.Query().Get("if_rev"); raw != "" {
		revision, err := strconv.ParseUint(raw, 10, 64)
		if err != nil {
			httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: "if_rev must be a revision"})
			return
		}
		command.If, command.Revision = true, revision
	}
	r.proposeChange(w, req, "key.delete", command, keyResponse(name))
}

// watch is a long poll for the changes of keys with a prefix, from a revision on.
func (r *Registry) watch(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, waitErr := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil || from == 0 || (query.Get("wait_ms") != "" && waitErr != nil) {
		httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: "from must be a revision from 1 on, wait_ms a number"})
		return
	}
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	wait = min(max(wait, 0), r.Settings.ConfigBound.Milliseconds())
	result, err := r.stores.watch(ctx, store.ReadRequest{Name: query.Get("prefix"), From: from, WaitMS: wait})
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	if result.Code == statemachine.Compacted {
		httpapi.WriteJSON(w, http.StatusGone, map[string]any{"wrong": "the history does not reach back so far", "oldest": result.Revision})
		return
	}
	type line struct {
		statemachine.Change
		Value string `json:"value,omitempty"`
	}
	lines := []line{}
	next := max(from, result.Revision+1)
	for _, c := range result.Changes {
		lines = append(lines, line{c, string(c.Value)})
	}
	if len(result.Changes) == 256 {
		next = result.Changes[255].Revision + 1
	}
	httpapi.WriteJSON(w, http.StatusOK, map[string]any{"changes": lines, "next": next})
}
