// Package ctl is the operators' command line: it speaks HTTP to any node and
// gets the same answer from each.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// The exit codes.
const (
	ExitOK          = 0
	ExitRefused     = 1 // the mesh refused: the reasons are printed
	ExitUsage       = 2
	ExitUnreachable = 3 // no node could be reached
	ExitUnknown     = 4 // the change may have been done
	ExitUnavailable = 5 // no majority of the stores: nothing was done
)

// client tries the given nodes in order.
type client struct {
	at   []string
	wait time.Duration
	say  io.Writer
	dial Dial
}

// reply is a node's answer.
type reply struct {
	at   string
	code int
	raw  []byte
}

// do makes one call. A node that can't be reached is named, and the next one
// is tried; a change that may have got through is never sent twice.
func (c *client) do(method, uri string, body []byte) (reply, int) {
	return c.try(method, uri, body, method == http.MethodGet)
}

// order makes a call that carries a request id: the mesh does it once however
// often it arrives, so it is sent to the next node when its outcome is unknown.
func (c *client) order(method, uri string, body []byte) (reply, int) {
	return c.try(method, uri, body, true)
}

// try asks the nodes in order; repeatable tells that the call may arrive twice.
func (c *client) try(method, uri string, body []byte, repeatable bool) (reply, int) {
	maybe := false
	for i, at := range c.at {
		last := i+1 == len(c.at)
		got, sent, err := c.one(method, at, uri, body)
		switch {
		case err != nil:
			fmt.Fprintf(c.say, "%s can't be reached: %v\n", at, err)
			if maybe = maybe || sent && method != http.MethodGet; maybe && !repeatable {
				return c.unknown()
			}
		case got.code == http.StatusServiceUnavailable && !last:
			// 503 promises that nothing was done, so another node may be asked.
			fmt.Fprintf(c.say, "%s: no majority in touch, trying %s\n", at, c.at[i+1])
		case exit(got.code) == ExitUnknown && repeatable && !last:
			maybe = maybe || method != http.MethodGet
			fmt.Fprintf(c.say, "%s: outcome unknown, sent again to %s under the same request id\n", at, c.at[i+1])
		case got.code == http.StatusServiceUnavailable && maybe:
			// Nothing was done by this node, but an earlier one may have got through.
			return c.unknown()
		default:
			return got, 0
		}
	}
	if maybe {
		return c.unknown()
	}
	return reply{}, ExitUnreachable
}

// unknown ends a call that may have been done.
func (c *client) unknown() (reply, int) {
	fmt.Fprintf(c.say, "outcome unknown: the change may have been done; see 'puffinctl history' or read it back\n")
	return reply{}, ExitUnknown
}

func (c *client) one(method, at, uri string, body []byte) (reply, bool, error) {
	ctx, end := context.WithTimeout(context.Background(), c.wait)
	defer end()
	var sent atomic.Bool
	way := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, n, a string) (net.Conn, error) {
		conn, err := c.dial(ctx, n, a)
		if err == nil {
			sent.Store(true)
		}
		return conn, err
	}}
	var in io.Reader
	if body != nil {
		in = io.NopCloser(strings.NewReader(string(body)))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at+uri, in)
	if err != nil {
		return reply{}, false, err
	}
	r.ContentLength = int64(len(body))
	w, err := way.RoundTrip(r)
	if err != nil {
		return reply{}, sent.Load(), err
	}
	defer func() { _ = w.Body.Close() }()
	raw, err := io.ReadAll(w.Body)
	return reply{at, w.StatusCode, raw}, true, err
}

// exit turns a status into an exit code.
func exit(code int) int {
	switch {
	case code < 300:
		return ExitOK
	case code == http.StatusServiceUnavailable:
		return ExitUnavailable
	case code == http.StatusGatewayTimeout || code == http.StatusBadGateway:
		return ExitUnknown
	}
	return ExitRefused
}

// wrong prints why a node refused, every fault with its place.
func wrong(say io.Writer, got reply) {
	var w struct {
		Wrong   string `json:"wrong"`
		Version uint64 `json:"version"`
		Retry   int64  `json:"retry_ms"`
		Faults  []struct {
			Place string `json:"place"`
			Wrong string `json:"wrong"`
		} `json:"faults"`
	}
	if json.Unmarshal(got.raw, &w) != nil || w.Wrong == "" {
		fmt.Fprintf(say, "%s answered %d: %s\n", got.at, got.code, strings.TrimSpace(string(got.raw)))
		return
	}
	fmt.Fprintf(say, "%s: %s\n", got.at, w.Wrong)
	if w.Version > 0 {
		fmt.Fprintf(say, "  the current version is %d\n", w.Version)
	}
	if w.Retry > 0 {
		fmt.Fprintf(say, "  come back in %.1f s\n", float64(w.Retry)/1000)
	}
	for _, f := range w.Faults {
		fmt.Fprintf(say, "  %s: %s\n", f.Place, f.Wrong)
	}
	if got.code == http.StatusGatewayTimeout {
		fmt.Fprintf(say, "  see 'puffinctl history' or read it back to find out\n")
	}
}
