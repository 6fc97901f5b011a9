package proxy

import (
	"context"
	"net/http"

	"puffincrank/internal/event"
	"puffincrank/internal/protocol"
	"puffincrank/internal/responsedigest"
)

func headOf(b *protocol.AttemptResult, name string) string {
	if l := b.Header[http.CanonicalHeaderKey(name)]; len(l) > 0 {
		return l[0]
	}
	return ""
}

// notRun tells whether the worker says that it left the job unrun.
func (x *Proxy) notRun(b *protocol.AttemptResult) bool {
	said := headOf(b, x.say.NotExecuted)
	if said == "" || x.say.NotExecutedValue != "" && said != x.say.NotExecutedValue {
		// With a seal that can be checked, the status alone says it.
		return x.say.VerifiesDigest && b.Status == http.StatusMisdirectedRequest
	}
	if x.say.VerifiesDigest {
		return b.Status == http.StatusMisdirectedRequest || b.Status == http.StatusServiceUnavailable || b.Status == http.StatusTooManyRequests
	}
	return b.Status >= 400
}

// broken tells why an answer can't be the worker's whole answer to this very
// attempt; empty when nothing speaks against it. Framing was checked when it
// was read.
func (x *Proxy) broken(v *visit, notRun bool) string {
	b := &v.back
	if x.say.VerifiesDigest {
		if headOf(b, x.say.AttemptID) != v.in.AttemptID || headOf(b, x.say.WorkerID) != v.in.Worker || headOf(b, x.say.ResponseDigest) != responsedigest.Of(v.in.AttemptID, v.in.Worker, b.Status, b.Body) {
			return "the answer's seal is broken"
		}
		return ""
	}
	switch {
	case notRun && headOf(b, x.say.AttemptID) == "":
		// A refusal by one who did not read so far.
		return ""
	case headOf(b, x.say.AttemptID) != v.id():
		return "the answer is another attempt's"
	case headOf(b, x.say.ResponseDigest) == "" && b.Status < 300:
		return "the answer has no seal"
	case headOf(b, "Content-Encoding") != "":
		return "the answer's body is encoded"
	}
	return ""
}

// unseal checks the answer whole before anything of it is passed on.
func (x *Proxy) unseal(_ context.Context, v *visit) bool {
	b := &v.back
	head := func(n string) string {
		if l := b.Header[n]; len(l) > 0 {
			return l[0]
		}
		return ""
	}
	notRun := x.notRun(b)
	if why := x.broken(v, notRun); why != "" {
		x.e.Log.Emit(event.CorruptAnswer, "worker", v.in.Worker, "attempt", v.in.AttemptID, "status", b.Status, "why", why)
		return v.unknown(why)
	}
	switch {
	case notRun:
		// Another worker at the address, or a full one: certain that it did
		// not run, though it came that far.
		if b.Status == http.StatusMisdirectedRequest && !x.say.IdentifiesConns {
			x.stranger(v.gate)
		}
		v.later("the worker refused: "+head(responsedigest.ReasonHeader), v.gate.room.EstimateDrain(v.in.Class))
		v.back.ReachedWorker = true
		return false
	case b.Status == 503 || b.Status == 429:
		// The worker's own busy doesn't promise that the job never ran.
		return v.unknown("the worker answered busy without a word on whether the job ran")
	}
	b.Outcome, b.Digest, b.Worker = protocol.Done, head(x.say.ResponseDigest), v.in.Worker
	return false
}
