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

// job is one call on its way through the front. It pins the rules that it was
// matched by.
type job struct {
	id      string
	said    string              // the id by which the caller and the worker know it
	word    protocol.Confidence // how sure this node was of its rules, after the job was read
	rules   *rules.Rules
	path    *rules.Route
	arm     *rules.Arm
	service string // of the arm, for this job
	req     *http.Request
	body    []byte
	from    time.Time
	end     time.Time
	first   time.Time // when its caller first came with it, as far as is known
	due     time.Time // when the caller gives it up; zero: it did not say
	tried   map[string]bool
	sends   int
	rushes  int      // of them, those that would not wait
	rushing bool     // the newest one is such
	passed  []string // workers that such ones passed over
	came    int      // attempts that came, or may have come, to a worker
	fresh   bool     // the attempt under way was counted as a first send
	looks   int
	known   int           // workers of the service, when the newest one was nominated
	waited  time.Duration // what attempts took that came to no worker
	took    int64         // bytes that it holds here
	part    float64       // how far it is the call of a repeated run
	entry   ormap.Entry
	back    protocol.AttemptResult
	lost    *lostAttempt            // the first attempt that may have run and has no answer
	hedged  bool                    // a copy, sent beside an attempt that goes on
	any     bool                    // no worker took its repeat: one whose node ends may have it
	borrows bool                    // a stop makes its repeat necessary: an owner may pay for it
	unpaid  bool                    // this front had no repeat left for the attempt under way
	spare   *protocol.AttemptResult // a worker's own failure, given if nothing better comes
	why     string
	come    time.Duration // when the caller may come back, as the last refusal had it
}

// front takes a caller's job: read, match, then the steps of its path.
func (x *Proxy) front(w http.ResponseWriter, r *http.Request) {
	now := x.busy.Add(1)
	defer x.busy.Add(-1)
	j := &job{id: fmt.Sprintf("%s.%s.%d", x.Settings.Node, x.boot, x.seq.Add(1)), req: r, from: time.Now(), tried: map[string]bool{}}
	if x.stay.NearLimit() {
		w.Header().Set("Connection", "close")
	} else if told := x.told.Load(); *told != "" {
		w.Header().Set("Keep-Alive", *told)
	}
	// What others may take for two requests is none here.
	switch httpapi.FramingOf(r.Context()) {
	case httpapi.FramingAmbiguous, httpapi.FramingBareLF:
		w.Header().Set("Connection", "close")
		x.wrong(w, http.StatusBadRequest, "the header frames the request in two ways")
		return
	case httpapi.FramingUnknown:
		if len(r.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
		}
	}
	if x.say.KeepsAttemptID {
		// The caller's own id, and none of ours, goes all the way.
		if j.said = r.Header.Get(x.say.AttemptID); j.said == "" {
			x.wrong(w, http.StatusBadRequest, x.say.AttemptID+" is missing")
			return
		}
	} else {
		w.Header().Set(x.say.RequestID, j.id)
	}
	if !x.AcceptsRequests() && !x.begins(r.Context(), x.half(r)) {
		x.busyNow(w, "this node is not taking jobs: "+x.life.Current(), x.opens())
		return
	}
	// The load that one front takes at once is bounded like all else.
	if now > int64(x.set().MaxRequests) {
		x.busyNow(w, "this node has too many jobs under way", x.Settings.HeartbeatInterval())
		return
	}
	defer func() { x.load.free(j.took, j.from) }()
	switch code, why := x.read(w, j); code {
	case 0:
	case http.StatusServiceUnavailable:
		x.busyNow(w, why, x.load.come(x.Settings.HeartbeatInterval()))
		return
	default:
		x.wrong(w, code, why)
		return
	}
	j.word = x.confirm(r.Context(), j.end)
	// Matched only now: the configuration is the newest for certain, or else the
	// owner has to be sure of what it holds, and says when it differs. That there
	// is no path only a node that is sure may say.
	if code, why := x.match(j); code != 0 {
		if j.word == protocol.Unconfirmed {
			x.busyNow(w, "this node can't confirm its configuration", x.Settings.ConfigBound)
			return
		}
		x.wrong(w, code, why)
		return
	}
	if come, soon := x.outlastsStop(j); soon {
		x.busyNow(w, "this node ends before the job's time is over", come)
		return
	}
	// Its answer will need room too.
	if n := x.load.expects(j.path.Name); x.load.take(n) {
		j.took += n
	} else {
		x.busyNow(w, noRoom, x.load.come(x.Settings.HeartbeatInterval()))
		return
	}
	ctx, stop := x.jobContext(j)
	defer stop()
	defer x.heedsLeaving(j)()
	x.run(ctx, j)
	x.noteUnanswered(ctx, j)
	x.receipt(w, j)
}

const noRoom = "this node has too many bytes under way"

// read takes the body and the time left that the caller gave.
func (x *Proxy) read(w http.ResponseWriter, j *job) (int, string) {
	j.end = j.from.Add(x.Settings.GracePeriod)
	if raw := j.req.Header.Get(x.say.Timeout); raw != "" {
		ms, err := strconv.ParseInt(raw, 10, 64)
		if err != nil || ms <= 0 || ms > 3600_000 {
			return http.StatusBadRequest, x.say.Timeout + " is expired or malformed"
		}
		j.end = j.from.Add(time.Duration(ms) * time.Millisecond)
		j.due = j.end
	}
	var code int
	j.body, j.took, code = x.body(w, j.req)
	switch code {
	case http.StatusRequestEntityTooLarge:
		return code, "the body is over the bound"
	case http.StatusServiceUnavailable:
		return code, noRoom
	case 0:
		return 0, ""
	}
	return code, "the body can't be read"
}

func (x *Proxy) match(j *job) (int, string) {
	j.rules = x.rules.Load()
	if over(j.rules, j.req) {
		return http.StatusRequestHeaderFieldsTooLarge, "the header is over the bound"
	}
	j.path = j.rules.Match(j.req.Host, j.req.Method, j.req.URL.EscapedPath())
	if j.path == nil {
		return http.StatusNotFound, "no path of the configuration matches"
	}
	j.arm = j.path.Arm(j.id)
	j.service = j.arm.ServiceFor(j.id)
	if end := j.from.Add(j.arm.Timeout); end.Before(j.end) || j.req.Header.Get(x.say.Timeout) == "" {
		j.end = end
	}
	j.first = j.from
	if !j.due.IsZero() {
		j.first = x.knows.first(j.path.Name, j.from, j.due)
	}
	return 0, ""
}
