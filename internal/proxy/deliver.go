package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"puffincrank/internal/seal"
	"puffincrank/internal/session"
)

// transport makes the way to workers. Each attempt has a connection of its
// own: net/http sends a request again in silence only on one that was used
// before, so nothing can be sent twice.
func (x *Proxy) transport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			c, err := x.e.Net.Dial(ctx, addr)
			if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok && err == nil {
				sent.Store(true)
			}
			return c, err
		},
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 64 << 10,
	}
}

// sentKey finds the flag of an attempt whose connection stands.
type sentKey struct{}

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
	u.Scheme, u.Host = "http", v.gate.addr
	// sent turns true when the connection stands: from there on the worker
	// may have had the job, whatever the error says.
	var sent atomic.Bool
	r, err := http.NewRequestWithContext(context.WithValue(ctx, sentKey{}, &sent), v.in.Method, u.String(), nil)
	if err != nil {
		return v.refuse("the job can't be sent on")
	}
	// A plain reader without GetBody: net/http can't make the body again.
	if len(v.in.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(v.in.Body))
		r.ContentLength = int64(len(v.in.Body))
	}
	r.Header = passed(v.in.Head)
	r.Header.Set(seal.Job, v.in.Job)
	r.Header.Set(seal.Attempt, v.in.Attempt)
	r.Header.Set(seal.Worker, v.in.Worker)
	r.Header.Set(seal.Left, strconv.FormatInt(time.Until(v.end).Milliseconds(), 10))
	// RoundTrip, not Client: no redirects are followed, nothing is tried again.
	w, err := x.way.RoundTrip(r)
	if err != nil {
		if !sent.Load() {
			return v.refuse("no connection to the worker")
		}
		return v.unknown("no answer from the worker: " + plain(err))
	}
	defer func() { _ = w.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(w.Body, int64(x.P.Body)+1))
	if err != nil {
		return v.unknown("the answer was cut off: " + plain(err))
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

// probe asks the worker's port whether it lives.
func (x *Proxy) probe(ctx context.Context, g *gate) {
	ctx, end := context.WithTimeout(ctx, x.P.Missed()/2)
	defer end()
	ok := false
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.addr+"/puffin/fitness", nil)
	if err == nil {
		w, err := x.way.RoundTrip(r)
		if err == nil {
			_, _ = io.Copy(io.Discard, io.LimitReader(w.Body, 4096))
			_ = w.Body.Close()
			// Another identity at the address is as good as dead for ours.
			id := w.Header.Get(seal.Worker)
			ok = w.StatusCode < 500 && (id == "" || id == g.worker)
		}
	}
	g.mu.Lock()
	if ok {
		g.bad = 0
	} else {
		g.bad++
	}
	dead := g.bad >= 2
	g.mu.Unlock()
	if dead {
		x.evictStranger(g)
	}
}
