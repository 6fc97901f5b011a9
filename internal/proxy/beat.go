package proxy

import (
	"net/http"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/outer"
	"puffincrank/internal/settings"
)

// Beats is the table of a worker's beat.
var Beats = settings.Table{Name: "beat", Rows: []settings.Setting{
	{Name: "service", Type: settings.Text, Must: true, Check: settings.Word, Rule: "a name", Help: "the service it serves"},
	{Name: "worker", Type: settings.Text, Must: true, Check: settings.Word, Rule: "a name", Help: "its identity, a new one at each start"},
	{Name: "addr", Type: settings.Addr, Must: true, Rule: "IP number and port", Help: "where it takes jobs"},
	{Name: "slots", Type: settings.Count, Must: true, Check: settings.In(1, 1024), Rule: "1 to 1024", Help: "jobs that it runs at once"},
	{Name: "state", Type: settings.Text, Must: true, Check: settings.OneOf("up", "draining", "gone"), Rule: "up, draining or gone", Help: "alive, leaving or signed off"},
}}

// onBeat takes a worker's beat: the whole registration each time, so that a
// restarted proxy is filled by the next one.
func (x *Proxy) onBeat(w http.ResponseWriter, r *http.Request) {
	raw, code := outer.Body(w, r, 4096)
	if code != 0 {
		outer.JSON(w, code, outer.Wrong{Wrong: "the beat can't be read"})
		return
	}
	in, bad, err := settings.Parse(raw)
	if err != nil {
		outer.JSON(w, http.StatusBadRequest, outer.Wrong{Wrong: "not JSON: " + err.Error()})
		return
	}
	v, more := Beats.Read(in, "")
	if bad = append(bad, more...); len(bad) > 0 {
		x.e.Log.Emit(event.BeatBad, "faults", len(bad), "first", bad[0].Place)
		outer.JSON(w, http.StatusUnprocessableEntity, outer.Wrong{Wrong: "the beat is wrong", Faults: bad})
		return
	}
	x.beat(v.Text("worker"), v.Text("service"), v.Text("addr"), int(v.Count("slots")), v.Text("state"), 0)
	outer.JSON(w, http.StatusOK, map[string]any{"beat_ms": x.P.WorkerBeat().Milliseconds(), "missed_ms": x.P.Missed().Milliseconds()})
}

func (x *Proxy) beat(worker, service, addr string, slots int, say string, cold time.Duration) {
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
	if g == nil && say != "gone" {
		g = newGate(worker, service, addr, slots, x.P.Window)
		x.gates[worker] = g
	}
	x.mu.Unlock()
	for _, o := range old {
		x.e.Log.Emit(event.Evicted, "worker", o.worker, "by", worker, "addr", addr)
		x.drop(o, "evicted")
	}
	if g == nil {
		return
	}
	x.hears(g, say == "up")
	if cold > 0 {
		g.own.Cold(cold)
	}
	g.mu.Lock()
	resized := g.slots != slots
	g.slots = slots
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
	case "gone":
		x.mu.Lock()
		delete(x.gates, worker)
		x.mu.Unlock()
		x.drop(g, "signed off")
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
		if g.state.Is("up", "draining") && x.rep.OwnDead(dot) {
			x.e.Log.Emit(event.Afresh, "worker", g.worker)
			x.enter(g)
		}
	}
}
