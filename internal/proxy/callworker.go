package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"puffincrank/internal/protocol"
	"puffincrank/internal/workerconn"
)

// hopByHopHeaders are headers that belong to one connection or to the mesh.
var hopByHopHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Upgrade": true, "Te": true, "Trailer": true, "Content-Length": true, "Expect": true}

// forwardedHeaders gives the headers to pass on: all except hop-by-hop headers, those that a
// Connection header names, and the mesh's own.
func (x *Proxy) forwardedHeaders(headers map[string][]string) http.Header {
	forwarded := make(http.Header, len(headers))
	for k, v := range headers {
		if k = http.CanonicalHeaderKey(k); !hopByHopHeaders[k] && !strings.HasPrefix(k, "Puffin-") {
			forwarded[k] = v
		}
	}
	for _, v := range headers["Connection"] {
		for _, n := range strings.Split(v, ",") {
			delete(forwarded, http.CanonicalHeaderKey(strings.TrimSpace(n)))
		}
	}
	return forwarded
}

// requestTarget returns the target that the worker is sent. Where attempts keep the IDs of their
// callers it is exactly what the caller sent, so that no character changes on the way.
func (x *Proxy) requestTarget(r *http.Request) string {
	if x.dialect.KeepsAttemptID && strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// callWorker sends the request to the worker, once.
func (x *Proxy) callWorker(ctx context.Context, attempt *ownerAttempt) bool {
	req, err := x.workerRequest(ctx, attempt)
	if err != nil {
		return attempt.refuse("the job can't be sent on")
	}
	conn, err := x.workerConns.Acquire(ctx, attempt.worker.id, attempt.worker.addr)
	if errors.Is(err, workerconn.ErrWrongWorker) {
		x.onWrongWorker(attempt.worker)
		return attempt.refuse("another stands at the worker's address")
	}
	if err != nil {
		attempt.unreachable = true
		return attempt.refuse("no connection to the worker")
	}
	// Final check, since nothing is waited for after this.
	if !x.stillWanted(ctx, attempt) || !x.checkAccepting(attempt) {
		x.workerConns.Release(conn)
		return false
	}
	if exhausted, ok := x.beginRun(attempt); !ok {
		x.workerConns.Release(conn)
		return attempt.refuseRetryAfter("no repeats are left for "+exhausted, x.retryBudget.EstimateWait(exhausted))
	}
	// From here on the worker may have received the request, whatever an error says.
	x.recordDecision(attempt, stepSent, "")
	defer x.trackRemoteRun(ctx, &attempt.req)()
	attempt.result.ReachedWorker = true
	release := x.closeOnCancel(ctx, attempt, conn)
	resp, body, err := x.workerConns.RoundTrip(conn, req, attempt.deadline, x.isSurplusResponse(attempt), release)
	if err != nil && attempt.cutReason != "" {
		return attempt.outcomeUnknown(attempt.cutReason)
	}
	if err != nil {
		attempt.connForgotten = errors.Is(err, workerconn.ErrStaleConnection)
		return attempt.outcomeUnknown("no whole answer from the worker: " + withoutAddresses(err))
	}
	if int64(len(body)) > x.maxResponseBody() {
		return attempt.outcomeUnknown("the answer is over the bound")
	}
	if !x.dialect.VerifiesDigest && attempt.req.Method != http.MethodHead && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		// The body ended with the connection, so nothing shows that it is complete.
		return attempt.outcomeUnknown("the answer has no end of its own")
	}
	attempt.result = protocol.AttemptResult{Status: resp.StatusCode, Header: resp.Header, Body: body, ReachedWorker: true}
	return true
}

// workerRequest builds the request to the worker.
func (x *Proxy) workerRequest(ctx context.Context, attempt *ownerAttempt) (*http.Request, error) {
	target, err := url.ParseRequestURI(attempt.req.URI)
	if err != nil {
		return nil, err
	}
	if x.dialect.KeepsAttemptID && !strings.HasPrefix(attempt.req.URI, "//") {
		target = &url.URL{Scheme: "http", Opaque: attempt.req.URI}
	}
	target.Scheme, target.Host = "http", attempt.worker.addr
	req := (&http.Request{Method: attempt.req.Method, URL: target, Host: attempt.req.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	if req.Host == "" {
		req.Host = attempt.worker.addr
	}
	if len(attempt.req.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(attempt.req.Body))
		req.ContentLength = int64(len(attempt.req.Body))
	}
	req.Header = x.forwardedHeaders(attempt.req.Header)
	if req.Header["User-Agent"] == nil {
		req.Header["User-Agent"] = []string{""}
	}
	if x.dialect.RequestID != "" {
		req.Header.Set(x.dialect.RequestID, attempt.req.RequestID)
	}
	req.Header.Set(x.dialect.AttemptID, attempt.workerAttemptID())
	req.Header.Set(x.dialect.ExpectedWorker, attempt.req.Worker)
	if x.dialect.CallerService != "" && attempt.req.CallerService != "" {
		// This replaces whatever the caller sent there: the ingress knows which service the
		// request came from.
		req.Header.Set(x.dialect.CallerService, attempt.req.CallerService)
	}
	// A little less than the remaining time, so that the calls that the worker makes time out
	// while the worker can still answer.
	req.Header.Set(x.dialect.Timeout, strconv.FormatInt((time.Until(attempt.deadline)*19/20).Milliseconds(), 10))
	return req, nil
}

// workerAttemptID is the attempt ID that the worker is given.
func (a *ownerAttempt) workerAttemptID() string {
	if a.req.WorkerAttemptID != "" {
		return a.req.WorkerAttemptID
	}
	return a.req.AttemptID
}

// isSurplusResponse tells whether a response belongs to an earlier attempt: a worker may answer
// twice, and the second response then arrives in place of the expected one.
func (x *Proxy) isSurplusResponse(attempt *ownerAttempt) func(*http.Response) bool {
	if !x.dialect.KeepsAttemptID {
		return nil
	}
	return func(resp *http.Response) bool {
		id := resp.Header.Get(x.dialect.AttemptID)
		return id != "" && id != attempt.workerAttemptID()
	}
}

// withoutAddresses removes internal addresses from errors that callers read.
func withoutAddresses(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return text
}
