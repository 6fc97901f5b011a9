package proxy

import (
	"context"
	"net/http"
	"runtime"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"puffincrank/internal/admission"
	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/protocol"
	"puffincrank/internal/transport"
)

// outerRoutes is the port of operators, the platform and the own worker.
func (x *Proxy) outerRoutes() http.Handler {
	r := chi.NewRouter()
	r.Get("/puffin/ready", x.onReady)
	r.Post("/puffin/beat", x.onBeat)
	r.Put("/puffin/workers/{id}", x.onWorker)
	r.Delete("/puffin/workers/{id}", x.onLeave)
	r.Get("/puffin/own", func(w http.ResponseWriter, _ *http.Request) { httpapi.WriteJSON(w, http.StatusOK, x.status()) })
	r.Get("/puffin/own/trail", x.onTrail)
	// All else is the core's to answer, so that every node gives the same.
	r.NotFound(x.handOut)
	r.MethodNotAllowed(x.handOut)
	return r
}

func (x *Proxy) onReady(w http.ResponseWriter, _ *http.Request) {
	code := http.StatusOK
	if !x.Ready() {
		code = http.StatusServiceUnavailable
	}
	version := uint64(0)
	if r := x.rules.Load(); r != nil {
		version = r.Version
	}
	httpapi.WriteJSON(w, code, map[string]any{"ready": x.Ready(), "state": x.life.Current(), "config_version": version})
}

// handOut hands an outside call over to the control node of the session, and
// to others as long as it is certain that none has acted on it.
func (x *Proxy) handOut(w http.ResponseWriter, r *http.Request) {
	x.owned.Add(1)
	defer x.owned.Add(-1)
	// An application's change that is read right after a freeze may be as old
	// as the freeze; its sender has done other things since. A front notices
	// only longer freezes than a control node does, so that less time is left.
	by := time.Now().Add(x.Settings.MaxCallAge() / 2)
	app := r.Method != http.MethodGet && strings.HasPrefix(r.URL.Path, "/puffin/app/")
	if app && time.Since(x.pulse.LastPauseEnd()) < x.Settings.HeartbeatInterval() {
		httpapi.WriteBusy(w, "frozen until just now; nothing was done", x.Settings.HeartbeatInterval())
		return
	}
	body, code := httpapi.ReadBody(w, r, int64(x.Settings.MaxFrameBytes)/2)
	if code != 0 {
		httpapi.WriteJSON(w, code, httpapi.ErrorBody{Message: "the body can't be read or is over the bound"})
		return
	}
	// The core's own bound and a little more: a change that is held up on its
	// way must not be done long after its caller gave up.
	long := 2*x.Settings.ConfigBound + x.Settings.CallTimeout()
	if r.URL.Query().Get("left_ms") != "" {
		long = x.Settings.GracePeriod
	}
	bound, over := x.late.Bind(r.Context())
	defer over()
	ctx, end := context.WithTimeout(bound, long)
	defer end()
	in := protocol.ForwardedCall{Method: r.Method, URI: r.URL.RequestURI(), Body: body}
	if end, ok := ctx.Deadline(); ok && app {
		in.ProposalMarginMS = end.Sub(by).Milliseconds() + 1
	}
	for _, to := range x.touch.ControlNodes() {
		if app && !time.Now().Before(by) {
			break
		}
		got, err := transport.Call[protocol.ForwardedResponse](ctx, x.n, to, "outer.call", in)
		if err == nil {
			w.Header().Set("Content-Type", "application/json")
			if got.RetryAfter != "" {
				w.Header().Set("Retry-After", got.RetryAfter)
			}
			w.WriteHeader(got.Status)
			_, _ = w.Write(got.Body)
			return
		}
		// A read may be asked again; a change that may have been done may not.
		if !fault.Is(err, fault.Unsent) && !fault.Is(err, fault.Refused) && r.Method != http.MethodGet {
			httpapi.WriteJSON(w, http.StatusGatewayTimeout, httpapi.ErrorBody{Message: "outcome unknown: the control node gave no receipt", Executed: "unknown"})
			return
		}
	}
	httpapi.WriteBusy(w, "no control node can be reached; nothing was done", x.Settings.ConfigBound)
}

// Status is what a proxy says of itself.
type Status struct {
	Node               string                                     `msgpack:"node" json:"node"`
	Zone               string                                     `msgpack:"area" json:"area"`
	State              string                                     `msgpack:"state" json:"state"`
	Version            uint64                                     `msgpack:"version" json:"config_version"`
	Session            string                                     `msgpack:"session" json:"session"`
	ConfirmedAgoMS     int64                                      `msgpack:"sure" json:"confirmed_ms_ago"`
	Entries            int                                        `msgpack:"entries" json:"entries"`
	Tombstones         int                                        `msgpack:"dead" json:"tombstones"`
	Digest             uint64                                     `msgpack:"digest" json:"digest"`
	Requests           counts                                     `msgpack:"count" json:"jobs"`
	Retries            int64                                      `msgpack:"repeats" json:"repeats"`
	Classes            map[string]map[string]admission.ClassUsage `msgpack:"classes" json:"classes"`
	Health             map[string]float64                         `msgpack:"fitness" json:"fitness"`
	Workers            []WorkerStatus                             `msgpack:"workers" json:"workers"`
	Events             []event.Entry                              `msgpack:"events" json:"-"`
	TrafficAddr        string                                     `msgpack:"traffic" json:"traffic"`
	EagerLinks         int                                        `msgpack:"eager" json:"eager_links"`
	LazyLinks          int                                        `msgpack:"lazy" json:"lazy_links"`
	BytesToOtherZones  int64                                      `msgpack:"away" json:"bytes_sent_to_other_areas"`
	CallerConnections  int64                                      `msgpack:"callers,omitempty" json:"connections_of_callers"`
	BytesInFlight      int64                                      `msgpack:"bytes,omitempty" json:"bytes_under_way"`
	BytesInFlightPeak  int64                                      `msgpack:"peak,omitempty" json:"bytes_under_way_peak"`
	BytesInFlightLimit int64                                      `msgpack:"room,omitempty" json:"bytes_under_way_bound"`
	ThinLinkRefusals   int64                                      `msgpack:"slim,omitempty" json:"refused_for_thin_links"`
	CallersLeft        int64                                      `msgpack:"quit,omitempty" json:"callers_left"`
	Hedges             int64                                      `msgpack:"hedges,omitempty" json:"hedged"`
	Goroutines         int                                        `msgpack:"routines,omitempty" json:"goroutines"`
}

// WorkerStatus is one worker as its owner sees it.
type WorkerStatus struct {
	Worker  string `msgpack:"w" json:"worker"`
	Service string `msgpack:"s" json:"service"`
	Addr    string `msgpack:"a" json:"addr"`
	State   string `msgpack:"t" json:"state"`
	Slots   int    `msgpack:"n" json:"slots"`
	Used    int    `msgpack:"u" json:"used"`
}

// StatusRequest asks a node for its status, with its events above a number.
type StatusRequest struct {
	Events bool   `msgpack:"e"`
	Since  uint64 `msgpack:"s"`
}

func (x *Proxy) status() Status {
	at, sure := x.touch.Current()
	s := Status{Node: x.Settings.Node, Zone: x.Settings.Zone, State: x.life.Current(), Session: at, ConfirmedAgoMS: time.Since(sure).Milliseconds(), TrafficAddr: x.Settings.TrafficAddr}
	if r := x.rules.Load(); r != nil {
		s.Version = r.Version
	}
	s.Entries, s.Tombstones = x.rep.Map().Size()
	for _, d := range x.rep.Map().Digests() {
		s.Digest ^= d
	}
	x.mu.Lock()
	s.Requests = x.count
	x.mu.Unlock()
	s.Retries, s.ThinLinkRefusals = x.again.AllowedCount(), x.slim.Load()
	s.Hedges = x.hedges.Load()
	s.Goroutines = runtime.NumGoroutine()
	s.CallerConnections, s.CallersLeft = x.stay.OpenConns(), x.quit.Load()
	s.BytesInFlight, s.BytesInFlightPeak, s.BytesInFlightLimit = x.load.at()
	s.Classes, s.Health = x.uses(), x.pick.Weights()
	s.EagerLinks, s.LazyLinks = x.rep.Tree().LinkCounts()
	for k, v := range x.n.BytesSent() {
		if k.OtherZone {
			s.BytesToOtherZones += v.Bytes
		}
	}
	for _, g := range x.allGates() {
		used, _, slots := g.room.Load()
		s.Workers = append(s.Workers, WorkerStatus{g.worker, g.service, g.addr, g.state.Current(), slots, used})
	}
	return s
}

func (x *Proxy) onStatus(_ context.Context, _ transport.Hello, in StatusRequest) (Status, error) {
	s := x.status()
	if in.Events {
		s.Events = x.e.Log.Since(in.Since)
	}
	return s, nil
}

// DrainRequest is an operator's word to drain a node's workers, or to undo it.
type DrainRequest struct {
	On bool `msgpack:"o"`
}

func (x *Proxy) held() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.hold
}

// onDrain drains the workers of this node until it is undone; the next beat
// of a worker brings it back.
func (x *Proxy) onDrain(_ context.Context, _ transport.Hello, in DrainRequest) (Status, error) {
	x.mu.Lock()
	x.hold = in.On
	x.mu.Unlock()
	if in.On {
		x.drainWorkers()
	}
	return x.status(), nil
}

// ActiveRequests counts the jobs under way at this front.
func (x *Proxy) ActiveRequests() int64 { return x.busy.Load() }

// ActiveAttempts counts the attempts under way at this node's worker.
func (x *Proxy) ActiveAttempts() int64 { return x.owned.Load() }

// HedgeCount counts the second attempts that were begun beside first ones.
func (x *Proxy) HedgeCount() int64 { return x.hedges.Load() }

// RetriesRequested counts the repeats that this front's jobs asked for.
func (x *Proxy) RetriesRequested() int64 { return x.again.RequestedCount() }

// BytesSent gives the bytes that this process sent to others, by kind of message;
// receipts count with what they answer.
func (x *Proxy) BytesSent() map[transport.Flow]transport.Traffic { return x.n.BytesSent() }
