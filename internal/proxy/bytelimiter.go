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

// byteLimiter counts the bytes of requests and responses in progress here, as the ingress and
// as the owner, and bounds them. What does not fit is refused before it is read or run. The
// response of a run can't be refused, so space for one as large as recent ones of its route is
// reserved beforehand.
type byteLimiter struct {
	mu            sync.Mutex
	limit         int64
	used          int64
	peak          int64
	soloExcess    int64            // by how much a single item exceeds the share of large ones
	meanHold      time.Duration    // how long bytes are held, smoothed
	responseSizes map[string]int64 // by route, recent large responses
}

// byteLimit is the limit in bytes. A body is held up to three times at once: as received,
// encoded and in transit. With an eighth of the memory for bodies, the rest is left for tables,
// links and garbage not yet collected. If the memory is not configured, the limit has room for
// eight bodies of the largest size that fits a frame.
func byteLimit(conf *settings.Settings) int64 {
	if conf.MemoryBytes > 0 {
		return int64(conf.MemoryBytes) / 8
	}
	return 4 * int64(conf.MaxFrameBytes)
}

func newByteLimiter(conf *settings.Settings) *byteLimiter {
	return &byteLimiter{limit: byteLimit(conf), responseSizes: map[string]int64{}}
}

// setLimit changes the limit; what is in progress stays.
func (l *byteLimiter) setLimit(conf *settings.Settings) {
	l.mu.Lock()
	l.limit = byteLimit(conf)
	l.mu.Unlock()
}

// reserve requests space for n bytes. Large items leave a quarter to small ones, hundreds of
// which fit there. A single item is accepted whatever its size, or a limit set too low would
// never serve it.
func (l *byteLimiter) reserve(n int64) bool { return l.reservePart(n, n) }

// reservePart is reserve for a part of a larger item.
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
		// Beside a single item over the limit, small ones are still accepted as usual.
		l.soloExcess = max(l.used-large, 0)
	}
	return true
}

// forceReserve counts bytes that are already in memory.
func (l *byteLimiter) forceReserve(n int64) {
	l.mu.Lock()
	l.addLocked(n)
	l.mu.Unlock()
}

func (l *byteLimiter) addLocked(n int64) {
	l.used += n
	l.peak = max(l.peak, l.used)
}

// release returns bytes that were reserved at the given time.
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

// retryAfter estimates when there may be space again, from how long bytes were held recently.
func (l *byteLimiter) retryAfter(minimum time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.meanHold, minimum)
}

// recordResponse records the size of a response. A large one counts at once and decays with the
// smaller ones that follow.
func (l *byteLimiter) recordResponse(route string, size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous, ok := l.responseSizes[route]
	if !ok && len(l.responseSizes) >= 1024 {
		// Routes of older configurations must not accumulate.
		clear(l.responseSizes)
	}
	l.responseSizes[route] = max(int64(size), previous-(previous-int64(size))/16)
}

// expectedResponse is the size to expect of a response of a route.
func (l *byteLimiter) expectedResponse(route string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.responseSizes[route]
}

// usage gives the bytes in progress now, the highest value so far, and the limit.
func (l *byteLimiter) usage() (used, peak, limit int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used, l.peak, l.limit
}

// meteredBody is a body of unknown length; space is reserved as it is read.
type meteredBody struct {
	io.ReadCloser
	limiter   *byteLimiter
	reserved  int64
	overLimit bool
}

func (m *meteredBody) Read(b []byte) (int, error) {
	n, err := m.ReadCloser.Read(b)
	if n > 0 && !m.limiter.reservePart(int64(n), m.reserved+int64(n)) {
		m.overLimit = true
		return 0, io.ErrShortBuffer
	}
	m.reserved += int64(n)
	return n, err
}

// readBody reads a caller's body into reserved space and returns how much was reserved. The
// code is an HTTP status if the body was not accepted; 503 means that there was no space, and
// the rest of the body is left unread.
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

// onAttempt handles an attempt that arrives over a link.
func (x *Proxy) onAttempt(ctx context.Context, _ transport.Hello, in protocol.AttemptRequest) (protocol.AttemptResult, error) {
	// The bytes of requests from this node are counted by its ingress. A request that came over
	// a link is already in memory, but must not queue and run while there is no space.
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
