package proxy

import (
	"net/http"
	"strconv"
	"time"

	"puffincrank/internal/httpapi"
	"puffincrank/internal/protocol"
	"puffincrank/internal/responsedigest"
)

// reject answers a request that can't be accepted as it is; it was not run.
func (x *Proxy) reject(w http.ResponseWriter, code int, message string) {
	x.setOwnHeader(w, responsedigest.ExecutedHeader, "no")
	httpapi.WriteJSON(w, code, httpapi.ErrorBody{Message: message, Executed: "no"})
}

// setOwnHeader sets one of the mesh's own headers, if the dialect has them.
func (x *Proxy) setOwnHeader(w http.ResponseWriter, name, value string) {
	if x.dialect.WritesOwnHeaders {
		w.Header().Set(name, value)
	}
}

// respondBusy sends the busy response: the request was not run and never will be.
func (x *Proxy) respondBusy(w http.ResponseWriter, reason string, retryAfter time.Duration) {
	x.setOwnHeader(w, responsedigest.ExecutedHeader, "no")
	x.setOwnHeader(w, responsedigest.ReasonHeader, reason)
	// The caller gets a retry-after time instead of being held here.
	httpapi.WriteBusy(w, "busy, try later: "+reason, retryAfter, x.dialect.FractionalRetryAfter)
}

// respond sends the final response to the caller.
func (x *Proxy) respond(w http.ResponseWriter, req *request) {
	if req.result.Outcome != protocol.Done && req.fallback != nil {
		req.result = *req.fallback
	}
	x.recordOutcome(req)
	if !req.callerDeadline.IsZero() && (req.result.Outcome != protocol.Done || req.result.Status >= http.StatusInternalServerError) {
		x.callerRetries.record(req.route.Name, req.firstSeen, req.callerDeadline)
	}
	if rulesUsed := req.rules; rulesUsed != nil {
		x.setOwnHeader(w, responsedigest.ConfigVersionHeader, strconv.FormatUint(rulesUsed.Version, 10))
	}
	switch {
	case req.result.Outcome == protocol.Done:
		for k, rulesUsed := range x.forwardedHeaders(req.result.Header) {
			w.Header()[k] = rulesUsed
		}
		x.setOwnHeader(w, responsedigest.WorkerHeader, req.result.Worker)
		w.Header().Set("Content-Length", strconv.Itoa(len(req.result.Body)))
		w.WriteHeader(req.result.Status)
		if req.httpReq.Method != http.MethodHead {
			_, _ = w.Write(req.result.Body)
		}
	case req.lost != nil:
		code := http.StatusBadGateway
		if req.lost.TimedOut {
			code = http.StatusGatewayTimeout
		}
		x.setOwnHeader(w, responsedigest.ExecutedHeader, "unknown")
		httpapi.WriteJSON(w, code, httpapi.ErrorBody{Message: "outcome unknown: " + req.lost.Reason, Executed: "unknown"})
	default:
		x.respondBusy(w, req.reason, x.callerRetryAfter(req))
	}
}

// recordOutcome counts how a request ended.
func (x *Proxy) recordOutcome(req *request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	counts := &x.counts
	counts.Jobs++
	counts.Sends += int64(req.attempts)
	switch {
	case req.result.Outcome == protocol.Done:
		counts.Done++
		if req.entry.Zone == x.Settings.Zone {
			counts.Near++
		}
	case req.lost != nil:
		counts.Unknown++
	default:
		counts.Refused++
	}
	x.countTrialLocked(req)
}
