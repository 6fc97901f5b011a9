// Package httpapi holds the HTTP server code that all programs share: serving a port,
// reading bodies and writing JSON responses.
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

// Serve serves a port until the group stops. The read and idle timeouts are multiples of
// headerTimeout.
func Serve(group *task.Group, environment env.Env, addr string, handler http.Handler, headerTimeout time.Duration) error {
	_, err := startServer(group, environment, addr, handler, headerTimeout, func(_ *http.Server, listener net.Listener) net.Listener { return listener })
	return err
}

// startServer does the same and returns the server. configure may change the server before
// it runs and replace its listener.
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

// TranslateCalls rewrites a dialect's API paths to the native ones. It must not be used for
// callers' requests, whose paths belong to the application.
func TranslateCalls(apiDialect dialect.Dialect, handler http.Handler) http.Handler {
	if len(apiDialect.APIPaths) == 0 {
		return handler
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.URL.Path, r.URL.RawPath = apiDialect.APIPath(r.URL.Path), ""
		handler.ServeHTTP(w, r)
	})
}

// WriteJSON writes a JSON response with the given status code.
func WriteJSON(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value)
}

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Message  string `json:"wrong"`
	Version  uint64 `json:"version,omitempty"`
	Executed string `json:"ran,omitempty"`
	RetryMS  int64  `json:"retry_ms,omitempty"`
	Faults   any    `json:"faults,omitempty"`
}

// WriteBusy responds with 503: the request was not and will not be executed, and may be
// retried after wait, when the missing resource is expected to be available. Retry-After
// is in whole seconds, rounded up, or with fractions if the dialect allows them.
func WriteBusy(w http.ResponseWriter, reason string, wait time.Duration, fractional ...bool) {
	waitMS := max(wait.Milliseconds(), 1)
	retryAfter := strconv.FormatInt((waitMS+999)/1000, 10)
	if len(fractional) > 0 && fractional[0] {
		retryAfter = strconv.FormatFloat(float64(waitMS)/1000, 'f', 3, 64)
	}
	w.Header().Set("Retry-After", retryAfter)
	WriteJSON(w, http.StatusServiceUnavailable, ErrorBody{Message: reason, Executed: "no", RetryMS: waitMS})
}

// ReadBody reads a request body of at most maxBytes. The status is 0 on success, otherwise
// the one to respond with.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, int) {
	// A body of known length is read into a buffer of that size: growing a buffer
	// would allocate several times as much.
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
