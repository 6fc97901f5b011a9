package proxy

import (
	"context"
	"net/http"

	"puffincrank/internal/event"
	"puffincrank/internal/protocol"
	"puffincrank/internal/responsedigest"
)

func headerValue(result *protocol.AttemptResult, name string) string {
	if values := result.Header[http.CanonicalHeaderKey(name)]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// reportsNotRun tells whether the worker states that it did not run the request.
func (x *Proxy) reportsNotRun(result *protocol.AttemptResult) bool {
	value := headerValue(result, x.dialect.NotExecuted)
	if value == "" || x.dialect.NotExecutedValue != "" && value != x.dialect.NotExecutedValue {
		// If responses carry a verifiable digest, the status alone states it.
		return x.dialect.VerifiesDigest && result.Status == http.StatusMisdirectedRequest
	}
	if x.dialect.VerifiesDigest {
		return result.Status == http.StatusMisdirectedRequest || result.Status == http.StatusServiceUnavailable || result.Status == http.StatusTooManyRequests
	}
	return result.Status >= 400
}

// invalidReason tells why a response can't be the worker's complete response to exactly this
// attempt; empty if it is valid. The framing was checked when the response was read.
func (x *Proxy) invalidReason(attempt *ownerAttempt, notRun bool) string {
	result := &attempt.result
	if x.dialect.VerifiesDigest {
		if headerValue(result, x.dialect.AttemptID) != attempt.req.AttemptID || headerValue(result, x.dialect.WorkerID) != attempt.req.Worker || headerValue(result, x.dialect.ResponseDigest) != responsedigest.Of(attempt.req.AttemptID, attempt.req.Worker, result.Status, result.Body) {
			return "the answer's seal is broken"
		}
		return ""
	}
	switch {
	case notRun && headerValue(result, x.dialect.AttemptID) == "":
		// A worker that refuses early may not have read the attempt ID.
		return ""
	case headerValue(result, x.dialect.AttemptID) != attempt.workerAttemptID():
		return "the answer is another attempt's"
	case headerValue(result, x.dialect.ResponseDigest) == "" && result.Status < 300:
		return "the answer has no seal"
	case headerValue(result, "Content-Encoding") != "":
		return "the answer's body is encoded"
	}
	return ""
}

// checkResponse validates the complete response before any of it is passed on.
func (x *Proxy) checkResponse(_ context.Context, attempt *ownerAttempt) bool {
	result := &attempt.result
	header := func(n string) string {
		if l := result.Header[n]; len(l) > 0 {
			return l[0]
		}
		return ""
	}
	notRun := x.reportsNotRun(result)
	if reason := x.invalidReason(attempt, notRun); reason != "" {
		x.env.Log.Emit(event.CorruptAnswer, "worker", attempt.req.Worker, "attempt", attempt.req.AttemptID, "status", result.Status, "why", reason)
		return attempt.outcomeUnknown(reason)
	}
	switch {
	case notRun:
		// Another worker at the address, or a full one: the request certainly did not run,
		// although it reached a worker.
		if result.Status == http.StatusMisdirectedRequest && !x.dialect.IdentifiesConns {
			x.onWrongWorker(attempt.worker)
		}
		attempt.refuseRetryAfter("the worker refused: "+header(responsedigest.ReasonHeader), attempt.worker.admission.EstimateDrain(attempt.req.Class))
		attempt.result.ReachedWorker = true
		return false
	case result.Status == 503 || result.Status == 429:
		// A busy status from the worker does not guarantee that the request never ran.
		return attempt.outcomeUnknown("the worker answered busy without a word on whether the job ran")
	}
	result.Outcome, result.Digest, result.Worker = protocol.Done, header(x.dialect.ResponseDigest), attempt.req.Worker
	return false
}
