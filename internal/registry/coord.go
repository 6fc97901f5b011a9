package registry

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"puffincrank/internal/httpapi"
	"puffincrank/internal/schema"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/store"
)

// The tables of the coordination calls' bodies.
var (
	LockTable = schema.Table{Name: "lock", Fields: []schema.Field{
		{Name: "owner", Type: schema.Text, Required: true, Check: schema.IsName, Rule: "a name", Help: "who takes it"},
		{Name: "ttl_ms", Type: schema.Duration, Default: int64(10000), Check: schema.IntRange(100, 600000), Rule: "100 to 600000", Help: "how long it stands without a renewal"},
		{Name: "fence", Type: schema.Count, Default: int64(0), Check: schema.IntRange(0, 1<<62), Rule: "a number", Help: "the fence got when it was taken; needed to renew"},
	}}
	KeyTable = schema.Table{Name: "key", Fields: []schema.Field{
		{Name: "value", Type: schema.Text, Required: true, Check: checkValueSize, Rule: "64 KiB at the most", Help: "the value"},
		{Name: "if_rev", Type: schema.Count, Check: schema.IntRange(0, 1<<62), Rule: "a revision; 0: must not be there", Help: "only when the key's revision is this"},
	}}
)

type errValueTooLarge struct{}

func (errValueTooLarge) Error() string { return "must be 64 KiB at the most" }

func checkValueSize(v any) error {
	if s, _ := v.(string); len(s) > 64<<10 {
		return errValueTooLarge{}
	}
	return nil
}

// readFields reads a small JSON body by a table.
func readFields(w http.ResponseWriter, req *http.Request, tab schema.Table) (schema.Values, bool) {
	raw, code := httpapi.ReadBody(w, req, 256<<10)
	if code != 0 {
		httpapi.WriteJSON(w, code, httpapi.ErrorBody{Message: "the body is over the bound or can't be read"})
		return nil, false
	}
	in, bad, err := schema.Parse(raw)
	if err != nil {
		httpapi.WriteJSON(w, http.StatusBadRequest, httpapi.ErrorBody{Message: "not JSON: " + err.Error()})
		return nil, false
	}
	v, more := tab.Read(in, "")
	if bad = append(bad, more...); len(bad) > 0 {
		httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: "the body is wrong", Faults: bad})
		return nil, false
	}
	return v, true
}

// answer turns a receipt into a status and a body.
func answer(w http.ResponseWriter, got statemachine.Result, body map[string]any) {
	code := map[string]int{statemachine.OK: http.StatusOK, statemachine.Conflict: http.StatusConflict, statemachine.Reused: http.StatusConflict, statemachine.NotFound: http.StatusNotFound, statemachine.Compacted: http.StatusGone, statemachine.Full: http.StatusServiceUnavailable}[got.Code]
	if code == 0 {
		code = http.StatusInternalServerError
	}
	if got.Message != "" {
		body["wrong"] = got.Message
	}
	httpapi.WriteJSON(w, code, body)
}

// change offers a command and answers with what body makes of the receipt.
func (r *Registry) change(w http.ResponseWriter, req *http.Request, kind string, cmd statemachine.Command, body func(statemachine.Result) map[string]any) {
	ctx, end := r.withDeadline(req)
	defer end()
	got, err := r.stores.propose(ctx, kind, cmd)
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	answer(w, got, body(got))
}

func (r *Registry) query(w http.ResponseWriter, req *http.Request, q store.ReadRequest, body func(statemachine.Result) map[string]any) {
	ctx, end := r.withDeadline(req)
	defer end()
	got, err := r.stores.read(ctx, q)
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	answer(w, got, body(got))
}

func lockBody(name string) func(statemachine.Result) map[string]any {
	return func(got statemachine.Result) map[string]any {
		out := map[string]any{"lock": name}
		if got.Lock != nil {
			out["owner"], out["fence"], out["ttl_ms"] = got.Lock.Owner, got.Lock.Fence, got.Lock.TTL
		}
		return out
	}
}

func (r *Registry) getLock(w http.ResponseWriter, req *http.Request) {
	name := chi.URLParam(req, "name")
	r.query(w, req, store.ReadRequest{Kind: "lock", Name: name}, lockBody(name))
}

func (r *Registry) getLocks(w http.ResponseWriter, req *http.Request) {
	r.query(w, req, store.ReadRequest{Kind: "locks"}, func(got statemachine.Result) map[string]any {
		if got.Locks == nil {
			got.Locks = map[string]statemachine.Lock{}
		}
		return map[string]any{"locks": got.Locks}
	})
}

func (r *Registry) postLock(w http.ResponseWriter, req *http.Request) {
	name, op := chi.URLParam(req, "name"), chi.URLParam(req, "op")
	if schema.IsName(name) != nil {
		httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: "the lock's name is wrong"})
		return
	}
	v, ok := readFields(w, req, LockTable)
	if !ok {
		return
	}
	owner, fence := v.Text("owner"), uint64(v.Count("fence"))
	switch op {
	case "acquire":
		r.change(w, req, "lock.take", &statemachine.AcquireLock{Name: name, Owner: owner, TTL: v.Count("ttl_ms")}, lockBody(name))
	case "renew":
		r.change(w, req, "lock.take", &statemachine.AcquireLock{Name: name, Owner: owner, TTL: v.Count("ttl_ms"), Renew: true, Fence: fence}, lockBody(name))
	case "release":
		r.change(w, req, "lock.free", &statemachine.ReleaseLock{Name: name, Owner: owner, Fence: fence}, lockBody(name))
	default:
		httpapi.WriteJSON(w, http.StatusNotFound, httpapi.ErrorBody{Message: "a lock knows acquire, renew and release"})
	}
}

func numberBody(name string) func(statemachine.Result) map[string]any {
	return func(got statemachine.Result) map[string]any {
		return map[string]any{"name": name, "number": got.Number}
	}
}

func (r *Registry) getNumber(w http.ResponseWriter, req *http.Request) {
	name := chi.URLParam(req, "name")
	r.query(w, req, store.ReadRequest{Kind: "number", Name: name}, numberBody(name))
}

func (r *Registry) nextNumber(w http.ResponseWriter, req *http.Request) {
	name := chi.URLParam(req, "name")
	if schema.IsName(name) != nil {
		httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: "the number's name is wrong"})
		return
	}
	r.change(w, req, "number.next", &statemachine.NextNumber{Name: name}, numberBody(name))
}
