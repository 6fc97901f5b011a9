// Package outer is the HTTP side that all programs share: serving a port and
// writing JSON.
package outer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	stdlog "log"
	"net/http"
	"strconv"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/fault"
	"puffincrank/internal/task"
)

// Serve runs a handler on a port until the group ends.
func Serve(g *task.Group, e env.Env, addr string, h http.Handler, head time.Duration) error {
	ear, err := e.Net.Listen(addr)
	if err != nil {
		return fault.Wrap(fault.Closed, err, "listen on "+addr)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: head, ReadTimeout: 15 * head, IdleTimeout: 30 * head, MaxHeaderBytes: 64 << 10, ErrorLog: stdlog.New(io.Discard, "", 0)}
	g.Go("outer-serve", func(context.Context) { _ = srv.Serve(ear) })
	g.Go("outer-close", func(ctx context.Context) {
		<-ctx.Done()
		_ = srv.Close()
	})
	return nil
}

// JSON writes a value with a status.
func JSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

// Wrong is the body of every answer that isn't a success.
type Wrong struct {
	Wrong   string `json:"wrong"`
	Version uint64 `json:"version,omitempty"`
	Ran     string `json:"ran,omitempty"`
	Retry   int64  `json:"retry_ms,omitempty"`
	Faults  any    `json:"faults,omitempty"`
}

// Busy answers that nothing was done and never will be, and tells when to come
// back: after the time that what was lacking needs.
func Busy(w http.ResponseWriter, why string, come time.Duration) {
	ms := max(come.Milliseconds(), 1)
	w.Header().Set("Retry-After", strconv.FormatInt((ms+999)/1000, 10))
	JSON(w, http.StatusServiceUnavailable, Wrong{Wrong: why, Ran: "no", Retry: ms})
}

// Body reads a bounded body; the status tells what is wrong with it.
func Body(w http.ResponseWriter, r *http.Request, most int64) ([]byte, int) {
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
