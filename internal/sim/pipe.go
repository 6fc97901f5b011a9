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
	data []byte
	due  time.Time
}

// half is one direction of a connection.
type half struct {
	mu   sync.Mutex
	wake chan struct{}
	q    []chunk
	shut bool  // the sender closed, readers get EOF after the rest
	err  error // the connection was reset
}

func newHalf() *half { return &half{wake: make(chan struct{})} }

func (h *half) stir() {
	close(h.wake)
	h.wake = make(chan struct{})
}

// pipe is one end of a connection in memory.
type pipe struct {
	net      *Net
	ice      *ice   // of the process at this end
	from, to string // hosts of this end and the far one
	in, out  *half
	mu       sync.Mutex
	rd, wd   time.Time
	nudge    chan struct{} // closed when a deadline changes
	name     addr
	far      addr
	torn     bool        // closing resets
	held     []heldBytes // guarded by the net's lock
	odd      bool        // it can be looked at
}

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

func (p *pipe) LocalAddr() net.Addr  { return p.name }
func (p *pipe) RemoteAddr() net.Addr { return p.far }

func (p *pipe) SetDeadline(t time.Time) error {
	_ = p.SetReadDeadline(t)
	return p.SetWriteDeadline(t)
}

func (p *pipe) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	p.rd = t
	close(p.nudge)
	p.nudge = make(chan struct{})
	p.mu.Unlock()
	return nil
}

func (p *pipe) SetWriteDeadline(t time.Time) error {
	p.mu.Lock()
	p.wd = t
	p.mu.Unlock()
	return nil
}

func (p *pipe) Read(b []byte) (int, error) {
	for {
		// Right after a thaw what has arrived comes before a deadline that
		// passed meanwhile: both are due, and this order is the worse one.
		thawed := p.ice.hold()
		p.mu.Lock()
		end, nudge := p.rd, p.nudge
		p.mu.Unlock()
		h := p.in
		h.mu.Lock()
		now := time.Now()
		if h.err != nil {
			err := h.err
			h.mu.Unlock()
			return 0, err
		}
		if !thawed && !end.IsZero() && !now.Before(end) {
			h.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		// Bytes are held while the way is cut, as TCP would send them again.
		open := p.net.open(p.to, p.from)
		wait := time.Hour
		if len(h.q) > 0 {
			if c := &h.q[0]; !now.Before(c.due) && open {
				n := copy(b, c.data)
				c.data = c.data[n:]
				if len(c.data) == 0 {
					h.q = h.q[1:]
				}
				h.mu.Unlock()
				return n, nil
			} else if open {
				wait = c.due.Sub(now)
			}
		} else if h.shut && open {
			h.mu.Unlock()
			return 0, io.EOF
		}
		wake := h.wake
		h.mu.Unlock()
		if !end.IsZero() {
			wait = min(wait, end.Sub(now))
		}
		t := time.NewTimer(wait)
		select {
		case <-wake:
		case <-nudge:
		case <-p.net.changed():
		case <-t.C:
		}
		t.Stop()
	}
}

func (p *pipe) Close() error {
	end := p.close
	p.mu.Lock()
	// A reset that a cut swallows takes with it what the cut holds up.
	if p.torn && p.net.open(p.from, p.to) {
		end = p.reset
	}
	p.mu.Unlock()
	if !p.ice.later(end) {
		end()
	}
	return nil
}

// SetLinger with 0 makes the close a reset, as that of a TCP connection.
func (p *pipe) SetLinger(sec int) error {
	p.mu.Lock()
	p.torn = sec == 0
	p.mu.Unlock()
	return nil
}

// Taken tells whether the far side has read all that was written here.
func (p *pipe) Taken() bool {
	p.out.mu.Lock()
	defer p.out.mu.Unlock()
	return len(p.out.q) == 0
}

func (p *pipe) close() {
	p.mu.Lock()
	torn := p.torn
	p.mu.Unlock()
	lost := p.net.cutAt(p.from, p.to)
	p.out.mu.Lock()
	p.out.shut = true
	if torn {
		p.out.q = slices.DeleteFunc(p.out.q, func(c chunk) bool { return c.due.After(lost) })
	}
	p.out.stir()
	p.out.mu.Unlock()
	p.in.mu.Lock()
	if p.in.err == nil {
		p.in.err = net.ErrClosed
	}
	p.in.stir()
	p.in.mu.Unlock()
	p.net.forget(p)
}

// reset ends the connection at once, both ways, as a killed process does.
func (p *pipe) reset() {
	for _, h := range []*half{p.in, p.out} {
		h.mu.Lock()
		if h.err == nil {
			h.err = io.ErrUnexpectedEOF
		}
		h.stir()
		h.mu.Unlock()
	}
	p.net.forget(p)
}

// Sum gives the bytes sent so far, between areas or within them.
func (n *Net) Sum(away bool) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if away {
		return n.Away
	}
	return n.Home
}

func (n *Net) forget(p *pipe) {
	n.mu.Lock()
	delete(n.ends, p)
	n.mu.Unlock()
}

// IsQuiet tells whether nothing has arrived here, no end either; of every other
// connection it is not known.
func (p *pipe) IsQuiet() (still, known bool) {
	p.in.mu.Lock()
	defer p.in.mu.Unlock()
	came := len(p.in.q) > 0 && !time.Now().Before(p.in.q[0].due) && p.net.open(p.to, p.from)
	return !came && !p.in.shut && p.in.err == nil, p.odd
}
