package sim

import (
	"net"
	"os"
	"slices"
	"time"
)

// window is how many bytes a connection takes that are not yet through a thin
// link: its send buffer.
const window = 16 << 10

// line is a thin link, out of a host or from one area to another; all who send
// share it, first come first served.
type line struct {
	rate int       // bytes a second
	free time.Time // when the last byte given to it is gone
	sent int       // bytes
}

// Thin gives the link out of a host a bandwidth in bytes a second.
func (n *Net) Thin(h string, rate int) {
	n.mu.Lock()
	n.lines[h] = &line{rate: rate}
	n.mu.Unlock()
}

// Narrow gives the way from one area to another a bandwidth in bytes a second.
func (n *Net) Narrow(from, to string, rate int) {
	n.mu.Lock()
	n.lines[from+">"+to] = &line{rate: rate}
	n.mu.Unlock()
}

// Through gives the bytes that went over a narrow way so far.
func (n *Net) Through(from, to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lines[from+">"+to].sent
}

// line finds the thin link between two hosts, nil for none.
func (n *Net) line(from, to string) *line {
	if l := n.lines[from]; l != nil && from != to {
		return l
	}
	if a, b := n.areas[from], n.areas[to]; a != b {
		return n.lines[a+">"+b]
	}
	return nil
}

// admit tells how many of some bytes a connection takes now, when the last of
// them is through the thin link, and how long to wait if it takes none.
func (n *Net) admit(p *pipe, size int) (int, time.Time, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	l := n.line(p.from, p.to)
	if l == nil {
		return size, now, 0
	}
	byte := time.Second / time.Duration(l.rate)
	if l.free.Before(now) {
		l.free = now
	}
	p.held = slices.DeleteFunc(p.held, func(c heldBytes) bool { return !c.gone.After(now) })
	held := 0
	for _, c := range p.held {
		held += c.size
	}
	if held >= window {
		// Sockets wake their writers when there's room for some.
		return 0, now, window / 4 * byte
	}
	size = min(size, window-held)
	l.free = l.free.Add(time.Duration(size) * byte)
	l.sent += size
	p.held = append(p.held, heldBytes{size, l.free})
	return size, l.free, 0
}

// heldBytes is bytes in a connection's send buffer, and when they are through.
type heldBytes struct {
	size int
	gone time.Time
}

// Write waits until all is taken, or for its deadline.
func (p *pipe) Write(b []byte) (int, error) {
	p.ice.hold()
	done := 0
	for {
		p.mu.Lock()
		end := p.wd
		p.mu.Unlock()
		if !end.IsZero() && !time.Now().Before(end) {
			return done, os.ErrDeadlineExceeded
		}
		n, wait, err := p.put(b[done:])
		done += n
		if err != nil || done == len(b) {
			return done, err
		}
		if wait == 0 {
			continue
		}
		if !end.IsZero() {
			wait = min(wait, time.Until(end))
		}
		p.out.mu.Lock()
		wake := p.out.wake
		p.out.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-wake:
		}
		t.Stop()
	}
}

// Try writes what is taken at once.
func (p *pipe) Try(b []byte) (int, error) {
	p.ice.hold()
	n, _, err := p.put(b)
	return n, err
}

// put sends what the link takes now and tells how long it is full if it is.
func (p *pipe) put(b []byte) (int, time.Duration, error) {
	h := p.out
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err != nil {
		return 0, 0, h.err
	}
	if h.shut {
		return 0, 0, net.ErrClosed
	}
	n, gone, wait := p.net.admit(p, len(b))
	if n == 0 {
		return 0, wait, nil
	}
	due := gone.Add(p.net.delay(p.from, p.to))
	// Order is kept: nothing arrives before what was sent earlier.
	if n := len(h.q); n > 0 && h.q[n-1].due.After(due) {
		due = h.q[n-1].due
	}
	h.q = append(h.q, chunk{append([]byte(nil), b[:n]...), due})
	p.net.weigh(p.from, p.to, n)
	h.stir()
	return n, 0, nil
}
