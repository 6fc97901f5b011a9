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

// appRoutes are the applications' calls as resources.
func (r *Registry) appRoutes(m chi.Router) {
	m.Post("/puffin/app/locks/{name}", r.appTake)
	m.Put("/puffin/app/locks/{name}", r.appHold)
	m.Delete("/puffin/app/locks/{name}", r.appFree)
	m.Post("/puffin/app/numbers/{name}", r.appNext)
	m.Put("/puffin/app/keys/{name}", r.appPut)
	m.Get("/puffin/app/keys/{name}", r.appGet)
	m.Get("/puffin/app/watch/{name}", r.appWatch)
}

// byKey is under what a call's context says until when it may be proposed, if
// it was read by another process.
type byKey struct{}

// appCall is one application's call as it was read.
type appCall struct {
	name string
	v    schema.Values
	by   time.Time // when it may last be proposed
}

// appRead reads the name and the body of a call. Fields that this program
// doesn't know are passed over; an empty body counts as an empty object.
func (r *Registry) appRead(w http.ResponseWriter, req *http.Request, tab schema.Table) (c appCall, ok bool) {
	c.by = time.Now().Add(r.Settings.MaxCallAge())
	if by, is := req.Context().Value(byKey{}).(time.Time); is && by.Before(c.by) {
		c.by = by
	}
	name, err := url.PathUnescape(chi.URLParam(req, "name"))
	if err != nil || appName(name) != nil {
		answerWrong(w, "the name "+badName{}.Error(), nil)
		return c, false
	}
	c.name = name
	if req.Method == http.MethodGet {
		// Whatever body it has says nothing.
		return c, true
	}
	raw, code := httpapi.ReadBody(w, req, 256<<10)
	if code != 0 {
		httpapi.WriteJSON(w, code, httpapi.ErrorBody{Message: "the body is over the bound or can't be read"})
		return c, false
	}
	if len(raw) == 0 {
		raw = []byte("{}")
	}
	in, bad, err := schema.Parse(raw)
	if err != nil {
		httpapi.WriteJSON(w, http.StatusBadRequest, httpapi.ErrorBody{Message: "not JSON: " + err.Error()})
		return c, false
	}
	v, more := tab.ReadKnown(in, "")
	if bad = append(bad, more...); len(bad) > 0 {
		answerWrong(w, "the body is wrong", bad)
		return c, false
	}
	c.v = v
	return c, true
}

// appChange offers a command; its receipt's code is given the status that
// codes says, and body makes the answer.
func (r *Registry) appChange(w http.ResponseWriter, req *http.Request, c appCall, kind string, cmd statemachine.Command, codes map[string]int, body func(statemachine.Result) map[string]any) {
	// What is read right after a freeze may be as old as the freeze: its sender
	// has turned elsewhere, and what it did there must not be undone.
	if time.Since(r.pulse.LastPauseEnd()) < r.Settings.HeartbeatInterval() {
		httpapi.WriteBusy(w, "frozen until just now; nothing was done", r.Settings.HeartbeatInterval())
		return
	}
	ctx, end := r.withDeadline(req)
	defer end()
	got, err := r.stores.proposeBefore(ctx, kind, cmd, c.by)
	r.appAnswer(w, got, err, codes, body)
}

func (r *Registry) appAnswer(w http.ResponseWriter, got statemachine.Result, err error, codes map[string]int, body func(statemachine.Result) map[string]any) {
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	if got.Code == statemachine.Full {
		httpapi.WriteBusy(w, "nothing was done: "+got.Message, r.Settings.ConfigBound)
		return
	}
	code := codes[got.Code]
	if code == 0 {
		code = http.StatusOK
	}
	out := body(got)
	if code != http.StatusOK && got.Message != "" {
		out["wrong"] = got.Message
	}
	httpapi.WriteJSON(w, code, out)
}

// appTime is a time to live; a part of a millisecond counts as a whole one.
func appTime(v schema.Values) int64 { return int64(math.Ceil(v.Number("ttl_ms"))) }

func fenceBody(got statemachine.Result) map[string]any {
	if got.Code == statemachine.OK && got.Lock != nil {
		return map[string]any{"fence": got.Lock.Fence}
	}
	return map[string]any{}
}

func revBody(got statemachine.Result) map[string]any { return map[string]any{"rev": got.Revision} }

// appTake takes a lock; its holder keeps the fence and gets more time.
func (r *Registry) appTake(w http.ResponseWriter, req *http.Request) {
	if c, ok := r.appRead(w, req, AcquireLockTable); ok {
		cmd := &statemachine.AcquireLock{Name: c.name, Owner: c.v.Text("owner"), TTL: appTime(c.v), KeepFence: true}
		r.appChange(w, req, c, "lock.take", cmd, map[string]int{statemachine.Conflict: http.StatusConflict}, fenceBody)
	}
}

func (r *Registry) appHold(w http.ResponseWriter, req *http.Request) {
	if c, ok := r.appRead(w, req, RenewLockTable); ok {
		cmd := &statemachine.AcquireLock{Name: c.name, Owner: c.v.Text("owner"), TTL: appTime(c.v), Renew: true, Fence: uint64(c.v.Count("fence"))}
		r.appChange(w, req, c, "lock.take", cmd, map[string]int{statemachine.Conflict: http.StatusConflict, statemachine.NotFound: http.StatusConflict}, fenceBody)
	}
}

// appFree gives a lock back. That it is not held any more is no fault.
func (r *Registry) appFree(w http.ResponseWriter, req *http.Request) {
	if c, ok := r.appRead(w, req, ReleaseLockTable); ok {
		cmd := &statemachine.ReleaseLock{Name: c.name, Owner: c.v.Text("owner"), Fence: uint64(c.v.Count("fence"))}
		r.appChange(w, req, c, "lock.free", cmd, nil, fenceBody)
	}
}

func (r *Registry) appNext(w http.ResponseWriter, req *http.Request) {
	if c, ok := r.appRead(w, req, NextNumberTable); ok {
		r.appChange(w, req, c, "number.next", &statemachine.NextNumber{Name: c.name}, nil, func(got statemachine.Result) map[string]any {
			return map[string]any{"value": got.Number}
		})
	}
}

func (r *Registry) appPut(w http.ResponseWriter, req *http.Request) {
	if c, ok := r.appRead(w, req, PutGroupKeyTable); ok {
		rev, cond := c.v["if_rev"].(int64)
		cmd := &statemachine.PutGroupKey{Name: c.name, Value: []byte(c.v.Text("value")), If: cond, Revision: uint64(rev)}
		r.appChange(w, req, c, "cell.put", cmd, map[string]int{statemachine.Conflict: http.StatusPreconditionFailed}, revBody)
	}
}

func (r *Registry) appGet(w http.ResponseWriter, req *http.Request) {
	c, ok := r.appRead(w, req, NextNumberTable)
	if !ok {
		return
	}
	ctx, end := r.withDeadline(req)
	defer end()
	got, err := r.stores.read(ctx, store.ReadRequest{Kind: "cell", Name: c.name})
	r.appAnswer(w, got, err, map[string]int{statemachine.NotFound: http.StatusNotFound}, func(got statemachine.Result) map[string]any {
		if got.Key == nil {
			return map[string]any{}
		}
		return map[string]any{"value": string(got.Key.Value), "rev": got.Key.Revision}
	})
}

// appWatch is a long poll for the puts of a group above a revision.
func (r *Registry) appWatch(w http.ResponseWriter, req *http.Request) {
	c, ok := r.appRead(w, req, NextNumberTable)
	if !ok {
		return
	}
	num := func(n string) uint64 {
		s := req.URL.Query().Get(n)
		if s == "" {
			return 0
		}
		v, err := strconv.ParseUint(s, 10, 62)
		ok = ok && err == nil
		return v
	}
	after, wait := num("after"), time.Duration(min(num("wait_ms"), uint64(r.Settings.RecoveryBound.Milliseconds())))*time.Millisecond
	if !ok {
		answerWrong(w, "after and wait_ms must be whole numbers", nil)
		return
	}
	long := wait + 2*r.Settings.ConfigBound
	// Over a link the time is bounded: what is left there ends the wait early.
	if end, is := req.Context().Deadline(); is {
		long = min(long, time.Until(end))
		wait = max(min(wait, long-r.Settings.CallTimeout()), 0)
	}
	ctx, end := context.WithTimeout(req.Context(), long)
	defer end()
	got, err := r.stores.groupPuts(ctx, store.ReadRequest{Kind: "puts", Name: c.name, From: after}, wait, r.Settings.ConfigBound)
	r.appAnswer(w, got, err, map[string]int{statemachine.Compacted: http.StatusGone}, func(got statemachine.Result) map[string]any {
		type line struct {
			Name  string `json:"name"`
			Value string `json:"value"`
			Rev   uint64 `json:"rev"`
		}
		lines := []line{}
		for _, c := range got.Changes {
			lines = append(lines, line{c.Name, string(c.Value), c.Revision})
		}
		return map[string]any{"changes": lines, "rev": got.Revision}
	})
}
