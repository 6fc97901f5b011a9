package registry

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"puffincrank/internal/httpapi"
	"puffincrank/internal/schema"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/store"
)

// The schemas of the bodies of coordination calls.
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

type valueTooLargeError struct{}

func (valueTooLargeError) Error() string { return "must be 64 KiB at the most" }

func checkValueSize(v any) error {
	if s, _ := v.(string); len(s) > 64<<10 {
		return valueTooLargeError{}
	}
	return nil
}

// readFields reads a small JSON body and validates it against a schema.
func readFields(w http.ResponseWriter, req *http.Request, table schema.Table) (schema.Values, bool) {
	raw, code := httpapi.ReadBody(w, req, 256<<10)
	if code != 0 {
		httpapi.WriteJSON(w, code, httpapi.ErrorBody{Message: "the body is over the bound or can't be read"})
		return nil, false
	}
	input, problems, err := schema.Parse(raw)
	if err != nil {
		httpapi.WriteJSON(w, http.StatusBadRequest, httpapi.ErrorBody{Message: "not JSON: " + err.Error()})
		return nil, false
	}
	fields, fieldProblems := table.Read(input, "")
	if problems = append(problems, fieldProblems...); len(problems) > 0 {
		httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: "the body is wrong", Faults: problems})
		return nil, false
	}
	return fields, true
}

// writeResult writes a store's result as an HTTP status and a JSON body.
func writeResult(w http.ResponseWriter, result statemachine.Result, body map[string]any) {
	code := map[string]int{statemachine.OK: http.StatusOK, statemachine.Conflict: http.StatusConflict, statemachine.Reused: http.StatusConflict, statemachine.NotFound: http.StatusNotFound, statemachine.Compacted: http.StatusGone, statemachine.Full: http.StatusServiceUnavailable}[result.Code]
	if code == 0 {
		code = http.StatusInternalServerError
	}
	if result.Message != "" {
		body["wrong"] = result.Message
	}
	httpapi.WriteJSON(w, code, body)
}

// proposeChange proposes a command and answers with the body built from its result.
func (r *Registry) proposeChange(w http.ResponseWriter, req *http.Request, kind string, command statemachine.Command, body func(statemachine.Result) map[string]any) {
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	result, err := r.stores.propose(ctx, kind, command)
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	writeResult(w, result, body(result))
}

func (r *Registry) readStores(w http.ResponseWriter, req *http.Request, query store.ReadRequest, body func(statemachine.Result) map[string]any) {
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	result, err := r.stores.read(ctx, query)
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	writeResult(w, result, body(result))
}

func lockResponse(name string) func(statemachine.Result) map[string]any {
	return func(result statemachine.Result) map[string]any {
		response := map[string]any{"lock": name}
		if result.Lock != nil {
			response["owner"], response["fence"], response["ttl_ms"] = result.Lock.Owner, result.Lock.Fence, result.Lock.TTL
		}
		return response
	}
}

func (r *Registry) getLock(w http.ResponseWriter, req *http.Request) {
	name := chi.URLParam(req, "name")
	r.readStores(w, req, store.ReadRequest{Kind: "lock", Name: name}, lockResponse(name))
}

func (r *Registry) getLocks(w http.ResponseWriter, req *http.Request) {
	r.readStores(w, req, store.ReadRequest{Kind: "locks"}, func(result statemachine.Result) map[string]any {
		if result.Locks == nil {
			result.Locks = map[string]statemachine.Lock{}
		}
		return map[string]any{"locks": result.Locks}
	})
}

func (r *Registry) postLock(w http.ResponseWriter, req *http.Request) {
	name, operation := chi.URLParam(req, "name"), chi.URLParam(req, "op")
	if schema.IsName(name) != nil {
		httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: "the lock's name is wrong"})
		return
	}
	fields, ok := readFields(w, req, LockTable)
	if !ok {
		return
	}
	owner, fence := fields.Text("owner"), uint64(fields.Count("fence"))
	switch operation {
	case "acquire":
		r.proposeChange(w, req, "lock.take", &statemachine.AcquireLock{Name: name, Owner: owner, TTL: fields.Count("ttl_ms")}, lockResponse(name))
	case "renew":
		r.proposeChange(w, req, "lock.take", &statemachine.AcquireLock{Name: name, Owner: owner, TTL: fields.Count("ttl_ms"), Renew: true, Fence: fence}, lockResponse(name))
	case "release":
		r.proposeChange(w, req, "lock.free", &statemachine.ReleaseLock{Name: name, Owner: owner, Fence: fence}, lockResponse(name))
	default:
		httpapi.WriteJSON(w, http.StatusNotFound, httpapi.ErrorBody{Message: "a lock knows acquire, renew and release"})
	}
}

func numberResponse(name string) func(statemachine.Result) map[string]any {
	return func(result statemachine.Result) map[string]any {
		return map[string]any{"name": name, "number": result.Number}
	}
}

func (r *Registry) getNumber(w http.ResponseWriter, req *http.Request) {
	name := chi.URLParam(req, "name")
	r.readStores(w, req, store.ReadRequest{Kind: "number", Name: name}, numberResponse(name))
}

func (r *Registry) nextNumber(w http.ResponseWriter, req *http.Request) {
	name := chi.URLParam(req, "name")
	if schema.IsName(name) != nil {
		httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: "the number's name is wrong"})
		return
	}
	r.proposeChange(w, req, "number.next", &statemachine.NextNumber{Name: name}, numberResponse(name))
}
