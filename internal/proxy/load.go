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

// load counts the bytes of jobs and answers that are under way here, as a front
// and as an owner, and keeps them within a bound. What doesn't fit is refused
// before it is read or run; an answer of a run can't be refused, so room is
// kept beforehand for one as large as its path's lately were.
type load struct {
	mu    sync.Mutex
	most  int64
	used  int64
	peak  int64
	over  int64            // by how much one alone is over what large ones may take
	mean  time.Duration    // how long bytes stay, smoothed
	sizes map[string]int64 // by path, the large answers of late
}

// roomOf is the bound in bytes. A body stands up to three times at once: as it
// came, packed and on its way; with an eighth of the memory for it the rest is
// left for the tables, the links and what the collector has not yet swept.
// Where the memory isn't told, eight bodies of the largest kind that a frame
// can carry have room.
func roomOf(p *settings.Settings) int64 {
	if p.MemoryBytes > 0 {
		return int64(p.MemoryBytes) / 8
	}
	return 4 * int64(p.MaxFrameBytes)
}

func newLoad(p *settings.Settings) *load { return &load{most: roomOf(p), sizes: map[string]int64{}} }

// bound changes the bound; what is under way stays.
func (l *load) bound(p *settings.Settings) {
	l.mu.Lock()
	l.most = roomOf(p)
	l.mu.Unlock()
}

// take asks for room for bytes. Large ones leave a quarter to small ones, of
// which hundreds fit; a single one is let in whatever its size, or a bound that
// is set too low would never serve it.
func (l *load) take(n int64) bool { return l.more(n, n) }

// more is take for a part of something that is larger as a whole.
func (l *load) more(n, whole int64) bool {
	if n <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	large := l.most * 3 / 4
	most := l.most + l.over
	if whole > l.most/256 {
		most = large
	}
	alone := l.used <= whole-n
	if !alone && l.used+n > most {
		return false
	}
	l.addLocked(n)
	if alone {
		// Beside one that is over the bound by itself small ones go on as usual.
		l.over = max(l.used-large, 0)
	}
	return true
}

// force counts bytes that are there already.
func (l *load) force(n int64) {
	l.mu.Lock()
	l.addLocked(n)
	l.mu.Unlock()
}

func (l *load) addLocked(n int64) {
	l.used += n
	l.peak = max(l.peak, l.used)
}

// free gives back what was taken a while ago.
func (l *load) free(n int64, since time.Time) {
	if n == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used -= n
	l.over = max(min(l.over, l.used-l.most*3/4), 0)
	l.mean += (time.Since(since) - l.mean) / 16
}

// come is when there may be room again: bytes stay as long as they lately did.
func (l *load) come(least time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.mean, least)
}

// answered notes how large an answer of a path was. Large ones count at once,
// and fade with the smaller ones that follow.
func (l *load) answered(path string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	was, ok := l.sizes[path]
	if !ok && len(l.sizes) >= 1024 {
		// Paths of older configurations must not pile up.
		clear(l.sizes)
	}
	l.sizes[path] = max(int64(n), was-(was-int64(n))/16)
}

// expects is how large an answer of a path may be.
func (l *load) expects(path string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sizes[path]
}

// at gives the bytes under way, and the most there were at once.
func (l *load) at() (used, peak, most int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used, l.peak, l.most
}

// part is a body whose length isn't told: its room is asked for as it comes.
type part struct {
	io.ReadCloser
	l    *load
	has  int64
	full bool
}

func (p *part) Read(b []byte) (int, error) {
	n, err := p.ReadCloser.Read(b)
	if n > 0 && !p.l.more(int64(n), p.has+int64(n)) {
		p.full = true
		return 0, io.ErrShortBuffer
	}
	p.has += int64(n)
	return n, err
}

// body reads a caller's body into room that is counted, and tells how much was
// taken. The status tells what is wrong; 503 is that there is no room, and what
// was not read of the body then is left.
func (x *Proxy) body(w http.ResponseWriter, r *http.Request) (b []byte, took int64, code int) {
	most := x.most()
	switch n := r.ContentLength; {
	case n > most:
		return nil, 0, http.StatusRequestEntityTooLarge
	case n >= 0:
		if !x.load.take(n) {
			return nil, 0, http.StatusServiceUnavailable
		}
		b, code = httpapi.ReadBody(w, r, most)
		return b, n, code
	}
	p := &part{ReadCloser: r.Body, l: x.load}
	r.Body = p
	b, code = httpapi.ReadBody(w, r, most)
	if p.full {
		code = http.StatusServiceUnavailable
	}
	return b, p.has, code
}

// onHand takes an attempt that comes over a link.
func (x *Proxy) onHand(ctx context.Context, _ transport.Hello, in protocol.AttemptRequest) (protocol.AttemptResult, error) {
	// What an own job holds is counted by the front. One that came over a link
	// is here already, but must not wait and run while there is no room.
	from, n := time.Now(), int64(len(in.Body))+x.load.expects(in.Route)
	if !x.load.take(n) {
		return protocol.AttemptResult{Outcome: protocol.Refused, Reason: noRoom, RetryAfterMS: x.load.come(x.Settings.HeartbeatInterval()).Milliseconds(), UsedSlots: -1}, nil
	}
	ctx, over := x.late.Bind(ctx)
	defer over()
	b := x.own(ctx, in)
	if more := int64(len(in.Body)+len(b.Body)) - n; more > 0 {
		x.load.force(more)
		n += more
	}
	if b.Outcome == protocol.Done {
		x.load.answered(in.Route, len(b.Body))
	}
	x.load.free(n, from)
	return b, nil
}
