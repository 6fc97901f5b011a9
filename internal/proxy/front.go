package proxy

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"puffincrank/internal/ormap"
	"puffincrank/internal/outer"
	"puffincrank/internal/rules"
	"puffincrank/internal/seal"
	"puffincrank/internal/session"
)

// job is one call on its way through the front. It pins the rules that it was
// matched by.
type job struct {
	id      string
	rules   *rules.Rules
	path    *rules.Path
	arm     *rules.Arm
	req     *http.Request
	body    []byte
	from    time.Time
	end     time.Time
	tried   map[string]bool
	sends   int
	looks   int
	entry   ormap.Entry
	back    session.Back
	unknown *session.Back // the first attempt that may have run
	why     string
	come    time.Duration // when the caller may come back, as the last refusal had it
}

// front takes a caller's job: read, match, then the steps of its path.
func (x *Proxy) front(w http.ResponseWriter, r *http.Request) {
	now := x.busy.Add(1)
	defer x.busy.Add(-1)
	j := &job{id: fmt.Sprintf("%s.%s.%d", x.P.Node, x.boot, x.seq.Add(1)), req: r, from: time.Now(), tried: map[string]bool{}}
	w.Header().Set(seal.Job, j.id)
	if !x.Open() {
		x.busyNow(w, "this node is not taking jobs: "+x.life.Now(), x.P.Leave)
		return
	}
	// The load that one front takes at once is bounded like all else.
	if now > int64(x.P.Jobs) {
		x.busyNow(w, "this node has too many jobs under way", x.P.Beat())
		return
	}
	if code, why := x.read(w, j); code != 0 {
		w.Header().Set(seal.Ran, "no")
		outer.JSON(w, code, outer.Wrong{Wrong: why, Ran: "no"})
		return
	}
	if !x.touch.confirm(r.Context(), j.end) {
		x.busyNow(w, "this node can't confirm its configuration", x.P.Change)
		return
	}
	// Matched only now: the configuration is the newest for certain.
	if code, why := x.match(j); code != 0 {
		w.Header().Set(seal.Ran, "no")
		outer.JSON(w, code, outer.Wrong{Wrong: why, Ran: "no"})
		return
	}
	ctx, stop := context.WithDeadline(r.Context(), j.end)
	defer stop()
	x.run(ctx, j)
	x.receipt(w, j)
}

// read takes the body and the time left that the caller gave.
func (x *Proxy) read(w http.ResponseWriter, j *job) (int, string) {
	j.end = j.from.Add(x.P.Grace)
	if raw := j.req.Header.Get(seal.Left); raw != "" {
		ms, err := strconv.ParseInt(raw, 10, 64)
		if err != nil || ms <= 0 || ms > 3600_000 {
			return http.StatusBadRequest, seal.Left + " is expired or malformed"
		}
		j.end = j.from.Add(time.Duration(ms) * time.Millisecond)
	}
	body, code := outer.Body(w, j.req, int64(x.P.Body))
	if code == http.StatusRequestEntityTooLarge {
		return code, "the body is over the bound"
	}
	if code != 0 {
		return code, "the body can't be read"
	}
	j.body = body
	return 0, ""
}

func (x *Proxy) match(j *job) (int, string) {
	j.rules = x.rules.Load()
	j.path = j.rules.Match(j.req.Method, j.req.URL.EscapedPath())
	if j.path == nil {
		return http.StatusNotFound, "no path of the configuration matches"
	}
	j.arm = j.path.Arm(j.id)
	if end := j.from.Add(j.arm.Left); end.Before(j.end) || j.req.Header.Get(seal.Left) == "" {
		j.end = end
	}
	return 0, ""
}

// busyNow gives the busy answer: the job was not run and never will be.
func (x *Proxy) busyNow(w http.ResponseWriter, why string, come time.Duration) {
	w.Header().Set(seal.Ran, "no")
	w.Header().Set(seal.Why, why)
	// The caller is told when to come back rather than held here.
	outer.Busy(w, "busy, try later: "+why, come)
}

// receipt answers the caller.
func (x *Proxy) receipt(w http.ResponseWriter, j *job) {
	x.score(j)
	if v := j.rules; v != nil {
		w.Header().Set(seal.Version, strconv.FormatUint(v.Version, 10))
	}
	switch {
	case j.back.Kind == session.Done:
		for k, v := range passed(j.back.Head) {
			w.Header()[k] = v
		}
		w.Header().Set(seal.Worker, j.back.Worker)
		w.Header().Set("Content-Length", strconv.Itoa(len(j.back.Body)))
		w.WriteHeader(j.back.Status)
		if j.req.Method != http.MethodHead {
			_, _ = w.Write(j.back.Body)
		}
	case j.unknown != nil:
		code := http.StatusBadGateway
		if j.unknown.Late {
			code = http.StatusGatewayTimeout
		}
		w.Header().Set(seal.Ran, "unknown")
		outer.JSON(w, code, outer.Wrong{Wrong: "outcome unknown: " + j.unknown.Why, Ran: "unknown"})
	default:
		x.busyNow(w, j.why, j.come)
	}
}

// score counts how a job ended.
func (x *Proxy) score(j *job) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := &x.count
	c.Jobs++
	c.Sends += int64(j.sends)
	switch {
	case j.back.Kind == session.Done:
		c.Done++
		if j.entry.Area == x.P.Area {
			c.Near++
		}
	case j.unknown != nil:
		c.Unknown++
	default:
		c.Refused++
	}
	x.tallyLocked(j)
}
