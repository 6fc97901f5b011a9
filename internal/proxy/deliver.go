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

// dropped are headers that belong to one connection or to the mesh.
var dropped = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Upgrade": true, "Te": true, "Trailer": true, "Content-Length": true, "Expect": true}

// passed gives the headers that go on: all but those of one connection, those
// that a Connection header names, and the mesh's own.
func (x *Proxy) passed(in map[string][]string) http.Header {
	out := make(http.Header, len(in))
	for k, v := range in {
		if k = http.CanonicalHeaderKey(k); !dropped[k] && !strings.HasPrefix(k, "Puffin-") {
			out[k] = v
		}
	}
	for _, v := range in["Connection"] {
		for _, n := range strings.Split(v, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(n)))
		}
	}
	return out
}

// origin gives the target of a job as it was sent, so that not a sign of it
// changes on the way.
func origin(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func urlPath(uri string) string {
	if i := strings.IndexAny(uri, "?#"); i >= 0 {
		return uri[:i]
	}
	return uri
}

// deliver sends the job to the worker, once.
func (x *Proxy) deliver(ctx context.Context, v *visit) bool {
	r, err := x.letter(ctx, v)
	if err != nil {
		return v.refuse("the job can't be sent on")
	}
	c, err := x.conns.Acquire(ctx, v.gate.worker, v.gate.addr)
	if errors.Is(err, workerconn.ErrWrongWorker) {
		x.stranger(v.gate)
		return v.refuse("another stands at the worker's address")
	}
	if err != nil {
		v.mute = true
		return v.refuse("no connection to the worker")
	}
	// The last look, now that nothing is waited for any more.
	if !x.timely(ctx, v) || !x.open(v) {
		x.conns.Release(c)
		return false
	}
	if lacks, ok := x.begun(v); !ok {
		x.conns.Release(c)
		return v.later("no repeats are left for "+lacks, x.again.EstimateWait(lacks))
	}
	// From here on the worker may have had the job, whatever an error says.
	x.step(v, stepSent, "")
	defer x.noteRemote(ctx, &v.in)()
	v.back.ReachedWorker = true
	release := x.endsWith(ctx, v, c)
	w, body, err := x.conns.RoundTrip(c, r, v.end, x.surplus(v), release)
	if err != nil && v.cut != "" {
		return v.unknown(v.cut)
	}
	if err != nil {
		v.stale = errors.Is(err, workerconn.ErrStaleConnection)
		return v.unknown("no whole answer from the worker: " + plain(err))
	}
	if int64(len(body)) > x.wide() {
		return v.unknown("the answer is over the bound")
	}
	if !x.say.VerifiesDigest && v.in.Method != http.MethodHead && w.ContentLength < 0 && len(w.TransferEncoding) == 0 {
		// It ended with its connection: nothing says that it is whole.
		return v.unknown("the answer has no end of its own")
	}
	v.back = protocol.AttemptResult{Status: w.StatusCode, Header: w.Header, Body: body, ReachedWorker: true}
	return true
}

// letter writes the request to the worker.
func (x *Proxy) letter(ctx context.Context, v *visit) (*http.Request, error) {
	u, err := url.ParseRequestURI(v.in.URI)
	if err != nil {
		return nil, err
	}
	if x.say.KeepsAttemptID && !strings.HasPrefix(v.in.URI, "//") {
		u = &url.URL{Scheme: "http", Opaque: v.in.URI}
	}
	u.Scheme, u.Host = "http", v.gate.addr
	r := (&http.Request{Method: v.in.Method, URL: u, Host: v.in.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	if r.Host == "" {
		r.Host = v.gate.addr
	}
	if len(v.in.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(v.in.Body))
		r.ContentLength = int64(len(v.in.Body))
	}
	r.Header = x.passed(v.in.Header)
	if r.Header["User-Agent"] == nil {
		r.Header["User-Agent"] = []string{""}
	}
	if x.say.RequestID != "" {
		r.Header.Set(x.say.RequestID, v.in.RequestID)
	}
	r.Header.Set(x.say.AttemptID, v.id())
	r.Header.Set(x.say.ExpectedWorker, v.in.Worker)
	if x.say.CallerService != "" && v.in.CallerService != "" {
		// Whatever the caller wrote there: the front knows where the job began.
		r.Header.Set(x.say.CallerService, v.in.CallerService)
	}
	// A little less than there is: what the worker calls in turn gives up
	// while the worker can still answer.
	r.Header.Set(x.say.Timeout, strconv.FormatInt((time.Until(v.end)*19/20).Milliseconds(), 10))
	return r, nil
}

// id is what the worker is told as the attempt's id.
func (v *visit) id() string {
	if v.in.WorkerAttemptID != "" {
		return v.in.WorkerAttemptID
	}
	return v.in.AttemptID
}

// surplus tells of an answer that it belongs to an earlier send: a worker may
// answer twice, and the second then stands where ours is due.
func (x *Proxy) surplus(v *visit) func(*http.Response) bool {
	if !x.say.KeepsAttemptID {
		return nil
	}
	return func(w *http.Response) bool {
		id := w.Header.Get(x.say.AttemptID)
		return id != "" && id != v.id()
	}
}

// plain keeps addresses of the inside out of what callers read.
func plain(err error) string {
	s := err.Error()
	if i := strings.LastIndex(s, ": "); i >= 0 {
		s = s[i+2:]
	}
	return s
}
