package proxy

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"puffincrank/internal/event"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/schema"
)

// WorkerTable describes the fields of a worker's own resource. The worker's ID stands in the
// URL path, and each call has an increasing number.
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

// onWorker handles a worker's report on itself.
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
	values, problems := WorkerTable.ReadKnown(in, "")
	id := chi.URLParam(r, "id")
	if schema.IsName(id) != nil {
		problems = append(problems, schema.Problem{Place: "id", Message: "must be a name"})
	}
	// Only the worker of this machine may register here.
	if expected := x.currentSettings().WorkerAddr; expected != "" && len(problems) == 0 && values.Text("addr") != expected {
		problems = append(problems, schema.Problem{Place: "addr", Message: "is not the worker beside this node"})
	}
	if len(problems) > 0 {
		x.env.Log.Emit(event.HeartbeatRejected, "faults", len(problems), "first", problems[0].Place)
		httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: "the beat is wrong", Faults: problems})
		return
	}
	x.handleCall(workerCall{worker: id, service: values.Text("service"), addr: values.Text("addr"), slots: int(values.Count("slots")), state: values.Text("state"),
		warmup: time.Duration(values.Number("cold_ms")) * time.Millisecond, number: values.Count("seq")})
	x.acknowledge(w, r, id, values.Text("state"), struct{}{})
}

// onSignOff handles a worker's sign-off.
func (x *Proxy) onSignOff(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	x.handleCall(workerCall{worker: id, state: stateGone})
	x.acknowledge(w, r, id, stateGone, struct{}{})
}
