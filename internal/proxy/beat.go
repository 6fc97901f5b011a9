package proxy

import (
	"net/http"

	"puffincrank/internal/event"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/schema"
)

// HeartbeatTable is the table of a worker's beat.
var HeartbeatTable = schema.Table{Name: "beat", Fields: []schema.Field{
	{Name: "service", Type: schema.Text, Required: true, Check: schema.IsName, Rule: "a name", Help: "the service it serves"},
	{Name: "worker", Type: schema.Text, Required: true, Check: schema.IsName, Rule: "a name", Help: "its identity, a new one at each start"},
	{Name: "addr", Type: schema.Addr, Required: true, Rule: "IP number and port", Help: "where it takes jobs"},
	{Name: "slots", Type: schema.Count, Required: true, Check: schema.IntRange(1, 1024), Rule: "1 to 1024", Help: "jobs that it runs at once"},
	{Name: "state", Type: schema.Text, Required: true, Check: schema.OneOf("up", "draining", "gone"), Rule: "up, draining or gone", Help: "alive, leaving or signed off"},
}}

// onBeat takes a worker's beat: the whole registration each time, so that a
// restarted proxy is filled by the next one.
func (x *Proxy) onBeat(w http.ResponseWriter, r *http.Request) {
	raw, code := httpapi.ReadBody(w, r, 4096)
	if code != 0 {
		httpapi.WriteJSON(w, code, httpapi.ErrorBody{Message: "the beat can't be read"})
		return
	}
	in, bad, err := schema.Parse(raw)
	if err != nil {
		httpapi.WriteJSON(w, http.StatusBadRequest, httpapi.ErrorBody{Message: "not JSON: " + err.Error()})
		return
	}
	v, more := HeartbeatTable.Read(in, "")
	if bad = append(bad, more...); len(bad) > 0 {
		x.e.Log.Emit(event.HeartbeatRejected, "faults", len(bad), "first", bad[0].Place)
		httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: "the beat is wrong", Faults: bad})
		return
	}
	x.takeCall(workerCall{worker: v.Text("worker"), service: v.Text("service"), addr: v.Text("addr"), slots: int(v.Count("slots")), state: v.Text("state")})
	x.acknowledge(w, r, v.Text("worker"), v.Text("state"), map[string]any{"beat_ms": x.Settings.WorkerHeartbeat().Milliseconds(), "missed_ms": x.Settings.WorkerTimeout().Milliseconds()})
}

// beat does what a worker's call says. x.calling is held.
func (x *Proxy) beat(c workerCall) {
	worker, service, addr, slots, say := c.worker, c.service, c.addr, c.slots, c.state
	if say == saysGone {
		x.signsOff(worker)
		return
	}
	x.mu.Lock()
	g := x.gates[worker]
	var old []*gate
	for id, o := range x.gates {
		// A new identity at a known address, or a changed registration: the
		// old entry goes first, so that nothing meant for it gets here.
		if (id != worker && o.addr == addr) || (id == worker && (o.service != service || o.addr != addr)) {
			old = append(old, o)
			delete(x.gates, id)
		}
	}
	if g != nil && x.gates[worker] == nil {
		g = nil
	}
	if g == nil {
		g = newGate(worker, service, addr, slots, x.Settings.RetryWindow)
		x.gates[worker] = g
	}
	x.mu.Unlock()
	for _, o := range old {
		x.e.Log.Emit(event.Evicted, "worker", o.worker, "by", worker, "addr", addr)
		if o.worker == worker {
			x.drop(o, "evicted")
		} else {
			x.departs(o, "evicted")
		}
	}
	x.hears(g, say == "up")
	if c.cold > 0 {
		g.own.SetWarmup(c.cold)
	}
	g.mu.Lock()
	resized := g.slots != slots
	g.slots, g.seq = slots, max(g.seq, c.number)
	sick := g.bad >= 2
	g.mu.Unlock()
	if resized {
		x.shapeGate(g, x.rules.Load())
	}
	// A node that leaves keeps its worker's door shut, whatever the worker says.
	if say == "up" && (x.held() || x.left.Load()) {
		say = "draining"
	}
	switch say {
	case "draining":
		x.drain(g)
	case "up":
		if !sick && (x.moves(g, "up", "its word") || resized) {
			x.shapeGate(g, x.rules.Load())
			g.room.Open()
			x.enter(g)
		}
		x.doubt(g)
	}
}

// signsOff takes a worker's last word, also where its gate is not known: this node
// may have started since.
func (x *Proxy) signsOff(worker string) {
	x.mu.Lock()
	g := x.gates[worker]
	delete(x.gates, worker)
	x.mu.Unlock()
	if g == nil {
		x.depart(worker, signedOff)
		return
	}
	x.departs(g, signedOff)
}

// departs shuts the gate of a worker that is gone for good. x.calling is held.
func (x *Proxy) departs(g *gate, why string) {
	g.room.Close()
	x.moves(g, "gone", why)
	g.tell.Lock()
	defer g.tell.Unlock()
	x.depart(g.worker, why)
}

// drop shuts a gate for good and removes its entry.
func (x *Proxy) drop(g *gate, why string) {
	g.room.Close()
	x.moves(g, "gone", why)
	x.remove(g, why)
}

// afresh registers own live workers again whose dots others have removed, as
// the steward does when this node was out of touch for too long.
func (x *Proxy) afresh() {
	for _, g := range x.allGates() {
		g.mu.Lock()
		dot := g.dot
		g.mu.Unlock()
		if g.state.Is("up", "draining") && x.rep.OwnRemoved(dot) {
			x.e.Log.Emit(event.Reregistered, "worker", g.worker)
			x.enter(g)
		}
	}
}
