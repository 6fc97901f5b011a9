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

// Line is one kind of call that callers make.
type Line struct {
	Method, URI, Service string
	Safe                 bool
	Rate                 float64 // calls a second, over all callers
	Size                 int     // bytes of body
	Want                 int     // bytes of the answer, besides its usual text
	Left                 string  // time left to hand on, in a nested call
}

// Callers send a steady mix of calls to all fronts, open-loop and bounded.
type Callers struct {
	e      env.Env
	g      *task.Group
	obs    *Observer
	fronts []string
	way    *http.Transport
	seq    atomic.Int64
	under  atomic.Int64
	Wait   time.Duration
	Name   string                  // what their calls' names begin with
	Skip   func(front string) bool // fronts that no caller goes to just now
}

// NewCallers makes callers of the given fronts.
func NewCallers(e env.Env, fronts []string, obs *Observer, wait time.Duration) *Callers {
	c := &Callers{e: e, g: task.New(context.Background()), obs: obs, fronts: fronts, Wait: wait, Name: "c"}
	c.way = &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, a string) (net.Conn, error) { return e.Net.Dial(ctx, a) }}
	return c
}

// Run sends the lines for a while and returns when all calls have ended.
func (c *Callers) Run(lines []Line, long time.Duration) {
	stop, end := context.WithTimeout(c.g.Context(), long)
	defer end()
	for _, l := range lines {
		c.g.Go("line", func(context.Context) {
			gap := time.Duration(float64(time.Second) / l.Rate)
			for stop.Err() == nil {
				t := time.NewTimer(gap/2 + time.Duration(rand.Int64N(int64(gap)+1)))
				select {
				case <-t.C:
				case <-stop.Done():
					t.Stop()
					return
				}
				// The load is bounded: no more than this many at once.
				if c.under.Load() < 2000 {
					c.under.Add(1)
					c.g.Go("call", func(context.Context) {
						defer c.under.Add(-1)
						c.Call(l)
					})
				}
			}
		})
	}
	<-stop.Done()
	for c.under.Load() > 0 {
		t := time.NewTimer(10 * time.Millisecond)
		<-t.C
	}
	c.g.Stop()
}

// Call makes one call to a random front.
func (c *Callers) Call(l Line) Call {
	front := c.fronts[rand.IntN(len(c.fronts))]
	for try := 0; try < 20 && c.Skip != nil && c.Skip(front); try++ {
		front = c.fronts[rand.IntN(len(c.fronts))]
	}
	return c.At(front, l)
}

// At makes one call to one front.
func (c *Callers) At(front string, l Line) Call {
	id := fmt.Sprint(c.Name, c.seq.Add(1))
	out := Call{ID: id, Front: front, Service: l.Service, Safe: l.Safe, From: time.Now()}
	ctx, end := context.WithTimeout(c.g.Context(), c.Wait)
	defer end()
	r, err := http.NewRequestWithContext(ctx, l.Method, "http://"+front+l.URI, nil)
	if err != nil {
		return out
	}
	if l.Size > 0 {
		r.Body = io.NopCloser(bytes.NewReader(Pattern(id, l.Size)))
		r.ContentLength = int64(l.Size)
	}
	if l.Left != "" {
		r.Header.Set(responsedigest.TimeoutHeader, l.Left)
	}
	if l.Want > 0 {
		r.Header.Set("X-Want", strconv.Itoa(l.Want))
	}
	r.Header.Set("X-Call", id)
	r.Header.Set("X-Service", l.Service)
	w, err := c.way.RoundTrip(r)
	if err == nil {
		out.Status, out.Ran = w.StatusCode, w.Header.Get(responsedigest.ExecutedHeader)
		out.Version, _ = strconv.ParseUint(w.Header.Get(responsedigest.ConfigVersionHeader), 10, 64)
		out.Retry = w.Header.Get("Retry-After")
		body, err := io.ReadAll(w.Body)
		_ = w.Body.Close()
		out.Body, out.Cut = string(body), err != nil
	}
	out.To = time.Now()
	if c.obs != nil {
		c.obs.Saw(out)
	}
	return out
}
