package proxy

import (
	"net/http"
	"strconv"
	"time"

	"puffincrank/internal/httpapi"
	"puffincrank/internal/protocol"
	"puffincrank/internal/responsedigest"
)

// wrong answers for a job that can't be taken as it came: it was not run.
func (x *Proxy) wrong(w http.ResponseWriter, code int, why string) {
	x.mark(w, responsedigest.ExecutedHeader, "no")
	httpapi.WriteJSON(w, code, httpapi.ErrorBody{Message: why, Executed: "no"})
}

// mark sets one of the mesh's own headers, where the tongue has them.
func (x *Proxy) mark(w http.ResponseWriter, name, value string) {
	if x.say.WritesOwnHeaders {
		w.Header().Set(name, value)
	}
}

// busyNow gives the busy answer: the job was not run and never will be.
func (x *Proxy) busyNow(w http.ResponseWriter, why string, come time.Duration) {
	x.mark(w, responsedigest.ExecutedHeader, "no")
	x.mark(w, responsedigest.ReasonHeader, why)
	// The caller is told when to come back rather than held here.
	httpapi.WriteBusy(w, "busy, try later: "+why, come, x.say.FractionalRetryAfter)
}

// receipt answers the caller.
func (x *Proxy) receipt(w http.ResponseWriter, j *job) {
	if j.back.Outcome != protocol.Done && j.spare != nil {
		j.back = *j.spare
	}
	x.score(j)
	if !j.due.IsZero() && (j.back.Outcome != protocol.Done || j.back.Status >= http.StatusInternalServerError) {
		x.knows.note(j.path.Name, j.first, j.due)
	}
	if v := j.rules; v != nil {
		x.mark(w, responsedigest.ConfigVersionHeader, strconv.FormatUint(v.Version, 10))
	}
	switch {
	case j.back.Outcome == protocol.Done:
		for k, v := range x.passed(j.back.Header) {
			w.Header()[k] = v
		}
		x.mark(w, responsedigest.WorkerHeader, j.back.Worker)
		w.Header().Set("Content-Length", strconv.Itoa(len(j.back.Body)))
		w.WriteHeader(j.back.Status)
		if j.req.Method != http.MethodHead {
			_, _ = w.Write(j.back.Body)
		}
	case j.lost != nil:
		code := http.StatusBadGateway
		if j.lost.TimedOut {
			code = http.StatusGatewayTimeout
		}
		x.mark(w, responsedigest.ExecutedHeader, "unknown")
		httpapi.WriteJSON(w, code, httpapi.ErrorBody{Message: "outcome unknown: " + j.lost.Reason, Executed: "unknown"})
	default:
		x.busyNow(w, j.why, x.comeback(j))
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
	case j.back.Outcome == protocol.Done:
		c.Done++
		if j.entry.Zone == x.Settings.Zone {
			c.Near++
		}
	case j.lost != nil:
		c.Unknown++
	default:
		c.Refused++
	}
	x.tallyLocked(j)
}
