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

func keyBody(name string) func(statemachine.Result) map[string]any {
	return func(got statemachine.Result) map[string]any {
		out := map[string]any{"key": name, "rev": got.Revision}
		if got.Key != nil {
			out["value"], out["rev"], out["made"] = string(got.Key.Value), got.Key.Revision, got.Key.CreatedRevision
		}
		return out
	}
}

// keyName reads a key's name from the URL; it may have slashes.
func keyName(w http.ResponseWriter, req *http.Request) (string, bool) {
	name, err := url.PathUnescape(chi.URLParam(req, "*"))
	if err != nil || name == "" || len(name) > 256 {
		httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: "a key's name has 1 to 256 bytes"})
		return "", false
	}
	return name, true
}

func (r *Registry) listKeys(w http.ResponseWriter, req *http.Request) {
	r.query(w, req, store.ReadRequest{Kind: "keys", Name: req.URL.Query().Get("prefix")}, func(got statemachine.Result) map[string]any {
		if got.Names == nil {
			got.Names = []string{}
		}
		return map[string]any{"keys": got.Names, "rev": got.Revision}
	})
}

func (r *Registry) getKey(w http.ResponseWriter, req *http.Request) {
	if name, ok := keyName(w, req); ok {
		r.query(w, req, store.ReadRequest{Kind: "key", Name: name}, keyBody(name))
	}
}

func (r *Registry) putKey(w http.ResponseWriter, req *http.Request) {
	name, ok := keyName(w, req)
	if !ok {
		return
	}
	v, ok := readFields(w, req, KeyTable)
	if !ok {
		return
	}
	rev, cond := v["if_rev"].(int64)
	r.change(w, req, "key.put", &statemachine.PutKey{Name: name, Value: []byte(v.Text("value")), If: cond, Revision: uint64(rev)}, keyBody(name))
}

func (r *Registry) deleteKey(w http.ResponseWriter, req *http.Request) {
	name, ok := keyName(w, req)
	if !ok {
		return
	}
	cmd := &statemachine.DeleteKey{Name: name}
	if raw := req.URL.Query().Get("if_rev"); raw != "" {
		rev, err := strconv.ParseUint(raw, 10, 64)
		if err != nil {
			httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: "if_rev must be a revision"})
			return
		}
		cmd.If, cmd.Revision = true, rev
	}
	r.change(w, req, "key.delete", cmd, keyBody(name))
}

// watch is a long poll for the changes of a prefix from a revision on.
func (r *Registry) watch(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || from == 0 || (q.Get("wait_ms") != "" && err2 != nil) {
		httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: "from must be a revision from 1 on, wait_ms a number"})
		return
	}
	ctx, end := r.withDeadline(req)
	defer end()
	wait = min(max(wait, 0), r.Settings.ConfigBound.Milliseconds())
	got, err := r.stores.watch(ctx, store.ReadRequest{Name: q.Get("prefix"), From: from, WaitMS: wait})
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	if got.Code == statemachine.Compacted {
		httpapi.WriteJSON(w, http.StatusGone, map[string]any{"wrong": "the history does not reach back so far", "oldest": got.Revision})
		return
	}
	type line struct {
		statemachine.Change
		Value string `json:"value,omitempty"`
	}
	lines := []line{}
	next := max(from, got.Revision+1)
	for _, c := range got.Changes {
		lines = append(lines, line{c, string(c.Value)})
	}
	if len(got.Changes) == 256 {
		next = got.Changes[255].Revision + 1
	}
	httpapi.WriteJSON(w, http.StatusOK, map[string]any{"changes": lines, "next": next})
}
