package registry

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/protocol"
	"puffincrank/internal/rules"
	"puffincrank/internal/schema"
	"puffincrank/internal/store"
	"puffincrank/internal/transport"
)

// newHandler returns the handler of the HTTP API, for the calls that this process answers
// and for those that it passes on to the stores.
func (r *Registry) newHandler() http.Handler {
	router := chi.NewRouter()
	router.Use(r.trackCalls)
	router.Get("/puffin/ready", r.getReady)
	router.Get("/puffin/status", r.getStatus)
	router.Get("/puffin/services", r.getServices)
	router.Get("/puffin/events", r.getEvents)
	router.Get("/puffin/config", r.getConfig)
	router.Put("/puffin/config", r.putConfig)
	router.Post("/puffin/config/check", r.checkConfig)
	router.Get("/puffin/history", r.getHistory)
	router.Get("/puffin/trials", r.getTrials)
	router.Get("/puffin/trials/{id}", r.getTrials)
	router.Post("/puffin/trials", r.proposeTrial)
	router.Post("/puffin/trials/{id}/abort", r.abortTrial)
	router.Post("/puffin/nodes/{node}/drain", r.drainNode)
	router.Delete("/puffin/stores/{id}", r.removeStore)
	router.Get("/puffin/locks", r.getLocks)
	router.Get("/puffin/locks/{name}", r.getLock)
	router.Post("/puffin/locks/{name}/{op}", r.postLock)
	router.Get("/puffin/numbers/{name}", r.getNumber)
	router.Post("/puffin/numbers/{name}/next", r.nextNumber)
	router.Get("/puffin/keys", r.listKeys)
	router.Get("/puffin/keys/*", r.getKey)
	router.Put("/puffin/keys/*", r.putKey)
	router.Delete("/puffin/keys/*", r.deleteKey)
	router.Get("/puffin/watch", r.watch)
	r.registerAppRoutes(router)
	router.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteJSON(w, http.StatusNotFound, httpapi.ErrorBody{Message: "no such call"})
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteJSON(w, http.StatusMethodNotAllowed, httpapi.ErrorBody{Message: "the call has another method"})
	})
	return router
}

// trackCalls counts the calls in progress, so that a shutdown can wait for them, and turns
// new ones away once the node no longer serves.
func (r *Registry) trackCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.activeCalls.Add(1)
		defer r.activeCalls.Add(-1)
		if r.lifecycle.Is("shut") && req.URL.Path != "/puffin/ready" {
			httpapi.WriteBusy(w, "this node is leaving; nothing was done", r.Settings.LeaveBound)
			return
		}
		ctx, unbind := r.cutoff.Bind(req.Context())
		defer unbind()
		next.ServeHTTP(w, req.WithContext(ctx))
	})
}

// responseRecorder records a response that is sent back over an internal link.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *responseRecorder) Header() http.Header { return r.header }
func (r *responseRecorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}
func (r *responseRecorder) Write(data []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(data)
}

// onForwardedCall serves an API call that a proxy forwarded.
func (r *Registry) onForwardedCall(ctx context.Context, _ transport.Hello, call protocol.ForwardedCall) (protocol.ForwardedResponse, error) {
	if r.lifecycle.Is("leaving", "shut") {
		return protocol.ForwardedResponse{}, fault.New(fault.Refused, "leaving")
	}
	if deadline, ok := ctx.Deadline(); ok && call.ProposalMarginMS > 0 {
		ctx = context.WithValue(ctx, proposeByKey{}, deadline.Add(-time.Duration(call.ProposalMarginMS)*time.Millisecond))
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, call.URI, bytes.NewReader(call.Body))
	if err != nil {
		return protocol.ForwardedResponse{}, fault.Wrap(fault.Refused, err, "outside call")
	}
	recorder := &responseRecorder{header: http.Header{}}
	r.handler.ServeHTTP(recorder, req)
	return protocol.ForwardedResponse{Status: recorder.status, Body: recorder.body.Bytes(), RetryAfter: recorder.header.Get("Retry-After")}, nil
}

// withDeadline bounds the time of an API call: by the remaining time that the client gave,
// up to the grace period, or else by twice ConfigBound.
func (r *Registry) withDeadline(req *http.Request) (context.Context, context.CancelFunc) {
	timeout := 2 * r.Settings.ConfigBound
	if remaining, err := strconv.ParseInt(req.URL.Query().Get("left_ms"), 10, 64); err == nil && remaining > 0 {
		timeout = min(time.Duration(remaining)*time.Millisecond, r.Settings.GracePeriod)
	}
	return context.WithTimeout(req.Context(), timeout)
}

// writeStoreError answers for an error of the stores: 503 if nothing was proposed, 504 if
// the outcome is unknown.
func (r *Registry) writeStoreError(w http.ResponseWriter, err error) {
	if fault.Is(err, fault.Refused) && !fault.Is(err, fault.Unknown) {
		// A vacant role is won again within one and a half leases.
		httpapi.WriteBusy(w, "no majority of the stores: nothing was done", r.Settings.Lease()*3/2)
		return
	}
	httpapi.WriteJSON(w, http.StatusGatewayTimeout, httpapi.ErrorBody{Message: "outcome unknown: read back to find out; " + err.Error(), Executed: "unknown"})
}

func (r *Registry) getReady(w http.ResponseWriter, _ *http.Request) {
	code := http.StatusOK
	ready := r.Ready()
	if !ready {
		code = http.StatusServiceUnavailable
	}
	httpapi.WriteJSON(w, code, map[string]any{"ready": ready, "state": r.lifecycle.Current(), "in_touch": r.connected()})
}

func (r *Registry) getConfig(w http.ResponseWriter, req *http.Request) {
	if req.URL.Query().Get("as") == "sent" {
		r.getSentConfig(w, req)
		return
	}
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	result, err := r.stores.read(ctx, store.ReadRequest{Kind: "config"})
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	response := map[string]any{"version": result.Version}
	if len(result.Doc) > 0 {
		if doc, _, err := schema.Parse(result.Doc); err == nil {
			response["document"] = doc
		}
	}
	httpapi.WriteJSON(w, http.StatusOK, response)
}

// readDocument reads a configuration document from the body and validates it.
func (r *Registry) readDocument(w http.ResponseWriter, req *http.Request) ([]byte, *rules.Rules) {
	raw, ok := r.readDocumentBody(w, req)
	if !ok {
		return nil, nil
	}
	return raw, r.checkDocument(w, raw, nil)
}

func (r *Registry) readDocumentBody(w http.ResponseWriter, req *http.Request) ([]byte, bool) {
	raw, code := httpapi.ReadBody(w, req, rules.MaxDocumentBytes)
	if code != 0 {
		httpapi.WriteJSON(w, code, httpapi.ErrorBody{Message: fmt.Sprintf("the document is over %d bytes or can't be read", rules.MaxDocumentBytes)})
	}
	return raw, code == 0
}

// checkDocument validates a document and answers with the problems found, after those
// already known. Only the control plane may write routes that carry a trial.
func (r *Registry) checkDocument(w http.ResponseWriter, raw []byte, problems []schema.Problem) *rules.Rules {
	compiled, found, err := rules.Compile(0, raw)
	if err != nil {
		r.env.Log.Emit(event.ConfigRefused, "why", err.Error())
		httpapi.WriteJSON(w, http.StatusBadRequest, httpapi.ErrorBody{Message: "not a JSON document: " + err.Error()})
		return nil
	}
	if compiled != nil {
		for i, route := range compiled.Routes {
			if route.Trial != 0 {
				found = append(found, schema.Problem{Place: fmt.Sprintf("paths[%d].trial", i), Message: "trials are begun by propose"})
			}
		}
	}
	if found = append(problems, found...); len(found) > 0 {
		r.env.Log.Emit(event.ConfigRefused, "faults", len(found), "first", found[0].Place)
		httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: fmt.Sprintf("the document has %d faults", len(found)), Faults: found})
		return nil
	}
	return compiled
}

func (r *Registry) checkConfig(w http.ResponseWriter, req *http.Request) {
	if _, compiled := r.readDocument(w, req); compiled != nil {
		httpapi.WriteJSON(w, http.StatusOK, map[string]any{"good": true, "paths": len(compiled.Routes)})
	}
}
