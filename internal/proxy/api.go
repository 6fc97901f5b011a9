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

// apiRoutes serves operators, the platform and the local worker.
func (x *Proxy) apiRoutes() http.Handler {
	r := chi.NewRouter()
	r.Get("/puffin/ready", x.onReady)
	r.Post("/puffin/beat", x.onHeartbeat)
	r.Put("/puffin/workers/{id}", x.onWorker)
	r.Delete("/puffin/workers/{id}", x.onSignOff)
	r.Get("/puffin/own", func(w http.ResponseWriter, _ *http.Request) { httpapi.WriteJSON(w, http.StatusOK, x.status()) })
	r.Get("/puffin/own/trail", x.onDecisions)
	// Everything else is answered by the control plane, so that every node gives the same
	// answer.
	r.NotFound(x.forwardToControl)
	r.MethodNotAllowed(x.forwardToControl)
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
	httpapi.WriteJSON(w, code, map[string]any{"ready": x.Ready(), "state": x.lifecycle.Current(), "config_version": version})
}

// forwardToControl forwards a call to the control node of the session, and to others while it
// is certain that none has acted on it.
func (x *Proxy) forwardToControl(w http.ResponseWriter, r *http.Request) {
	x.activeAttempts.Add(1)
	defer x.activeAttempts.Add(-1)
	// An application's change that is read right after a pause of this process may be as old as
	// the pause, and its sender may have moved on. A proxy detects only longer pauses than a
	// control node does, so less time is left for the change.
	latestStart := time.Now().Add(x.Settings.MaxCallAge() / 2)
	appChange := r.Method != http.MethodGet && strings.HasPrefix(r.URL.Path, "/puffin/app/")
	if appChange && time.Since(x.pauseDetector.LastPauseEnd()) < x.Settings.HeartbeatInterval() {
		httpapi.WriteBusy(w, "frozen until just now; nothing was done", x.Settings.HeartbeatInterval())
		return
	}
	body, code := httpapi.ReadBody(w, r, int64(x.Settings.MaxFrameBytes)/2)
	if code != 0 {
		httpapi.WriteJSON(w, code, httpapi.ErrorBody{Message: "the body can't be read or is over the bound"})
		return
	}
	// The control plane's own bound and a little more: a change that is delayed in transit must
	// not be applied long after its caller gave up.
	timeout := 2*x.Settings.ConfigBound + x.Settings.CallTimeout()
	if r.URL.Query().Get("left_ms") != "" {
		timeout = x.Settings.GracePeriod
	}
	bounded, unbind := x.cutoff.Bind(r.Context())
	defer unbind()
	ctx, end := context.WithTimeout(bounded, timeout)
	defer end()
	in := protocol.ForwardedCall{Method: r.Method, URI: r.URL.RequestURI(), Body: body}
	if end, ok := ctx.Deadline(); ok && appChange {
		in.ProposalMarginMS = end.Sub(latestStart).Milliseconds() + 1
	}
	for _, addr := range x.control.ControlNodes() {
		if appChange && !time.Now().Before(latestStart) {
			break
		}
		resp, err := transport.Call[protocol.ForwardedResponse](ctx, x.node, addr, "outer.call", in)
		if err == nil {
			w.Header().Set("Content-Type", "application/json")
			if resp.RetryAfter != "" {
				w.Header().Set("Retry-After", resp.RetryAfter)
			}
			w.WriteHeader(resp.Status)
			_, _ = w.Write(resp.Body)
			return
		}
		// A read may be sent again; a change that may have been applied may not.
		if !fault.Is(err, fault.Unsent) && !fault.Is(err, fault.Refused) && r.Method != http.MethodGet {
			httpapi.WriteJSON(w, http.StatusGatewayTimeout, httpapi.ErrorBody{Message: "outcome unknown: the control node gave no receipt", Executed: "unknown"})
			return
		}
	}
	httpapi.WriteBusy(w, "no control node can be reached; nothing was done", x.Settings.ConfigBound)
}

// Status is a proxy's report on itself.
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
	Requests           requestCounts                              `msgpack:"count" json:"jobs"`
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

// StatusRequest asks a node for its status, optionally with its events since a number.
type StatusRequest struct {
	Events bool   `msgpack:"e"`
	Since  uint64 `msgpack:"s"`
}

func (x *Proxy) status() Status {
	session, confirmedAt := x.control.Current()
	status := Status{Node: x.Settings.Node, Zone: x.Settings.Zone, State: x.lifecycle.Current(), Session: session, ConfirmedAgoMS: time.Since(confirmedAt).Milliseconds(), TrafficAddr: x.Settings.TrafficAddr}
	if r := x.rules.Load(); r != nil {
		status.Version = r.Version
	}
	status.Entries, status.Tombstones = x.replica.Map().Size()
	for _, digest := range x.replica.Map().Digests() {
		status.Digest ^= digest
	}
	x.mu.Lock()
	status.Requests = x.counts
	x.mu.Unlock()
	status.Retries, status.ThinLinkRefusals = x.retryBudget.AllowedCount(), x.thinLinkRefusals.Load()
	status.Hedges = x.hedgeCount.Load()
	status.Goroutines = runtime.NumGoroutine()
	status.CallerConnections, status.CallersLeft = x.connLimits.OpenConns(), x.callersLeft.Load()
	status.BytesInFlight, status.BytesInFlightPeak, status.BytesInFlightLimit = x.byteLimiter.usage()
	status.Classes, status.Health = x.classUsage(), x.balancer.Weights()
	status.EagerLinks, status.LazyLinks = x.replica.Tree().LinkCounts()
	for flow, traffic := range x.node.BytesSent() {
		if flow.OtherZone {
			status.BytesToOtherZones += traffic.Bytes
		}
	}
	for _, local := range x.allWorkers() {
		used, _, slots := local.admission.Load()
		status.Workers = append(status.Workers, WorkerStatus{local.id, local.service, local.addr, local.state.Current(), slots, used})
	}
	return status
}

func (x *Proxy) onStatus(_ context.Context, _ transport.Hello, in StatusRequest) (Status, error) {
	s := x.status()
	if in.Events {
		s.Events = x.env.Log.Since(in.Since)
	}
	return s, nil
}

// DrainRequest asks a node to drain its workers, or to undo that.
type DrainRequest struct {
	On bool `msgpack:"o"`
}

func (x *Proxy) isDrained() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.drainedByOperator
}

// onDrain drains the workers of this node until that is undone; the next heartbeat of a worker
// then brings it back.
func (x *Proxy) onDrain(_ context.Context, _ transport.Hello, in DrainRequest) (Status, error) {
	x.mu.Lock()
	x.drainedByOperator = in.On
	x.mu.Unlock()
	if in.On {
		x.drainWorkers()
	}
	return x.status(), nil
}

// ActiveRequests counts the requests in progress at this ingress.
func (x *Proxy) ActiveRequests() int64 { return x.activeRequests.Load() }

// ActiveAttempts counts the attempts in progress at the local worker.
func (x *Proxy) ActiveAttempts() int64 { return x.activeAttempts.Load() }

// HedgeCount counts the second attempts that were started beside first ones.
func (x *Proxy) HedgeCount() int64 { return x.hedgeCount.Load() }

// RetriesRequested counts the retries that requests of this ingress asked the budget for.
func (x *Proxy) RetriesRequested() int64 { return x.retryBudget.RequestedCount() }

// BytesSent gives the bytes that this process sent to other nodes, by kind of message;
// responses count under the kind of their request.
func (x *Proxy) BytesSent() map[transport.Flow]transport.Traffic { return x.node.BytesSent() }
