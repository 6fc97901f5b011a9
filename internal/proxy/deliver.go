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

	"puffincrank/internal/seal"
	"puffincrank/internal/session"
)

// dropped are headers that belong to one connection or to the mesh.
var dropped = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Upgrade": true, "Te": true, "Trailer": true, "Content-Length": true, "Expect": true}

func passed(in map[string][]string) http.Header {
	out := http.Header{}
	for k, v := range in {
		if k = http.CanonicalHeaderKey(k); !dropped[k] && !strings.HasPrefix(k, "Puffin-") {
			out[k] = v
		}
	}
	return out
}

func urlPath(uri string) string {
	if i := strings.IndexAny(uri, "?#"); i >= 0 {
		return uri[:i]
	}
	return uri
}

// deliver sends the job to the worker, once.
func (x *Proxy) deliver(ctx context.Context, v *visit) bool {
	u, err := url.ParseRequestURI(v.in.URI)
	if err != nil {
		return v.refuse("the URL can't be sent on")
	}
	r, err := http.NewRequestWithContext(ctx, v.in.Method, "http://"+v.gate.addr+u.RequestURI(), nil)
	if err != nil {
		return v.refuse("the job can't be sent on")
	}
	if len(v.in.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(v.in.Body))
		r.ContentLength = int64(len(v.in.Body))
	}
	r.Header = passed(v.in.Head)
	r.Header.Set(seal.Job, v.in.Job)
	r.Header.Set(seal.Attempt, v.in.Attempt)
	r.Header.Set(seal.Worker, v.in.Worker)
	// A little less than there is: what the worker calls in turn gives up
	// while the worker can still answer.
	r.Header.Set(seal.Left, strconv.FormatInt((time.Until(v.end)*19/20).Milliseconds(), 10))
	k, err := x.way.take(ctx, v.gate.worker, v.gate.addr)
	if errors.Is(err, errStranger) {
		x.stranger(v.gate)
		return v.refuse("another stands at the worker's address")
	}
	if err != nil {
		return v.refuse("no connection to the worker")
	}
	// The last look, now that nothing is waited for any more.
	if !x.timely(v) || !x.open(v) {
		x.way.keep(k)
		return false
	}
	// From here on the worker may have had the job, whatever an error says.
	w, body, err := x.way.send(k, r, v.end)
	if err != nil {
		return v.unknown("no whole answer from the worker: " + plain(err))
	}
	if len(body) > x.P.Body {
		return v.unknown("the answer is over the bound")
	}
	v.back = session.Back{Status: w.StatusCode, Head: w.Header, Body: body}
	return true
}

// plain keeps addresses of the inside out of what callers read.
func plain(err error) string {
	s := err.Error()
	if i := strings.LastIndex(s, ": "); i >= 0 {
		s = s[i+2:]
	}
	return s
}
