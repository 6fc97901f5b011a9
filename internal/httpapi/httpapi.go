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
func Serve(group *task.Group, environment env.Env, addr string, handler http.Handler, headerTimeout time.Duration) error {
	_, err := startServer(group, environment, addr, handler, headerTimeout, func(_ *http.Server, listener net.Listener) net.Listener { return listener })
	return err
}

// startServer does the same and gives the server, which may be changed before it runs.
func startServer(group *task.Group, environment env.Env, addr string, handler http.Handler, headerTimeout time.Duration, configure func(*http.Server, net.Listener) net.Listener) (*http.Server, error) {
	listener, err := environment.Net.Listen(addr)
	if err != nil {
		return nil, fault.Wrap(fault.Closed, err, "listen on "+addr)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: 15 * headerTimeout, IdleTimeout: 30 * headerTimeout, MaxHeaderBytes: 64 << 10, ErrorLog: stdlog.New(io.Discard, "", 0)}
	listener = configure(server, listener)
	group.Go("outer-serve", func(context.Context) { _ = server.Serve(listener) })
	group.Go("outer-close", func(ctx context.Context) {
		<-ctx.Done()
		_ = server.Close()
	})
	return server, nil
}

// TranslateCalls gives a handler the tongue's calls as our own. Never for jobs, whose
// paths are not ours to read.
func TranslateCalls(apiDialect dialect.Dialect, handler http.Handler) http.Handler {
	if len(apiDialect.APIPaths) == 0 {
		return handler
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.URL.Path, r.URL.RawPath = apiDialect.APIPath(r.URL.Path), ""
		handler.ServeHTTP(w, r)
	})
}

// WriteJSON writes a value with a status.
func WriteJSON(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value)
}

// ErrorBody is the body of every answer that isn't a success.
type ErrorBody struct {
	Message string `json:"wrong"`
	Version uint64 `json:"version,omitempty"`
	Ran     string `json:"ran,omitempty"`
	RetryMS int64  `json:"retry_ms,omitempty"`
	Faults  any    `json:"faults,omitempty"`
}

// WriteBusy answers that nothing was done and never will be, and tells when to come
// back: after the time that what was lacking needs.
// Retry-After is in whole seconds, or in fractions where the tongue has them.
func WriteBusy(w http.ResponseWriter, reason string, wait time.Duration, fractional ...bool) {
	waitMS := max(wait.Milliseconds(), 1)
	retryAfter := strconv.FormatInt((waitMS+999)/1000, 10)
	if len(fractional) > 0 && fractional[0] {
		retryAfter = strconv.FormatFloat(float64(waitMS)/1000, 'f', 3, 64)
	}
	w.Header().Set("Retry-After", retryAfter)
	WriteJSON(w, http.StatusServiceUnavailable, ErrorBody{Message: reason, Ran: "no", RetryMS: waitMS})
}

// ReadBody reads a bounded body; the status tells what is wrong with it.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, int) {
	// One of a known length is read into room of its size: growing by steps
	// would take several times as much.
	if length := r.ContentLength; length >= 0 && length <= maxBytes {
		body := make([]byte, length)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, http.StatusBadRequest
		}
		return body, 0
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, http.StatusRequestEntityTooLarge
	}
	if err != nil {
		return nil, http.StatusBadRequest
	}
	return body, 0
}
