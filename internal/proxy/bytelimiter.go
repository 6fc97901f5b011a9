package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"puffincrank/internal/httpapi"
	"puffincrank/internal/protocol"
	"puffincrank/internal/settings"
	"puffincrank/internal/transport"
)

// byteLimiter counts the bytes of jobs and answers that are under way here, as a front
// and as an owner, and keeps them within a bound. What doesn't fit is refused
// before it is read or run; an answer of a run can't be refused, so room is
// kept beforehand for one as large as its path's lately were.
type byteLimiter struct {
	mu            sync.Mutex
	limit         int64
	used          int64
	peak          int64
	soloExcess    int64            // by how much one alone is over what large ones may take
	meanHold      time.Duration    // how long bytes stay, smoothed
	responseSizes map[string]int64 // by path, the large answers of late
}

// byteLimit is the bound in bytes. A body stands up to three times at once: as it
// came, packed and on its way; with an eighth of the memory for it the rest is
// left for the tables, the links and what the collector has not yet swept.
// Where the memory isn't told, eight bodies of the largest kind that a frame
// can carry have room.
func byteLimit(conf *settings.Settings) int64 {
	if conf.MemoryBytes > 0 {
		return int64(conf.MemoryBytes) / 8
	}
	return 4 * int64(conf.MaxFrameBytes)
}

func newByteLimiter(conf *settings.Settings) *byteLimiter {
	return &byteLimiter{limit: byteLimit(conf), responseSizes: map[string]int64{}}
}

// setLimit changes the bound; what is under way stays.
func (l *byteLimiter) setLimit(conf *settings.Settings) {
	l.mu.Lock()
	l.limit = byteLimit(conf)
	l.mu.Unlock()
}

// reserve asks for room for bytes. Large ones leave a quarter to small ones, of
// which hundreds fit; a single one is let in whatever its size, or a bound that
// is set too low would never serve it.
func (l *byteLimiter) reserve(n int64) bool { return l.reservePart(n, n) }

// reservePart is take for a part of something that is larger as a whole.
func (l *byteLimiter) reservePart(n, whole int64) bool {
	if n <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	large := l.limit * 3 / 4
	limit := l.limit + l.soloExcess
	if whole > l.limit/256 {
		limit = large
	}
	alone := l.used <= whole-n
	if !alone && l.used+n > limit {
		return false
	}
	l.addLocked(n)
	if alone {
		// Beside one that is over the bound by itself small ones go on as usual.
		l.soloExcess = max(l.used-large, 0)
	}
	return true
}

// forceReserve counts bytes that are there already.
func (l *byteLimiter) forceReserve(n int64) {
	l.mu.Lock()
	l.addLocked(n)
	l.mu.Unlock()
}

func (l *byteLimiter) addLocked(n int64) {
	l.used += n
	l.peak = max(l.peak, l.used)
}

// release gives back what was taken a while ago.
func (l *byteLimiter) release(n int64, since time.Time) {
	if n == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used -= n
	l.soloExcess = max(min(l.soloExcess, l.used-l.limit*3/4), 0)
	l.meanHold += (time.Since(since) - l.meanHold) / 16
}

// retryAfter is when there may be room again: bytes stay as long as they lately did.
func (l *byteLimiter) retryAfter(minimum time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.meanHold, minimum)
}

// recordResponse notes how large an answer of a path was. Large ones count at once,
// and fade with the smaller ones that follow.
func (l *byteLimiter) recordResponse(route string, size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous, ok := l.responseSizes[route]
	if !ok && len(l.responseSizes) >= 1024 {
		// Paths of older configurations must not pile up.
		clear(l.responseSizes)
	}
	l.responseSizes[route] = max(int64(size), previous-(previous-int64(size))/16)
}

// expectedResponse is how large an answer of a path may be.
func (l *byteLimiter) expectedResponse(route string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.responseSizes[route]
}

// usage gives the bytes under way, and the most there were at once.
func (l *byteLimiter) usage() (used, peak, limit int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used, l.peak, l.limit
}

// meteredBody is a body whose length isn't told: its room is asked for as it comes.
type meteredBody struct {
	io.ReadCloser
	limiter   *byteLimiter
	reserved  int64
	overLimit bool
}

func (p *meteredBody) Read(b []byte) (int, error) {
	n, err := p.ReadCloser.Read(b)
	if n > 0 && !p.limiter.reservePart(int64(n), p.reserved+int64(n)) {
		p.overLimit = true
		return 0, io.ErrShortBuffer
	}
	p.reserved += int64(n)
	return n, err
}

// readBody reads a caller's body into room that is counted, and tells how much was
// taken. The status tells what is wrong; 503 is that there is no room, and what
// was not read of the body then is left.
func (x *Proxy) readBody(w http.ResponseWriter, r *http.Request) (body []byte, reserved int64, code int) {
	limit := x.maxRequestBody()
	switch n := r.ContentLength; {
	case n > limit:
		return nil, 0, http.StatusRequestEntityTooLarge
	case n >= 0:
		if !x.byteLimiter.reserve(n) {
			return nil, 0, http.StatusServiceUnavailable
		}
		body, code = httpapi.ReadBody(w, r, limit)
		return body, n, code
	}
	metered := &meteredBody{ReadCloser: r.Body, limiter: x.byteLimiter}
	r.Body = metered
	body, code = httpapi.ReadBody(w, r, limit)
	if metered.overLimit {
		code = http.StatusServiceUnavailable
	}
	return body, metered.reserved, code
}

// onAttempt takes an attempt that comes over a link.
func (x *Proxy) onAttempt(ctx context.Context, _ transport.Hello, in protocol.AttemptRequest) (protocol.AttemptResult, error) {
	// What an own job holds is counted by the front. One that came over a link
	// is here already, but must not wait and run while there is no room.
	start, reserved := time.Now(), int64(len(in.Body))+x.byteLimiter.expectedResponse(in.Route)
	if !x.byteLimiter.reserve(reserved) {
		return protocol.AttemptResult{Outcome: protocol.Refused, Reason: reasonBytesFull, RetryAfterMS: x.byteLimiter.retryAfter(x.Settings.HeartbeatInterval()).Milliseconds(), UsedSlots: -1}, nil
	}
	ctx, unbind := x.cutoff.Bind(ctx)
	defer unbind()
	result := x.runAsOwner(ctx, in)
	if excess := int64(len(in.Body)+len(result.Body)) - reserved; excess > 0 {
		x.byteLimiter.forceReserve(excess)
		reserved += excess
	}
	if result.Outcome == protocol.Done {
		x.byteLimiter.recordResponse(in.Route, len(result.Body))
	}
	x.byteLimiter.release(reserved, start)
	return result, nil
}
