package transport

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

// Node is one process on the inner network: a listener, links to fellows,
// and the kinds of message that it takes. Lock order: Node.mu before link.mu.
type Node struct {
	Self           Hello
	MaxFrameBytes  int           // bound on a frame
	SilenceTimeout time.Duration // how long a link may stay mute under a call
	MaxIdleLinks   int           // how many links of ours are kept, 0: any number; more while they are in use
	env            env.Env
	g              *task.Group
	pool           *task.Pool
	born           time.Time
	takers         map[string]*taker
	mu             sync.Mutex
	links          map[string]*dial
	all            map[*link]bool
	ear            net.Listener
	tracks         map[string]*track // by area
	sizes          map[Flow]Traffic  // of links that are no more
	under          atomic.Int64      // calls being handled
	stir           chan struct{}     // wakes the watch
	awake          atomic.Bool       // the watch is at work
	hasty          atomic.Bool       // this node goes soon
	linkEnds       *event.Limiter    // of links that ended with calls under way
	trims          atomic.Bool       // links are being closed for the bound
	watching       sync.Once
	turns          sync.Pool
	side
}

// Flow names a stream of bytes: the kind of message and whether it left the area.
type Flow struct {
	Kind      string
	OtherZone bool
}

// Traffic counts frames and bytes.
type Traffic struct{ Frames, Bytes int64 }

type dial struct {
	from time.Duration // when it began, in the node's monotonic time
	done chan struct{}
	l    *link
	err  error
}

// NewNode makes a node; takers are added before Listen.
func NewNode(self Hello, e env.Env, g *task.Group, most, busy int, patience time.Duration) *Node {
	self.Magic, self.MinVersion, self.MaxVersion = mark, MinVersion, MaxVersion
	n := &Node{Self: self, MaxFrameBytes: most, SilenceTimeout: patience, env: e, g: g, pool: task.NewPool(g, "inner-call", busy),
		born: time.Now(), takers: map[string]*taker{}, links: map[string]*dial{}, all: map[*link]bool{}, sizes: map[Flow]Traffic{}, tracks: map[string]*track{}, stir: make(chan struct{}, 1), linkEnds: event.NewLimiter(patience / linkEndsPart)}
	if l, ok := e.Net.(*LocalNet); ok {
		n.road = l.Network
	}
	return n
}

// now is the node's monotonic time.
func (n *Node) now() time.Duration { return time.Since(n.born) }

// Listen opens the inner port.
func (n *Node) Listen(addr string) error {
	if n.road != nil {
		return n.road.join(addr, n)
	}
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
	if n.road != nil {
		n.road.leave(n)
	}
	if n.ear != nil {
		_ = n.ear.Close()
	}
	for _, l := range n.standing() {
		l.shut(endStopping)
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

// hello swaps the first frames on a new connection, within a time, and makes
// a link of it.
func (n *Node) hello(c net.Conn, first bool, end time.Time) (*link, *bufio.Reader, error) {
	conn := n.tap(c)
	// The kernel is the slower of the two that give up on a mute link, since
	// it sees bytes only. Where it can't be told, the node's own watch stands.
	_ = env.TuneConn(c, 2*n.SilenceTimeout, piece)
	_ = conn.SetDeadline(end)
	r := bufio.NewReader(conn)
	var far Hello
	say := func() error {
		// Before it goes out: a freeze right here must not make frames look old.
		conn.said = n.now()
		return n.Self.say(conn)
	}
	if first {
		if err := say(); err != nil {
			return nil, nil, err
		}
	}
	if err := far.hear(r); err != nil {
		return nil, nil, err
	}
	conn.heard = time.Duration(conn.seen.Load())
	if !first {
		if err := say(); err != nil {
			return nil, nil, err
		}
	}
	v, err := agree(n.Self, far)
	if err == nil {
		err = conn.SetDeadline(time.Time{})
	}
	return n.newLink(conn, far, v), r, err
}

func (n *Node) welcome(c net.Conn) {
	l, r, err := n.hello(c, false, time.Now().Add(n.SilenceTimeout))
	if err != nil {
		_ = c.Close()
		if fault.Is(err, fault.Input) {
			n.bad(c.RemoteAddr().String(), err)
		}
		return
	}
	n.join(l, r)
}

func (n *Node) join(l *link, r *bufio.Reader) bool {
	n.mu.Lock()
	n.all[l] = true
	n.mu.Unlock()
	n.watching.Do(func() { n.g.Go("link-watch", n.watch) })
	ok := l.run(r)
	if n.hasty.Load() {
		l.post(&item{head: head{kind: haste}}, false)
	}
	return ok
}

func (n *Node) drop(l *link) {
	n.mu.Lock()
	if n.all[l] {
		l.gather(n.sizes)
	}
	delete(n.all, l)
	n.mu.Unlock()
	n.unlist(l)
}
