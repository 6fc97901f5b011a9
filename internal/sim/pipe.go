package sim

import (
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// chunk is bytes under way with the time at which they arrive.
type chunk struct {
	data      []byte
	arrivesAt time.Time
}

// stream is one direction of a connection.
type stream struct {
	mu     sync.Mutex
	wake   chan struct{}
	queue  []chunk
	closed bool  // the sender closed, readers get EOF after the rest
	err    error // the connection was reset
}

func newStream() *stream { return &stream{wake: make(chan struct{})} }

func (h *stream) wakeAll() {
	close(h.wake)
	h.wake = make(chan struct{})
}

// pipe is one end of a connection in memory.
type pipe struct {
	net                         *Net
	pauseGate                   *pauseGate // of the process at this end
	from, peer                  string     // hosts of this end and the far one
	in, out                     *stream
	mu                          sync.Mutex
	readDeadline, writeDeadline time.Time
	deadlineChanged             chan struct{} // closed when a deadline changes
	localAddr                   addr
	remoteAddr                  addr
	resetOnClose                bool            // closing resets
	sendBuffer                  []bufferedBytes // guarded by the net's lock
	observable                  bool            // it can be looked at
}

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

func (p *pipe) LocalAddr() net.Addr  { return p.localAddr }
func (p *pipe) RemoteAddr() net.Addr { return p.remoteAddr }

func (p *pipe) SetDeadline(t time.Time) error {
	_ = p.SetReadDeadline(t)
	return p.SetWriteDeadline(t)
}

func (p *pipe) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	p.readDeadline = t
	close(p.deadlineChanged)
	p.deadlineChanged = make(chan struct{})
	p.mu.Unlock()
	return nil
}

func (p *pipe) SetWriteDeadline(t time.Time) error {
	p.mu.Lock()
	p.writeDeadline = t
	p.mu.Unlock()
	return nil
}

func (p *pipe) Read(buffer []byte) (int, error) {
	for {
		// Right after a thaw what has arrived comes before a deadline that
		// passed meanwhile: both are due, and this order is the worse one.
		justResumed := p.pauseGate.waitWhilePaused()
		p.mu.Lock()
		deadline, deadlineChanged := p.readDeadline, p.deadlineChanged
		p.mu.Unlock()
		incoming := p.in
		incoming.mu.Lock()
		now := time.Now()
		if incoming.err != nil {
			err := incoming.err
			incoming.mu.Unlock()
			return 0, err
		}
		if !justResumed && !deadline.IsZero() && !now.Before(deadline) {
			incoming.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		// Bytes are held while the way is cut, as TCP would send them again.
		open := p.net.isOpen(p.peer, p.from)
		wait := time.Hour
		if len(incoming.queue) > 0 {
			if first := &incoming.queue[0]; !now.Before(first.arrivesAt) && open {
				n := copy(buffer, first.data)
				first.data = first.data[n:]
				if len(first.data) == 0 {
					incoming.queue = incoming.queue[1:]
				}
				incoming.mu.Unlock()
				return n, nil
			} else if open {
				wait = first.arrivesAt.Sub(now)
			}
		} else if incoming.closed && open {
			incoming.mu.Unlock()
			return 0, io.EOF
		}
		wake := incoming.wake
		incoming.mu.Unlock()
		if !deadline.IsZero() {
			wait = min(wait, deadline.Sub(now))
		}
		timer := time.NewTimer(wait)
		select {
		case <-wake:
		case <-deadlineChanged:
		case <-p.net.linksChange():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (p *pipe) Close() error {
	closeNow := p.close
	p.mu.Lock()
	// A reset that a cut swallows takes with it what the cut holds up.
	if p.resetOnClose && p.net.isOpen(p.from, p.peer) {
		closeNow = p.reset
	}
	p.mu.Unlock()
	if !p.pauseGate.deferUntilResume(closeNow) {
		closeNow()
	}
	return nil
}

// SetLinger with 0 makes the close a reset, as that of a TCP connection.
func (p *pipe) SetLinger(sec int) error {
	p.mu.Lock()
	p.resetOnClose = sec == 0
	p.mu.Unlock()
	return nil
}

// Taken tells whether the far side has read all that was written here.
func (p *pipe) Taken() bool {
	p.out.mu.Lock()
	defer p.out.mu.Unlock()
	return len(p.out.queue) == 0
}

func (p *pipe) close() {
	p.mu.Lock()
	reset := p.resetOnClose
	p.mu.Unlock()
	cutSince := p.net.cutSince(p.from, p.peer)
	p.out.mu.Lock()
	p.out.closed = true
	if reset {
		p.out.queue = slices.DeleteFunc(p.out.queue, func(c chunk) bool { return c.arrivesAt.After(cutSince) })
	}
	p.out.wakeAll()
	p.out.mu.Unlock()
	p.in.mu.Lock()
	if p.in.err == nil {
		p.in.err = net.ErrClosed
	}
	p.in.wakeAll()
	p.in.mu.Unlock()
	p.net.forget(p)
}

// reset ends the connection at once, both ways, as a killed process does.
func (p *pipe) reset() {
	for _, direction := range []*stream{p.in, p.out} {
		direction.mu.Lock()
		if direction.err == nil {
			direction.err = io.ErrUnexpectedEOF
		}
		direction.wakeAll()
		direction.mu.Unlock()
	}
	p.net.forget(p)
}

// Sum gives the bytes sent so far, between areas or within them.
func (n *Net) Sum(crossZone bool) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if crossZone {
		return n.CrossZoneBytes
	}
	return n.SameZoneBytes
}

func (n *Net) forget(p *pipe) {
	n.mu.Lock()
	delete(n.conns, p)
	n.mu.Unlock()
}

// Still tells whether nothing has arrived here, no end either; of every other
// connection it is not known.
func (p *pipe) Still() (still, known bool) {
	p.in.mu.Lock()
	defer p.in.mu.Unlock()
	arrived := len(p.in.queue) > 0 && !time.Now().Before(p.in.queue[0].arrivesAt) && p.net.isOpen(p.peer, p.from)
	return !arrived && !p.in.closed && p.in.err == nil, p.observable
}
