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

// request is one call on its way through the front. It pins the rules that it was
// matched by.
type request struct {
	id               string
	callerAttemptID  string              // the id by which the caller and the worker know it
	confidence       protocol.Confidence // how sure this node was of its rules, after the job was read
	rules            *rules.Rules
	route            *rules.Route
	arm              *rules.Arm
	service          string // of the arm, for this job
	httpReq          *http.Request
	body             []byte
	receivedAt       time.Time
	deadline         time.Time
	firstSeen        time.Time // when its caller first came with it, as far as is known
	callerDeadline   time.Time // when the caller gives it up; zero: it did not say
	tried            map[string]bool
	attempts         int
	noQueueAttempts  int      // of them, those that would not wait
	noQueue          bool     // the newest one is such
	skipped          []string // workers that such ones passed over
	reached          int      // attempts that came, or may have come, to a worker
	countedAsFirst   bool     // the attempt under way was counted as a first send
	lookups          int
	workerCount      int           // workers of the service, when the newest one was nominated
	undeliveredTime  time.Duration // what attempts took that came to no worker
	reservedBytes    int64         // bytes that it holds here
	retryShare       float64       // how far it is the call of a repeated run
	entry            ormap.Entry
	result           protocol.AttemptResult
	lost             *lostAttempt            // the first attempt that may have run and has no answer
	isHedge          bool                    // a copy, sent beside an attempt that goes on
	allowEndingNode  bool                    // no worker took its repeat: one whose node ends may have it
	mayBorrowRetry   bool                    // a stop makes its repeat necessary: an owner may pay for it
	needsRetryBudget bool                    // this front had no repeat left for the attempt under way
	fallback         *protocol.AttemptResult // a worker's own failure, given if nothing better comes
	reason           string
	retryAfter       time.Duration // when the caller may come back, as the last refusal had it
}

// serveCaller takes a caller's job: read, match, then the steps of its path.
func (x *Proxy) serveCaller(w http.ResponseWriter, r *http.Request) {
	active := x.activeRequests.Add(1)
	defer x.activeRequests.Add(-1)
	req := &request{id: fmt.Sprintf("%s.%s.%d", x.Settings.Node, x.incarnation, x.requestSeq.Add(1)), httpReq: r, receivedAt: time.Now(), tried: map[string]bool{}}
	if x.connLimits.NearLimit() {
		w.Header().Set("Connection", "close")
	} else if keepAlive := x.keepAliveHeader.Load(); *keepAlive != "" {
		w.Header().Set("Keep-Alive", *keepAlive)
	}
	// What others may take for two requests is none here.
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
		// The caller's own id, and none of ours, goes all the way.
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
	// The load that one front takes at once is bounded like all else.
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
	// Matched only now: the configuration is the newest for certain, or else the
	// owner has to be sure of what it holds, and says when it differs. That there
	// is no path only a node that is sure may say.
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
	// Its answer will need room too.
	if expected := x.byteLimiter.expectedResponse(req.route.Name); x.byteLimiter.reserve(expected) {
		req.reservedBytes += expected
	} else {
		x.respondBusy(w, reasonBytesFull, x.byteLimiter.retryAfter(x.Settings.HeartbeatInterval()))
		return
	}
	ctx, stop := x.requestContext(req)
	defer stop()
	defer x.watchCaller(req)()
	x.runSteps(ctx, req)
	x.logUnanswered(ctx, req)
	x.respond(w, req)
}

const reasonBytesFull = "this node has too many bytes under way"

// readRequest takes the body and the time left that the caller gave.
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
	req.route = req.rules.Match(req.httpReq.Host, req.httpReq.Method, req.httpReq.URL.EscapedPath())
	if req.route == nil {
		return http.StatusNotFound, "no path of the configuration matches"
	}
	req.arm = req.route.Arm(req.id)
	req.service = req.arm.ServiceFor(req.id)
	if end := req.receivedAt.Add(req.arm.Timeout); end.Before(req.deadline) || req.httpReq.Header.Get(x.dialect.Timeout) == "" {
		req.deadline = end
	}
	req.firstSeen = req.receivedAt
	if !req.callerDeadline.IsZero() {
		req.firstSeen = x.callerRetries.firstArrival(req.route.Name, req.receivedAt, req.callerDeadline)
	}
	return 0, ""
}
