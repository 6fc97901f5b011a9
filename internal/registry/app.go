package registry

import (
	"context"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"puffincrank/internal/httpapi"
	"puffincrank/internal/schema"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/store"
)

// registerAppRoutes adds the HTTP resources that applications use.
func (r *Registry) registerAppRoutes(router chi.Router) {
	router.Post("/puffin/app/locks/{name}", r.acquireAppLock)
	router.Put("/puffin/app/locks/{name}", r.renewAppLock)
	router.Delete("/puffin/app/locks/{name}", r.releaseAppLock)
	router.Post("/puffin/app/numbers/{name}", r.nextAppNumber)
	router.Put("/puffin/app/keys/{name}", r.putAppKey)
	router.Get("/puffin/app/keys/{name}", r.getAppKey)
	router.Get("/puffin/app/watch/{name}", r.watchAppKeys)
}

// proposeByKey is the context key of the time after which a call must no longer be
// proposed. It is set for calls that another process received and forwarded.
type proposeByKey struct{}

// appCall is an application's call after parsing.
type appCall struct {
	name      string
	fields    schema.Values
	proposeBy time.Time // after this time the change must no longer be proposed
}

// readAppCall reads the name and the body of a call. It ignores fields that this version
// doesn't know, and takes an empty body as an empty object.
func (r *Registry) readAppCall(w http.ResponseWriter, req *http.Request, table schema.Table) (call appCall, ok bool) {
	call.proposeBy = time.Now().Add(r.Settings.MaxCallAge())
	if proposeBy, ok := req.Context().Value(proposeByKey{}).(time.Time); ok && proposeBy.Before(call.proposeBy) {
		call.proposeBy = proposeBy
	}
	name, err := url.PathUnescape(chi.URLParam(req, "name"))
	if err != nil || checkAppName(name) != nil {
		writeInvalid(w, "the name "+invalidNameError{}.Error(), nil)
		return call, false
	}
	call.name = name
	if req.Method == http.MethodGet {
		// The body of a GET request is ignored.
		return call, true
	}
	raw, code := httpapi.ReadBody(w, req, 256<<10)
	if code != 0 {
		httpapi.WriteJSON(w, code, httpapi.ErrorBody{Message: "the body is over the bound or can't be read"})
		return call, false
	}
	if len(raw) == 0 {
		raw = []byte("{}")
	}
	input, problems, err := schema.Parse(raw)
	if err != nil {
		httpapi.WriteJSON(w, http.StatusBadRequest, httpapi.ErrorBody{Message: "not JSON: " + err.Error()})
		return call, false
	}
	fields, fieldProblems := table.ReadKnown(input, "")
	if problems = append(problems, fieldProblems...); len(problems) > 0 {
		writeInvalid(w, "the body is wrong", problems)
		return call, false
	}
	call.fields = fields
	return call, true
}

// proposeAppChange proposes a command. codes maps the result's code to an HTTP status, and
// body builds the answer.
func (r *Registry) proposeAppChange(w http.ResponseWriter, req *http.Request, call appCall, kind string, command statemachine.Command, codes map[string]int, body func(statemachine.Result) map[string]any) {
	// A call that is read right after a process pause may be as old as the pause. Its
	// sender may have turned to another node since, and applying the call now could undo
	// what it did there.
	if time.Since(r.pauseDetector.LastPauseEnd()) < r.Settings.HeartbeatInterval() {
		httpapi.WriteBusy(w, "frozen until just now; nothing was done", r.Settings.HeartbeatInterval())
		return
	}
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	result, err := r.stores.proposeBefore(ctx, kind, command, call.proposeBy)
	r.writeAppResult(w, result, err, codes, body)
}

func (r *Registry) writeAppResult(w http.ResponseWriter, result statemachine.Result, err error, codes map[string]int, body func(statemachine.Result) map[string]any) {
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	if result.Code == statemachine.Full {
		httpapi.WriteBusy(w, "nothing was done: "+result.Message, r.Settings.ConfigBound)
		return
	}
	code := codes[result.Code]
	if code == 0 {
		code = http.StatusOK
	}
	response := body(result)
	if code != http.StatusOK && result.Message != "" {
		response["wrong"] = result.Message
	}
	httpapi.WriteJSON(w, code, response)
}

// ttlMillis returns the time to live in milliseconds, rounded up.
func ttlMillis(fields schema.Values) int64 { return int64(math.Ceil(fields.Number("ttl_ms"))) }

func fenceResponse(result statemachine.Result) map[string]any {
	if result.Code == statemachine.OK && result.Lock != nil {
		return map[string]any{"fence": result.Lock.Fence}
	}
	return map[string]any{}
}

func revisionResponse(result statemachine.Result) map[string]any {
	return map[string]any{"rev": result.Revision}
}

// acquireAppLock acquires a lock. A holder that acquires it again keeps its fence and
// extends the time to live.
func (r *Registry) acquireAppLock(w http.ResponseWriter, req *http.Request) {
	if call, ok := r.readAppCall(w, req, AcquireLockTable); ok {
		command := &statemachine.AcquireLock{Name: call.name, Owner: call.fields.Text("owner"), TTL: ttlMillis(call.fields), KeepFence: true}
		r.proposeAppChange(w, req, call, "lock.take", command, map[string]int{statemachine.Conflict: http.StatusConflict}, fenceResponse)
	}
}

func (r *Registry) renewAppLock(w http.ResponseWriter, req *http.Request) {
	if call, ok := r.readAppCall(w, req, RenewLockTable); ok {
		command := &statemachine.AcquireLock{Name: call.name, Owner: call.fields.Text("owner"), TTL: ttlMillis(call.fields), Renew: true, Fence: uint64(call.fields.Count("fence"))}
		r.proposeAppChange(w, req, call, "lock.take", command, map[string]int{statemachine.Conflict: http.StatusConflict, statemachine.NotFound: http.StatusConflict}, fenceResponse)
	}
}

// releaseAppLock releases a lock. Releasing a lock that is no longer held is not an error.
func (r *Registry) releaseAppLock(w http.ResponseWriter, req *http.Request) {
	if call, ok := r.readAppCall(w, req, ReleaseLockTable); ok {
		command := &statemachine.ReleaseLock{Name: call.name, Owner: call.fields.Text("owner"), Fence: uint64(call.fields.Count("fence"))}
		r.proposeAppChange(w, req, call, "lock.free", command, nil, fenceResponse)
	}
}

func (r *Registry) nextAppNumber(w http.ResponseWriter, req *http.Request) {
	if call, ok := r.readAppCall(w, req, NextNumberTable); ok {
		r.proposeAppChange(w, req, call, "number.next", &statemachine.NextNumber{Name: call.name}, nil, func(result statemachine.Result) map[string]any {
			return map[string]any{"value": result.Number}
		})
	}
}

func (r *Registry) putAppKey(w http.ResponseWriter, req *http.Request) {
	if call, ok := r.readAppCall(w, req, PutGroupKeyTable); ok {
		revision, conditional := call.fields["if_rev"].(int64)
		command := &statemachine.PutGroupKey{Name: call.name, Value: []byte(call.fields.Text("value")), If: conditional, Revision: uint64(revision)}
		r.proposeAppChange(w, req, call, "cell.put", command, map[string]int{statemachine.Conflict: http.StatusPreconditionFailed}, revisionResponse)
	}
}

func (r *Registry) getAppKey(w http.ResponseWriter, req *http.Request) {
	call, ok := r.readAppCall(w, req, NextNumberTable)
	if !ok {
		return
	}
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	result, err := r.stores.read(ctx, store.ReadRequest{Kind: "cell", Name: call.name})
	r.writeAppResult(w, result, err, map[string]int{statemachine.NotFound: http.StatusNotFound}, func(result statemachine.Result) map[string]any {
		if result.Key == nil {
			return map[string]any{}
		}
		return map[string]any{"value": string(result.Key.Value), "rev": result.Key.Revision}
	})
}

// watchAppKeys is a long poll for the puts to a key group above a revision.
func (r *Registry) watchAppKeys(w http.ResponseWriter, req *http.Request) {
	call, ok := r.readAppCall(w, req, NextNumberTable)
	if !ok {
		return
	}
	parseNumber := func(parameter string) uint64 {
		text := req.URL.Query().Get(parameter)
		if text == "" {
			return 0
		}
		value, err := strconv.ParseUint(text, 10, 62)
		ok = ok && err == nil
		return value
	}
	after, wait := parseNumber("after"), time.Duration(min(parseNumber("wait_ms"), uint64(r.Settings.RecoveryBound.Milliseconds())))*time.Millisecond
	if !ok {
		writeInvalid(w, "after and wait_ms must be whole numbers", nil)
		return
	}
	timeout := wait + 2*r.Settings.ConfigBound
	// A forwarded call has a deadline: the wait ends early enough to answer before it.
	if deadline, ok := req.Context().Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
		wait = max(min(wait, timeout-r.Settings.CallTimeout()), 0)
	}
	ctx, cancel := context.WithTimeout(req.Context(), timeout)
	defer cancel()
	result, err := r.stores.groupPuts(ctx, store.ReadRequest{Kind: "puts", Name: call.name, From: after}, wait, r.Settings.ConfigBound)
	r.writeAppResult(w, result, err, map[string]int{statemachine.Compacted: http.StatusGone}, func(result statemachine.Result) map[string]any {
		type line struct {
			Name  string `json:"name"`
			Value string `json:"value"`
			Rev   uint64 `json:"rev"`
		}
		lines := []line{}
		for _, call := range result.Changes {
			lines = append(lines, line{call.Name, string(call.Value), call.Revision})
		}
		return map[string]any{"changes": lines, "rev": result.Revision}
	})
}
