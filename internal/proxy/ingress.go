package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"puffincrank/internal/httpapi"
	"puffincrank/internal/ormap"
	"puffincrank/internal/protocol"
	"puffincrank/internal/rules"
)

// request is one caller's request on its way through the ingress. It keeps the rules that it
// was matched by.
type request struct {
	id               string
	callerAttemptID  string              // the ID by which the caller and the worker know it
	confidence       protocol.Confidence // in this node's configuration, after the request was read
	rules            *rules.Rules
	route            *rules.Route
	arm              *rules.Arm
	service          string // of the arm, for this request
	httpReq          *http.Request
	target           string // as it is sent to the worker; its path decides the route everywhere
	body             []byte
	receivedAt       time.Time
	deadline         time.Time
	firstSeen        time.Time // when the caller first sent it, as far as known
	callerDeadline   time.Time // when the caller stops waiting; zero if it did not say
	tried            map[string]bool
	attempts         int
	noQueueAttempts  int      // of these attempts, those that did not queue
	noQueue          bool     // the current attempt does not queue
	skipped          []string // workers without a free slot for such attempts
	reached          int      // attempts that reached, or may have reached, a worker
	countedAsFirst   bool     // the current attempt counted as a first one
	lookups          int
	workerCount      int           // workers of the service at the latest choice
	undeliveredTime  time.Duration // spent on attempts that reached no worker
	reservedBytes    int64         // of the byte limiter
	retryShare       float64       // how far it is a call of a retried run, 0 to 1
	entry            ormap.Entry
	result           protocol.AttemptResult
	lost             *lostAttempt            // the first attempt that may have run without a response
	isHedge          bool                    // a copy, sent beside an attempt in progress
	allowEndingNode  bool                    // no worker took its retry: a node that is ending may have it
	mayBorrowRetry   bool                    // a shutdown makes its retry necessary: the owner's budget may pay
	needsRetryBudget bool                    // this ingress has no budget for the current attempt
	fallback         *protocol.AttemptResult // a worker's 5xx response, given if no better one comes
	reason           string
	retryAfter       time.Duration // as the last refusal stated it
}

// serveCaller handles a caller's request: read it, match it, then run the steps of its route.
func (x *Proxy) serveCaller(w http.ResponseWriter, r *http.Request) {
	active := x.activeRequests.Add(1)
	defer x.activeRequests.Add(-1)
	req := &request{id: fmt.Sprintf("%s.%s.%d", x.Settings.Node, x.incarnation, x.requestSeq.Add(1)), httpReq: r, receivedAt: time.Now(), tried: map[string]bool{}}
	if x.connLimits.NearLimit() {
		w.Header().Set("Connection", "close")
	} else if keepAlive := x.keepAliveHeader.Load(); *keepAlive != "" {
		w.Header().Set("Keep-Alive", *keepAlive)
	}
	// A request that other HTTP implementations could read as two is rejected.
	switch httpapi.FramingOf(r.Context()) {
	case httpapi.FramingAmbiguous, httpapi.FramingBareLF:
		w.Header().Set("Connection", "close")
		x.reject(w, http.StatusBadRequest, "the header frames the request in two ways")
		return
	case httpapi.FramingUnknown:
		if len(r.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
		}
	}
	if x.dialect.KeepsAttemptID {
		// The caller's own ID is passed on all the way, and none of the mesh.
		if req.callerAttemptID = r.Header.Get(x.dialect.AttemptID); req.callerAttemptID == "" {
			x.reject(w, http.StatusBadRequest, x.dialect.AttemptID+" is missing")
			return
		}
	} else {
		w.Header().Set(x.dialect.RequestID, req.id)
	}
	if !x.AcceptsRequests() && !x.waitUntilReady(r.Context(), x.halfTimeout(r)) {
		x.respondBusy(w, "this node is not taking jobs: "+x.lifecycle.Current(), x.notReadyRetryAfter())
		return
	}
	// The load on one ingress is bounded as well.
	if active > int64(x.currentSettings().MaxRequests) {
		x.respondBusy(w, "this node has too many jobs under way", x.Settings.HeartbeatInterval())
		return
	}
	defer func() { x.byteLimiter.release(req.reservedBytes, req.receivedAt) }()
	switch code, reason := x.readRequest(w, req); code {
	case 0:
	case http.StatusServiceUnavailable:
		x.respondBusy(w, reason, x.byteLimiter.retryAfter(x.Settings.HeartbeatInterval()))
		return
	default:
		x.reject(w, code, reason)
		return
	}
	req.confidence = x.confirm(r.Context(), req.deadline)
	// The request is matched only now: either the configuration is confirmed as the newest, or
	// the owner has to be confirmed and reports a mismatch. Only a confirmed node may say that
	// no route matches.
	if code, reason := x.matchRoute(req); code != 0 {
		if req.confidence == protocol.Unconfirmed {
			x.respondBusy(w, "this node can't confirm its configuration", x.Settings.ConfigBound)
			return
		}
		x.reject(w, code, reason)
		return
	}
	if retryAfter, ending := x.outlastsStop(req); ending {
		x.respondBusy(w, "this node ends before the job's time is over", retryAfter)
		return
	}
	// The response will need memory too.
	if expected := x.byteLimiter.expectedResponse(req.route.Name); x.byteLimiter.reserve(expected) {
		req.reservedBytes += expected
	} else {
		x.respondBusy(w, reasonBytesFull, x.byteLimiter.retryAfter(x.Settings.HeartbeatInterval()))
		return
	}
	ctx, release := x.requestContext(req)
	defer release()
	defer x.watchCaller(req)()
	x.runSteps(ctx, req)
	x.logUnanswered(ctx, req)
	x.respond(w, req)
}

const reasonBytesFull = "this node has too many bytes under way"

// readRequest reads the caller's timeout and the body.
func (x *Proxy) readRequest(w http.ResponseWriter, req *request) (int, string) {
	req.deadline = req.receivedAt.Add(x.Settings.GracePeriod)
	if raw := req.httpReq.Header.Get(x.dialect.Timeout); raw != "" {
		ms, err := strconv.ParseInt(raw, 10, 64)
		if err != nil || ms <= 0 || ms > 3600_000 {
			return http.StatusBadRequest, x.dialect.Timeout + " is expired or malformed"
		}
		req.deadline = req.receivedAt.Add(time.Duration(ms) * time.Millisecond)
		req.callerDeadline = req.deadline
	}
	var code int
	req.body, req.reservedBytes, code = x.readBody(w, req.httpReq)
	switch code {
	case http.StatusRequestEntityTooLarge:
		return code, "the body is over the bound"
	case http.StatusServiceUnavailable:
		return code, reasonBytesFull
	case 0:
		return 0, ""
	}
	return code, "the body can't be read"
}

func (x *Proxy) matchRoute(req *request) (int, string) {
	req.rules = x.rules.Load()
	if headerTooLarge(req.rules, req.httpReq) {
		return http.StatusRequestHeaderFieldsTooLarge, "the header is over the bound"
	}
	req.target = x.requestTarget(req.httpReq)
	req.route = req.rules.Match(req.httpReq.Host, req.httpReq.Method, rules.PathOf(req.target))
	if req.route == nil {
		return http.StatusNotFound, "no path of the configuration matches"
	}
	req.arm = req.route.Arm(req.id)
	req.service = req.arm.ServiceFor(req.id)
	if routeDeadline := req.receivedAt.Add(req.arm.Timeout); routeDeadline.Before(req.deadline) || req.httpReq.Header.Get(x.dialect.Timeout) == "" {
		req.deadline = routeDeadline
	}
	req.firstSeen = req.receivedAt
	if !req.callerDeadline.IsZero() {
		req.firstSeen = x.callerRetries.firstArrival(req.route.Name, req.receivedAt, req.callerDeadline)
	}
	return 0, ""
}
