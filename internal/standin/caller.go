package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/responsedigest"
	"puffincrank/internal/task"
)

// CallKind is one kind of call that callers make. A safe call may be executed more than once.
type CallKind struct {
	Method, URI, Service string
	Retryable            bool
	Rate                 float64 // calls per second, over all callers
	Size                 int     // bytes of the request body
	AnswerSize           int     // bytes of the answer in addition to its fixed part
	Timeout              string  // remaining time in ms, for a nested call
}

// Callers send a steady mix of calls to all ingresses: an open-loop load with a bound on the
// pending calls.
type Callers struct {
	env       env.Env
	tasks     *task.Group
	observer  *Observer
	ingresses []string
	transport *http.Transport
	sequence  atomic.Int64
	pending   atomic.Int64
	Timeout   time.Duration
	Name      string                    // prefix of the call IDs
	Skip      func(ingress string) bool // if set, tells which ingresses get no calls for now
}

// NewCallers creates callers of the given ingresses.
func NewCallers(environment env.Env, ingresses []string, observer *Observer, timeout time.Duration) *Callers {
	callers := &Callers{env: environment, tasks: task.New(context.Background()), observer: observer, ingresses: ingresses, Timeout: timeout, Name: "c"}
	callers.transport = &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return environment.Net.Dial(ctx, addr) }}
	return callers
}

// Run makes calls for the given duration and returns when all of them have ended.
func (c *Callers) Run(lines []CallKind, duration time.Duration) {
	runCtx, cancel := context.WithTimeout(c.tasks.Context(), duration)
	defer cancel()
	for _, line := range lines {
		c.tasks.Go("line", func(context.Context) {
			interval := time.Duration(float64(time.Second) / line.Rate)
			for runCtx.Err() == nil {
				timer := time.NewTimer(interval/2 + time.Duration(rand.Int64N(int64(interval)+1)))
				select {
				case <-timer.C:
				case <-runCtx.Done():
					timer.Stop()
					return
				}
				// Start no call while 2000 are pending.
				if c.pending.Load() < 2000 {
					c.pending.Add(1)
					c.tasks.Go("call", func(context.Context) {
						defer c.pending.Add(-1)
						c.CallAny(line)
					})
				}
			}
		})
	}
	<-runCtx.Done()
	for c.pending.Load() > 0 {
		timer := time.NewTimer(10 * time.Millisecond)
		<-timer.C
	}
	c.tasks.Stop()
}

// CallAny makes one call to a random ingress.
func (c *Callers) CallAny(line CallKind) Call {
	ingress := c.ingresses[rand.IntN(len(c.ingresses))]
	for attempt := 0; attempt < 20 && c.Skip != nil && c.Skip(ingress); attempt++ {
		ingress = c.ingresses[rand.IntN(len(c.ingresses))]
	}
	return c.CallAt(ingress, line)
}

// CallAt makes one call to the given ingress.
func (c *Callers) CallAt(ingress string, line CallKind) Call {
	id := fmt.Sprint(c.Name, c.sequence.Add(1))
	call := Call{ID: id, Ingress: ingress, Service: line.Service, Safe: line.Retryable, From: time.Now()}
	ctx, cancel := context.WithTimeout(c.tasks.Context(), c.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, line.Method, "http://"+ingress+line.URI, nil)
	if err != nil {
		return call
	}
	if line.Size > 0 {
		request.Body = io.NopCloser(bytes.NewReader(UniqueBody(id, line.Size)))
		request.ContentLength = int64(line.Size)
	}
	if line.Timeout != "" {
		request.Header.Set(responsedigest.TimeoutHeader, line.Timeout)
	}
	if line.AnswerSize > 0 {
		request.Header.Set("X-Want", strconv.Itoa(line.AnswerSize))
	}
	request.Header.Set("X-Call", id)
	request.Header.Set("X-Service", line.Service)
	response, err := c.transport.RoundTrip(request)
	if err == nil {
		call.Status, call.Ran = response.StatusCode, response.Header.Get(responsedigest.ExecutedHeader)
		call.Version, _ = strconv.ParseUint(response.Header.Get(responsedigest.ConfigVersionHeader), 10, 64)
		call.RetryAfter = response.Header.Get("Retry-After")
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		call.Body, call.Cut = string(body), err != nil
	}
	call.To = time.Now()
	if c.observer != nil {
		c.observer.RecordCall(call)
	}
	return call
}
