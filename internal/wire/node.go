package wire

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/task"
)

// Taker handles one call or cast.
type Taker func(ctx context.Context, from Hello, body []byte) (any, error)

// Node is one process on the inner network: a listener, links to fellows,
// and the kinds of message that it takes. Lock order: Node.mu before link.mu.
type Node struct {
	Self     Hello
	Most     int           // bound on a frame
	Patience time.Duration // how long a link may stay mute under a call
	env      env.Env
	g        *task.Group
	pool     *task.Pool
	born     time.Time
	takers   map[string]Taker
	mu       sync.Mutex
	links    map[string]*dial
	all      map[*link]bool
	ear      net.Listener
	sizes    map[Flow]*Sum
	under    atomic.Int64 // calls being handled
}

// Flow names a stream of bytes: the kind of message and whether it left the area.
type Flow struct {
	Kind string
	Away bool
}

// Sum counts frames and bytes.
type Sum struct{ Frames, Bytes int64 }

type dial struct {
	done chan struct{}
	l    *link
	err  error
}

// NewNode makes a node; takers are added before Listen.
func NewNode(self Hello, e env.Env, g *task.Group, most, busy int, patience time.Duration) *Node {
	self.Mark, self.Low, self.High = mark, Low, High
	return &Node{Self: self, Most: most, Patience: patience, env: e, g: g, pool: task.NewPool(g, "inner-call", busy),
		born: time.Now(), takers: map[string]Taker{}, links: map[string]*dial{}, all: map[*link]bool{}, sizes: map[Flow]*Sum{}}
}

// Listen opens the inner port.
func (n *Node) Listen(addr string) error {
	ear, err := n.env.Net.Listen(addr)
	if err != nil {
		return fault.Wrap(fault.Closed, err, "listen on "+addr)
	}
	n.ear = ear
	n.g.Go("inner-listen", func(ctx context.Context) {
		for {
			conn, err := ear.Accept()
			if err != nil {
				return
			}
			n.g.Go("inner-hello", func(context.Context) { n.welcome(conn) })
		}
	})
	return nil
}

// Close ends the port and all links.
func (n *Node) Close() {
	if n.ear != nil {
		_ = n.ear.Close()
	}
	for _, l := range n.standing() {
		l.shut()
	}
}

// standing lists the links of now.
func (n *Node) standing() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []*link
	for l := range n.all {
		all = append(all, l)
	}
	return all
}

func (n *Node) bad(who string, err error) {
	n.env.Log.Emit(event.BadLink, "fellow", who, "why", err.Error())
}

// hello swaps the first frames on a new connection.
func (n *Node) hello(conn net.Conn, first bool) (Hello, *bufio.Reader, error) {
	_ = conn.SetDeadline(time.Now().Add(n.Patience))
	r := bufio.NewReader(conn)
	var far Hello
	if first {
		if _, err := put(conn, n.Self, 4096); err != nil {
			return far, nil, err
		}
	}
	if _, err := get(r, &far, 4096); err != nil {
		return far, nil, err
	}
	if !first {
		if _, err := put(conn, n.Self, 4096); err != nil {
			return far, nil, err
		}
	}
	_, err := agree(n.Self, far)
	if err == nil {
		err = conn.SetDeadline(time.Time{})
	}
	return far, r, err
}

func (n *Node) welcome(conn net.Conn) {
	far, r, err := n.hello(conn, false)
	if err != nil {
		_ = conn.Close()
		if fault.Is(err, fault.Input) {
			n.bad(conn.RemoteAddr().String(), err)
		}
		return
	}
	n.join(n.newLink(conn, far), r)
}

func (n *Node) join(l *link, r *bufio.Reader) bool {
	n.mu.Lock()
	n.all[l] = true
	n.mu.Unlock()
	return l.run(r)
}

func (n *Node) drop(l *link) {
	n.mu.Lock()
	delete(n.all, l)
	n.mu.Unlock()
	n.unlist(l)
}

// link gives the standing link to addr or dials one; callers that come
// together share one dial.
func (n *Node) link(ctx context.Context, addr string) (*link, error) {
	n.mu.Lock()
	d := n.links[addr]
	if d == nil {
		d = &dial{done: make(chan struct{})}
		n.links[addr] = d
		if !n.g.Go("dial", func(ctx context.Context) { n.open(ctx, addr, d) }) {
			delete(n.links, addr)
			n.mu.Unlock()
			return nil, fault.New(fault.Unsent, "stopping")
		}
	}
	n.mu.Unlock()
	select {
	case <-d.done:
		return d.l, d.err
	case <-ctx.Done():
		return nil, fault.New(fault.Unsent, "no link to %s in time", addr)
	}
}

func (n *Node) open(ctx context.Context, addr string, d *dial) {
	ctx, end := context.WithTimeout(ctx, n.Patience)
	defer end()
	defer close(d.done)
	conn, err := n.env.Net.Dial(ctx, addr)
	if err == nil {
		var far Hello
		var r *bufio.Reader
		if far, r, err = n.hello(conn, true); err == nil {
			l := n.newLink(conn, far)
			n.mu.Lock()
			d.l = l
			n.mu.Unlock()
			if n.join(l, r) {
				return
			}
			err = fault.New(fault.Closed, "stopping")
		}
		_ = conn.Close()
	}
	n.mu.Lock()
	d.l = nil
	// A failed hello or dial certainly carried no call.
	d.err = fault.Wrap(fault.Unsent, err, "dial "+addr)
	if n.links[addr] == d {
		delete(n.links, addr)
	}
	n.mu.Unlock()
}
