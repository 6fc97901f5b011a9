// Package ctl implements the command line client for operators. It calls the HTTP API of
// any node; every node gives the same answer.
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
	ExitRefused     = 1 // the cluster refused the call; the reasons are printed
	ExitUsage       = 2
	ExitUnreachable = 3 // no node could be reached
	ExitUnknown     = 4 // the change may have been applied
	ExitUnavailable = 5 // no majority of the stores is reachable; nothing was changed
)

// client calls the given nodes in order until one answers.
type client struct {
	addresses []string
	timeout   time.Duration
	stderr    io.Writer
	dial      Dial
}

// response is the answer of a node.
type response struct {
	address string
	status  int
	body    []byte
}

// call makes one call. Unreachable nodes are reported and the next one is called. A
// change that may have been applied is never sent a second time.
func (c *client) call(method, uri string, body []byte) (response, int) {
	return c.callNodes(method, uri, body, method == http.MethodGet)
}

// callIdempotent makes a call that carries a request ID. The cluster executes it once
// however often it arrives, so it is sent to the next node when its outcome is unknown.
func (c *client) callIdempotent(method, uri string, body []byte) (response, int) {
	return c.callNodes(method, uri, body, true)
}

// callNodes calls the nodes in order. An idempotent call may arrive more than once. The
// second result is an exit code, 0 if there is a response.
func (c *client) callNodes(method, uri string, body []byte, idempotent bool) (response, int) {
	mayHaveRun := false
	for i, address := range c.addresses {
		last := i+1 == len(c.addresses)
		answer, connected, err := c.send(method, address, uri, body)
		switch {
		case err != nil:
			fmt.Fprintf(c.stderr, "%s can't be reached: %v\n", address, err)
			if mayHaveRun = mayHaveRun || connected && method != http.MethodGet; mayHaveRun && !idempotent {
				return c.outcomeUnknown()
			}
		case answer.status == http.StatusServiceUnavailable && !last:
			// Status 503 guarantees that nothing was changed, so another node may be called.
			fmt.Fprintf(c.stderr, "%s: no majority in touch, trying %s\n", address, c.addresses[i+1])
		case exitCode(answer.status) == ExitUnknown && idempotent && !last:
			mayHaveRun = mayHaveRun || method != http.MethodGet
			fmt.Fprintf(c.stderr, "%s: outcome unknown, sent again to %s under the same request id\n", address, c.addresses[i+1])
		case answer.status == http.StatusServiceUnavailable && mayHaveRun:
			// This node changed nothing, but an earlier one may have applied the change.
			return c.outcomeUnknown()
		default:
			return answer, 0
		}
	}
	if mayHaveRun {
		return c.outcomeUnknown()
	}
	return response{}, ExitUnreachable
}

// outcomeUnknown reports a call that may have been executed.
func (c *client) outcomeUnknown() (response, int) {
	fmt.Fprintf(c.stderr, "outcome unknown: the change may have been done; see 'puffinctl history' or read it back\n")
	return response{}, ExitUnknown
}

// send calls one node. The second result is whether a connection was opened, so that the
// node may have executed the call.
func (c *client) send(method, address, uri string, body []byte) (response, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var connected atomic.Bool
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := c.dial(ctx, network, addr)
		if err == nil {
			connected.Store(true)
		}
		return conn, err
	}}
	var reader io.Reader
	if body != nil {
		reader = io.NopCloser(strings.NewReader(string(body)))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+uri, reader)
	if err != nil {
		return response{}, false, err
	}
	request.ContentLength = int64(len(body))
	answer, err := transport.RoundTrip(request)
	if err != nil {
		return response{}, connected.Load(), err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return response{address, answer.StatusCode, content}, true, err
}

// exitCode converts an HTTP status to an exit code.
func exitCode(status int) int {
	switch {
	case status < 300:
		return ExitOK
	case status == http.StatusServiceUnavailable:
		return ExitUnavailable
	case status == http.StatusGatewayTimeout || status == http.StatusBadGateway:
		return ExitUnknown
	}
	return ExitRefused
}

// printRefusal prints why a node refused a call, with the place of every fault.
func printRefusal(stderr io.Writer, answer response) {
	var refusal struct {
		Wrong   string `json:"wrong"`
		Version uint64 `json:"version"`
		Retry   int64  `json:"retry_ms"`
		Faults  []struct {
			Place string `json:"place"`
			Wrong string `json:"wrong"`
		} `json:"faults"`
	}
	if json.Unmarshal(answer.body, &refusal) != nil || refusal.Wrong == "" {
		fmt.Fprintf(stderr, "%s answered %d: %s\n", answer.address, answer.status, strings.TrimSpace(string(answer.body)))
		return
	}
	fmt.Fprintf(stderr, "%s: %s\n", answer.address, refusal.Wrong)
	if refusal.Version > 0 {
		fmt.Fprintf(stderr, "  the current version is %d\n", refusal.Version)
	}
	if refusal.Retry > 0 {
		fmt.Fprintf(stderr, "  come back in %.1f s\n", float64(refusal.Retry)/1000)
	}
	for _, violation := range refusal.Faults {
		fmt.Fprintf(stderr, "  %s: %s\n", violation.Place, violation.Wrong)
	}
	if answer.status == http.StatusGatewayTimeout {
		fmt.Fprintf(stderr, "  see 'puffinctl history' or read it back to find out\n")
	}
}
