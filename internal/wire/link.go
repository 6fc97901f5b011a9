package wire

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"puffincrank/internal/fault"
)

// link is one connection with a hello done. Both ends may call over it.
type link struct {
	n    *Node
	conn net.Conn
	far  Hello
	out  chan frame
	done chan struct{}
	once sync.Once
	next atomic.Uint64
	seen atomic.Int64 // when bytes last came in, in the node's monotonic time
	mu   sync.Mutex
	wait map[uint64]chan frame
	owed atomic.Int64 // frames queued that have not been flushed

	sending sync.Mutex // held while a call is queued, and to end that for good
	gone    bool       // the fellow said goodbye
}

func (n *Node) newLink(conn net.Conn, far Hello) *link {
	return &link{n: n, conn: conn, far: far, out: make(chan frame, 1024),
		done: make(chan struct{}), wait: map[uint64]chan frame{}}
}

// run starts the two loops. The reader is buffered from the hello on.
func (l *link) run(r *bufio.Reader) bool {
	if !l.n.g.Go("link-write", func(ctx context.Context) { l.write(ctx) }) {
		l.shut()
		return false
	}
	if !l.n.g.Go("link-read", func(context.Context) { l.read(r) }) {
		l.shut()
		return false
	}
	return true
}

func (l *link) shut() {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.Close()
		l.n.drop(l)
	})
}

func (l *link) write(ctx context.Context) {
	defer l.shut()
	w := bufio.NewWriter(l.conn)
	ready := int64(0)
	for {
		select {
		case f := <-l.out:
			// Set before the frame is put: a large one goes past the buffer at
			// once, and the last frame's deadline may be long over.
			_ = l.conn.SetWriteDeadline(time.Now().Add(l.n.Patience))
			size, err := put(w, f, l.n.Most)
			ready++
			if err != nil && fault.Is(err, fault.Input) {
				l.fail(f)
				continue
			}
			l.n.count(f.Kind+f.of, l.far.Area, size)
			// Flush only when nothing more waits: many frames, one write.
			if err == nil && len(l.out) == 0 {
				if err = w.Flush(); err == nil {
					l.owed.Add(-ready)
					ready = 0
				}
			}
			if err != nil {
				return
			}
		case <-l.done:
			return
		case <-ctx.Done():
			return
		}
	}
}

// fail answers a call of ours whose frame could not be packed.
func (l *link) fail(f frame) {
	if f.Kind == "" {
		return
	}
	l.settle(frame{ID: f.ID, Bad: "unsent", Say: "frame over the bound"})
}

func (l *link) settle(f frame) {
	l.mu.Lock()
	c := l.wait[f.ID]
	delete(l.wait, f.ID)
	l.mu.Unlock()
	if c != nil {
		c <- f
	}
}

func (l *link) read(r *bufio.Reader) {
	defer l.shut()
	for {
		var f frame
		if _, err := get(r, &f, l.n.Most); err != nil {
			if fault.Is(err, fault.Input) {
				l.n.bad(l.far.Node, err)
			}
			return
		}
		l.seen.Store(int64(time.Since(l.n.born)))
		if f.Kind == "" {
			l.settle(f)
			continue
		}
		if f.Kind == goodbye {
			l.left(f)
			continue
		}
		l.n.take(l, f)
	}
}

// send queues a frame; false means that it certainly never went out.
func (l *link) send(f frame) bool {
	l.sending.Lock()
	defer l.sending.Unlock()
	select {
	case <-l.done:
		return false
	default:
	}
	if l.gone {
		return false
	}
	l.owed.Add(1)
	select {
	case l.out <- f:
		return true
	default:
		l.owed.Add(-1)
		return false
	}
}

// call sends one call and waits for its receipt.
func (l *link) call(ctx context.Context, kind string, body []byte) ([]byte, error) {
	id := l.next.Add(1)
	c := make(chan frame, 1)
	l.mu.Lock()
	l.wait[id] = c
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.wait, id)
		l.mu.Unlock()
	}()
	f := frame{Kind: kind, ID: id, Body: body}
	if end, ok := ctx.Deadline(); ok {
		f.Left = time.Until(end).Milliseconds()
		if f.Left <= 0 {
			return nil, fault.New(fault.Unsent, "no time left for %s", kind)
		}
	}
	sent := time.Since(l.n.born)
	if !l.send(f) {
		return nil, fault.New(fault.Unsent, "link to %s takes no more", l.far.Node)
	}
	select {
	case got := <-c:
		return got.Body, outcome(kind, got)
	case <-l.done:
		return nil, fault.New(fault.Unknown, "link to %s broke during %s", l.far.Node, kind)
	case <-ctx.Done():
		// Nothing at all came in since the call went out: the link is taken
		// for dead, so that the next call dials anew.
		if l.seen.Load() < int64(sent) && time.Since(l.n.born)-sent > l.n.Patience/2 {
			l.shut()
		}
		return nil, fault.New(fault.Unknown, "no receipt of %s from %s in time", kind, l.far.Node)
	}
}

func outcome(kind string, f frame) error {
	switch f.Bad {
	case "":
		return nil
	case "unsent":
		return fault.New(fault.Unsent, "%s: %s", kind, f.Say)
	case "refused", "unspoken", "full":
		return fault.New(fault.Refused, "%s: %s", kind, f.Say)
	case "stale":
		return fault.New(fault.Stale, "%s: %s", kind, f.Say)
	}
	return fault.New(fault.Unknown, "%s: %s", kind, f.Say)
}
