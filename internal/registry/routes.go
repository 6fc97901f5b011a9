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

// outerRoutes are the outside calls, for this program and for the store.
func (r *Registry) outerRoutes() http.Handler {
	m := chi.NewRouter()
	m.Use(r.countCalls)
	m.Get("/puffin/ready", r.getReady)
	m.Get("/puffin/status", r.getStatus)
	m.Get("/puffin/services", r.getServices)
	m.Get("/puffin/events", r.getEvents)
	m.Get("/puffin/config", r.getConfig)
	m.Put("/puffin/config", r.putConfig)
	m.Post("/puffin/config/check", r.checkConfig)
	m.Get("/puffin/history", r.getHistory)
	m.Get("/puffin/trials", r.getTrials)
	m.Get("/puffin/trials/{id}", r.getTrials)
	m.Post("/puffin/trials", r.propose)
	m.Post("/puffin/trials/{id}/abort", r.abort)
	m.Post("/puffin/nodes/{node}/drain", r.drain)
	m.Delete("/puffin/stores/{id}", r.removeStore)
	m.Get("/puffin/locks", r.getLocks)
	m.Get("/puffin/locks/{name}", r.getLock)
	m.Post("/puffin/locks/{name}/{op}", r.postLock)
	m.Get("/puffin/numbers/{name}", r.getNumber)
	m.Post("/puffin/numbers/{name}/next", r.nextNumber)
	m.Get("/puffin/keys", r.listKeys)
	m.Get("/puffin/keys/*", r.getKey)
	m.Put("/puffin/keys/*", r.putKey)
	m.Delete("/puffin/keys/*", r.deleteKey)
	m.Get("/puffin/watch", r.watch)
	r.appRoutes(m)
	m.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteJSON(w, http.StatusNotFound, httpapi.ErrorBody{Message: "no such call"})
	})
	m.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteJSON(w, http.StatusMethodNotAllowed, httpapi.ErrorBody{Message: "the call has another method"})
	})
	return m
}

// countCalls lets a stop wait for the calls under way, and sends new ones away
// from a node that leaves.
func (r *Registry) countCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.calls.Add(1)
		defer r.calls.Add(-1)
		if r.life.Is("shut") && req.URL.Path != "/puffin/ready" {
			httpapi.WriteBusy(w, "this node is leaving; nothing was done", r.Settings.LeaveBound)
			return
		}
		ctx, over := r.late.Bind(req.Context())
		defer over()
		next.ServeHTTP(w, req.WithContext(ctx))
	})
}

// recordedAnswer collects an answer that goes back over a link.
type recordedAnswer struct {
	head http.Header
	code int
	buf  bytes.Buffer
}

func (t *recordedAnswer) Header() http.Header { return t.head }
func (t *recordedAnswer) WriteHeader(c int) {
	if t.code == 0 {
		t.code = c
	}
}
func (t *recordedAnswer) Write(b []byte) (int, error) {
	t.WriteHeader(http.StatusOK)
	return t.buf.Write(b)
}

// onOuter answers an outside call that a proxy handed over.
func (r *Registry) onOuter(ctx context.Context, _ transport.Hello, in protocol.ForwardedCall) (protocol.ForwardedResponse, error) {
	if r.life.Is("leaving", "shut") {
		return protocol.ForwardedResponse{}, fault.New(fault.Refused, "leaving")
	}
	if end, ok := ctx.Deadline(); ok && in.ProposalMarginMS > 0 {
		ctx = context.WithValue(ctx, byKey{}, end.Add(-time.Duration(in.ProposalMarginMS)*time.Millisecond))
	}
	req, err := http.NewRequestWithContext(ctx, in.Method, in.URI, bytes.NewReader(in.Body))
	if err != nil {
		return protocol.ForwardedResponse{}, fault.Wrap(fault.Refused, err, "outside call")
	}
	t := &recordedAnswer{head: http.Header{}}
	r.routes.ServeHTTP(t, req)
	return protocol.ForwardedResponse{Status: t.code, Body: t.buf.Bytes(), RetryAfter: t.head.Get("Retry-After")}, nil
}

// withDeadline bounds an outside call.
func (r *Registry) withDeadline(req *http.Request) (context.Context, context.CancelFunc) {
	wait := 2 * r.Settings.ConfigBound
	if ms, err := strconv.ParseInt(req.URL.Query().Get("left_ms"), 10, 64); err == nil && ms > 0 {
		wait = min(time.Duration(ms)*time.Millisecond, r.Settings.GracePeriod)
	}
	return context.WithTimeout(req.Context(), wait)
}

// answerFailure answers for an error of the stores: 503 when nothing was proposed,
// 504 when the outcome is unknown.
func (r *Registry) answerFailure(w http.ResponseWriter, err error) {
	if fault.Is(err, fault.Refused) && !fault.Is(err, fault.Unknown) {
		// A vacant role is won again after a lease and up to half of one.
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
	httpapi.WriteJSON(w, code, map[string]any{"ready": ready, "state": r.life.Current(), "in_touch": r.inTouch()})
}

func (r *Registry) getConfig(w http.ResponseWriter, req *http.Request) {
	if req.URL.Query().Get("as") == "sent" {
		r.sentConfig(w, req)
		return
	}
	ctx, end := r.withDeadline(req)
	defer end()
	got, err := r.stores.read(ctx, store.ReadRequest{Kind: "config"})
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	out := map[string]any{"version": got.Version}
	if len(got.Doc) > 0 {
		if doc, _, err := schema.Parse(got.Doc); err == nil {
			out["document"] = doc
		}
	}
	httpapi.WriteJSON(w, http.StatusOK, out)
}

// readDoc reads a document from a body and finds its faults.
func (r *Registry) readDoc(w http.ResponseWriter, req *http.Request) ([]byte, *rules.Rules) {
	raw, ok := r.docBody(w, req)
	if !ok {
		return nil, nil
	}
	return raw, r.checkDoc(w, raw, nil)
}

func (r *Registry) docBody(w http.ResponseWriter, req *http.Request) ([]byte, bool) {
	raw, code := httpapi.ReadBody(w, req, rules.MaxDocumentBytes)
	if code != 0 {
		httpapi.WriteJSON(w, code, httpapi.ErrorBody{Message: fmt.Sprintf("the document is over %d bytes or can't be read", rules.MaxDocumentBytes)})
	}
	return raw, code == 0
}

// checkDoc finds a document's faults, besides those that are known already.
// Paths that carry a trial are the mesh's own to write.
func (r *Registry) checkDoc(w http.ResponseWriter, raw []byte, known []schema.Problem) *rules.Rules {
	c, bad, err := rules.Compile(0, raw)
	if err != nil {
		r.e.Log.Emit(event.ConfigRefused, "why", err.Error())
		httpapi.WriteJSON(w, http.StatusBadRequest, httpapi.ErrorBody{Message: "not a JSON document: " + err.Error()})
		return nil
	}
	if c != nil {
		for i, p := range c.Routes {
			if p.Trial != 0 {
				bad = append(bad, schema.Problem{Place: fmt.Sprintf("paths[%d].trial", i), Message: "trials are begun by propose"})
			}
		}
	}
	if bad = append(known, bad...); len(bad) > 0 {
		r.e.Log.Emit(event.ConfigRefused, "faults", len(bad), "first", bad[0].Place)
		httpapi.WriteJSON(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Message: fmt.Sprintf("the document has %d faults", len(bad)), Faults: bad})
		return nil
	}
	return c
}

func (r *Registry) checkConfig(w http.ResponseWriter, req *http.Request) {
	if _, c := r.readDoc(w, req); c != nil {
		httpapi.WriteJSON(w, http.StatusOK, map[string]any{"good": true, "paths": len(c.Routes)})
	}
}
