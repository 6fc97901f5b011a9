// Package httpapi is the HTTP side that all programs share: serving a port and
// writing JSON.
package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"time"

	"puffincrank/internal/dialect"
	"puffincrank/internal/env"
	"puffincrank/internal/fault"
	"puffincrank/internal/task"
)

// Serve runs a handler on a port until the group ends.
func Serve(g *task.Group, e env.Env, addr string, h http.Handler, head time.Duration) error {
	_, err := open(g, e, addr, h, head, func(_ *http.Server, ear net.Listener) net.Listener { return ear })
	return err
}

// open does the same and gives the server, which may be changed before it runs.
func open(g *task.Group, e env.Env, addr string, h http.Handler, head time.Duration, with func(*http.Server, net.Listener) net.Listener) (*http.Server, error) {
	ear, err := e.Net.Listen(addr)
	if err != nil {
		return nil, fault.Wrap(fault.Closed, err, "listen on "+addr)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: head, ReadTimeout: 15 * head, IdleTimeout: 30 * head, MaxHeaderBytes: 64 << 10, ErrorLog: stdlog.New(io.Discard, "", 0)}
	ear = with(srv, ear)
	g.Go("outer-serve", func(context.Context) { _ = srv.Serve(ear) })
	g.Go("outer-close", func(ctx context.Context) {
		<-ctx.Done()
		_ = srv.Close()
	})
	return srv, nil
}

// TranslateCalls gives a handler the tongue's calls as our own. Never for jobs, whose
// paths are not ours to read.
func TranslateCalls(say dialect.Dialect, h http.Handler) http.Handler {
	if len(say.APIPaths) == 0 {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.URL.Path, r.URL.RawPath = say.APIPath(r.URL.Path), ""
		h.ServeHTTP(w, r)
	})
}

// WriteJSON writes a value with a status.
func WriteJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

// ErrorBody is the body of every answer that isn't a success.
type ErrorBody struct {
	Message  string `json:"wrong"`
	Version  uint64 `json:"version,omitempty"`
	Executed string `json:"ran,omitempty"`
	RetryMS  int64  `json:"retry_ms,omitempty"`
	Faults   any    `json:"faults,omitempty"`
}

// WriteBusy answers that nothing was done and never will be, and tells when to come
// back: after the time that what was lacking needs.
// Retry-After is in whole seconds, or in fractions where the tongue has them.
func WriteBusy(w http.ResponseWriter, why string, come time.Duration, fine ...bool) {
	ms := max(come.Milliseconds(), 1)
	after := strconv.FormatInt((ms+999)/1000, 10)
	if len(fine) > 0 && fine[0] {
		after = strconv.FormatFloat(float64(ms)/1000, 'f', 3, 64)
	}
	w.Header().Set("Retry-After", after)
	WriteJSON(w, http.StatusServiceUnavailable, ErrorBody{Message: why, Executed: "no", RetryMS: ms})
}

// ReadBody reads a bounded body; the status tells what is wrong with it.
func ReadBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, int) {
	// One of a known length is read into room of its size: growing by steps
	// would take several times as much.
	if n := r.ContentLength; n >= 0 && n <= most {
		b := make([]byte, n)
		if _, err := io.ReadFull(r.Body, b); err != nil {
			return nil, http.StatusBadRequest
		}
		return b, 0
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var big *http.MaxBytesError
	if errors.As(err, &big) {
		return nil, http.StatusRequestEntityTooLarge
	}
	if err != nil {
		return nil, http.StatusBadRequest
	}
	return b, 0
}
