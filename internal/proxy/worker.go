package proxy

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"puffincrank/internal/event"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/schema"
)

// WorkerTable is the table of a worker's own resource: its identity stands in the
// path, and each call has a number that grows.
var WorkerTable = schema.Table{Name: "worker", Fields: []schema.Field{
	{Name: "service", Type: schema.Text, Required: true, Check: schema.IsName, Rule: "a name", Help: "the service it serves"},
	{Name: "addr", Type: schema.Addr, Required: true, Rule: "IP number and port", Help: "where it takes jobs"},
	{Name: "area", Type: schema.Text, Rule: "a name", Help: "where it stands"},
	{Name: "version", Type: schema.Text, Rule: "a text", Help: "of its software"},
	{Name: "slots", Type: schema.Count, Required: true, Check: schema.IntRange(1, 1024), Rule: "1 to 1024", Help: "jobs that it runs at once"},
	{Name: "state", Type: schema.Text, Required: true, Check: schema.OneOf("up", "draining"), Rule: "up or draining", Help: "alive or leaving"},
	{Name: "cold_ms", Type: schema.Number, Default: 0.0, Check: schema.FloatRange(0, 3600_000), Rule: "0 to 3600000", Help: "how much longer it is slow from its start"},
	{Name: "seq", Type: schema.Count, Default: int64(0), Check: schema.IntRange(0, 1<<62), Rule: "a number", Help: "grows with each call; a late one is known by it"},
}}

// onWorker takes a worker's word on itself.
func (x *Proxy) onWorker(w http.ResponseWriter, r *http.Request) {
	raw, code := httpapi.ReadBody(w, r, 4096)
	if code != 0 {
		httpapi.WriteJSON(w, code, httpapi.ErrorBody{Message: "the beat can't be read"})
		return
	}
	in, _, err := schema.Parse(raw)
	if err != nil {
		httpapi.WriteJSON(w, http.StatusBadRequest, httpapi.ErrorBody{Message: "not JSON: " + err.Error()})
		return
	}
	v, bad := WorkerTable.ReadKnown(in, "")
	id := chi.URLParam(r, "id")
	if schema.IsName(id) != nil {
		bad = append(bad, schema.Problem{Place: "id", Message: "must be a name"})
	}
	// Only the worker of this machine is spoken for here.
	if at := x.set().WorkerAddr; at != "" && len(bad) == 0 && v.Text("addr") != at {
		bad = append(bad, schema.Problem{Place: "addr", Message: "is not the worker beside this node"})
	}
	if len(bad) > 0 {
		x.e.Log.Emit(event.HeartbeatRejected, "faults", len(bad), "first", bad[0].Place)
		httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: "the beat is wrong", Faults: bad})
		return
	}
	x.takeCall(workerCall{worker: id, service: v.Text("service"), addr: v.Text("addr"), slots: int(v.Count("slots")), state: v.Text("state"),
		cold: time.Duration(v.Number("cold_ms")) * time.Millisecond, number: v.Count("seq")})
	x.acknowledge(w, r, id, v.Text("state"), struct{}{})
}

// onLeave takes a worker's sign-off.
func (x *Proxy) onLeave(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	x.takeCall(workerCall{worker: id, state: saysGone})
	x.acknowledge(w, r, id, saysGone, struct{}{})
}
