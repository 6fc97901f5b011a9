package httpapi

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/task"
)

// ConnLimits is how long callers' connections may take over a header and may idle.
// It can be changed while connections stand; one that idles keeps the time that
// it had when it began to, since its caller may have been told of that.
type ConnLimits struct {
	head, idle atomic.Int64
	most, open atomic.Int64 // connections: the bound, 0 for none, and how many there are
	active     atomic.Int64 // of them, those whose request has begun to come and isn't answered
}

// SetMaxConns sets how many connections there may be at once; 0 sets no bound.
func (s *ConnLimits) SetMaxConns(most int) { s.most.Store(int64(most)) }

// OpenConns tells how many there are.
func (s *ConnLimits) OpenConns() int64 { return s.open.Load() }

// ActiveConns tells on how many connections a request has begun to come whose answer is
// not written to its end.
func (s *ConnLimits) ActiveConns() int64 { return s.active.Load() }

// NearLimit tells that three quarters of the bound are reached: answers should
// end their connections then, before new ones have to be turned away.
func (s *ConnLimits) NearLimit() bool {
	most := s.most.Load()
	return most > 0 && 4*s.open.Load() > 3*most
}

// Set changes both.
func (s *ConnLimits) Set(head, idle time.Duration) {
	s.head.Store(int64(head))
	s.idle.Store(int64(idle))
}

// IdleTimeout is how long a connection may idle from now on.
func (s *ConnLimits) IdleTimeout() time.Duration { return time.Duration(s.idle.Load()) }

// ServeCallers opens a port whose connections go by limits that may change. The
// server reads its own limits without a lock, so they stay as they are, and the
// deadlines that it sets on a connection are moved on their way. most bounds a
// header in bytes, whatever is told later.
func ServeCallers(g *task.Group, e env.Env, addr string, h http.Handler, head time.Duration, most int, stay *ConnLimits) (*http.Server, error) {
	return open(g, e, addr, h, head, func(srv *http.Server, ear net.Listener) net.Listener {
		srv.MaxHeaderBytes = most
		srv.ConnState = func(c net.Conn, now http.ConnState) {
			if k, ok := c.(*caller); ok {
				k.becomes(now)
			}
		}
		srv.ConnContext = withFrame
		return &hall{Listener: ear, stay: stay, head: head}
	})
}

// hall gives out callers' connections.
type hall struct {
	net.Listener
	stay *ConnLimits
	head time.Duration // the server's own
}

func (l *hall) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		// One too many ends unread, so that descriptors are left for fellows and
		// the worker; its caller knows that nothing was taken.
		if n, most := l.stay.open.Add(1), l.stay.most.Load(); most > 0 && n > most {
			l.stay.open.Add(-1)
			_ = c.Close()
			continue
		}
		k := &caller{Conn: c, l: l}
		k.head.start()
		return k, nil
	}
}

// What the next deadline of a connection is for. The server sets them in this
// order: for the header, for the whole request, and for the rest after it.
const (
	forHead = iota
	forWhole
	forNone
	forRest
)

// caller is one connection of a caller.
type caller struct {
	net.Conn
	l    *hall
	mu   sync.Mutex
	next int
	more time.Duration // by how much the header's time was moved
	once sync.Once
	head headLook
	busy atomic.Bool // a request on it is not answered to its end
}

// becomes notes what the server says of the connection.
func (k *caller) becomes(now http.ConnState) {
	active := now == http.StateActive
	if k.busy.Swap(active) != active {
		if active {
			k.l.stay.active.Add(1)
		} else {
			k.l.stay.active.Add(-1)
		}
	}
	if now == http.StateIdle {
		k.rests()
	}
}

// Close ends the connection, which then no longer counts.
func (k *caller) Close() error {
	k.once.Do(func() { k.l.stay.open.Add(-1) })
	return k.Conn.Close()
}

// rests notes that a request has ended and the connection idles.
func (k *caller) rests() {
	k.mu.Lock()
	k.next = forRest
	k.head = headLook{}
	k.mu.Unlock()
}

// Read ends the connection when a header takes too long. The server itself
// would take the part of a line that came for a whole one, and answer that it
// is malformed.
func (k *caller) Read(b []byte) (int, error) {
	k.mu.Lock()
	// Read while it idles: nothing of the next head has been buffered, but for
	// the few bytes that the server looked at to see that there is one.
	if k.next == forHead && !k.head.seen {
		k.head.start()
	}
	k.mu.Unlock()
	n, err := k.Conn.Read(b)
	if n > 0 {
		k.mu.Lock()
		k.head.heed(b[:n])
		k.mu.Unlock()
	}
	if late, ok := err.(net.Error); ok && late.Timeout() {
		k.mu.Lock()
		head := k.next == forWhole
		k.mu.Unlock()
		if head {
			_ = k.Conn.Close()
		}
	}
	return n, err
}

// SetReadDeadline moves a deadline that the server sets to what holds now.
// Those in the past and none at all are its way to end a read or let it go on.
func (k *caller) SetReadDeadline(t time.Time) error {
	if now := time.Now(); t.After(now) {
		k.mu.Lock()
		switch k.next {
		case forHead:
			head := time.Duration(k.l.stay.head.Load())
			k.more, t, k.next = head-k.l.head, now.Add(head), forWhole
		case forWhole:
			// A longer time for the header doesn't shorten that of the body.
			t, k.next = t.Add(max(k.more, 0)), forNone
		case forRest:
			t, k.next = now.Add(k.l.stay.IdleTimeout()), forHead
		}
		k.mu.Unlock()
	}
	return k.Conn.SetReadDeadline(t)
}

// CloseWrite lets the server end its side first where a request was not read
// whole, so that the answer isn't lost.
func (k *caller) CloseWrite() error {
	if c, ok := k.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}
