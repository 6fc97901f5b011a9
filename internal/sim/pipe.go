package sim

import (
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// chunk is data in transit with its time of arrival.
type chunk struct {
	data      []byte
	arrivesAt time.Time
}

// stream is one direction of a connection.
type stream struct {
	mu     sync.Mutex
	wake   chan struct{}
	queue  []chunk
	closed bool  // the sender closed; readers get EOF after the remaining data
	err    error // the connection was reset or closed by the reader
}

func newStream() *stream { return &stream{wake: make(chan struct{})} }

func (s *stream) wakeAll() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// pipe is one end of an in-memory connection.
type pipe struct {
	net                         *Net
	pauseGate                   *pauseGate // of the process at this end
	from, peer                  string     // hosts of this end and of the remote one
	in, out                     *stream
	mu                          sync.Mutex
	readDeadline, writeDeadline time.Time
	deadlineChanged             chan struct{} // closed when the read deadline changes
	localAddr                   addr
	remoteAddr                  addr
	resetOnClose                bool            // Close resets the connection
	sendBuffer                  []bufferedBytes // bytes not yet through a thin link; guarded by the network's lock
	observable                  bool            // Still has an answer for this end
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
		// Right after a resume, data that has arrived is delivered before a deadline that
		// passed during the pause: both are due, and this order is the harder one.
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
		// Data is held back while the direction is cut, as TCP would retransmit it.
		open := p.net.isOpen(p.peer, p.from)
		timeout := time.Hour
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
				timeout = first.arrivesAt.Sub(now)
			}
		} else if incoming.closed && open {
			incoming.mu.Unlock()
			return 0, io.EOF
		}
		wake := incoming.wake
		incoming.mu.Unlock()
		if !deadline.IsZero() {
			timeout = min(timeout, deadline.Sub(now))
		}
		timer := time.NewTimer(timeout)
		select {
		case <-wake:
		case <-deadlineChanged:
		case <-p.net.nextLinkChange():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (p *pipe) Close() error {
	closeNow := p.close
	p.mu.Lock()
	// If the direction is cut, the reset itself is lost, and so is the data that the cut
	// holds back.
	if p.resetOnClose && p.net.isOpen(p.from, p.peer) {
		closeNow = p.reset
	}
	p.mu.Unlock()
	if !p.pauseGate.deferUntilResume(closeNow) {
		closeNow()
	}
	return nil
}

// SetLinger with 0 makes Close reset the connection, as for a TCP connection.
func (p *pipe) SetLinger(sec int) error {
	p.mu.Lock()
	p.resetOnClose = sec == 0
	p.mu.Unlock()
	return nil
}

// Taken reports whether the remote end has read everything that was written here.
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

// reset ends the connection at once in both directions, as the kernel does for a killed
// process.
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

// BytesSent returns the bytes sent so far, between zones or within them.
func (n *Net) BytesSent(crossZone bool) int64 {
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

// Still reports whether the connection is open with no byte waiting to be read. This is
// known only at the dialing end of a random half of the connections.
func (p *pipe) Still() (still, known bool) {
	p.in.mu.Lock()
	defer p.in.mu.Unlock()
	arrived := len(p.in.queue) > 0 && !time.Now().Before(p.in.queue[0].arrivesAt) && p.net.isOpen(p.peer, p.from)
	return !arrived && !p.in.closed && p.in.err == nil, p.observable
}
