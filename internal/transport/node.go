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

// Node is one process on the inner network: a listener, links to peers, and handlers for
// the kinds of messages that it accepts. Lock order: Node.mu before link.mu.
type Node struct {
	Self           Hello
	MaxFrameBytes  int
	SilenceTimeout time.Duration // how long a link may be silent while calls wait on it
	MaxIdleLinks   int           // how many dialed links are kept, 0: any number; more while they are in use
	env            env.Env
	tasks          *task.Group
	pool           *task.Pool
	started        time.Time
	handlers       map[string]*handler
	mu             sync.Mutex
	dialed         map[string]*dialAttempt
	openLinks      map[*link]bool
	listener       net.Listener
	zones          map[string]*zoneScheduler // by name
	closedTraffic  map[Flow]Traffic          // of links that have ended
	activeCalls    atomic.Int64              // calls being handled
	wakeWatcher    chan struct{}             // wakes watchLinks
	watcherActive  atomic.Bool               // watchLinks is checking links
	prioritized    atomic.Bool               // this node is about to leave
	endLog         *event.Limiter            // of links that ended with calls in progress
	trimming       atomic.Bool               // idle links are being closed
	startWatcher   sync.Once
	callPool       sync.Pool
	localEndpoint
}

// Flow identifies a stream of traffic: the kind of message and whether it left the zone.
type Flow struct {
	Kind      string
	OtherZone bool
}

// Traffic counts frames and bytes.
type Traffic struct{ Frames, Bytes int64 }

type dialAttempt struct {
	started time.Duration // when it began, in the node's monotonic time
	done    chan struct{}
	link    *link
	err     error
}

// NewNode creates a node; handlers are registered before Listen.
func NewNode(self Hello, environment env.Env, tasks *task.Group, maxFrameBytes, maxConcurrent int, silenceTimeout time.Duration) *Node {
	self.Magic, self.MinVersion, self.MaxVersion = magic, MinVersion, MaxVersion
	node := &Node{Self: self, MaxFrameBytes: maxFrameBytes, SilenceTimeout: silenceTimeout, env: environment, tasks: tasks, pool: task.NewPool(tasks, "inner-call", maxConcurrent),
		started: time.Now(), handlers: map[string]*handler{}, dialed: map[string]*dialAttempt{}, openLinks: map[*link]bool{}, closedTraffic: map[Flow]Traffic{}, zones: map[string]*zoneScheduler{}, wakeWatcher: make(chan struct{}, 1), endLog: event.NewLimiter(silenceTimeout / endLogDivisor)}
	if l, ok := environment.Net.(*LocalNet); ok {
		node.network = l.Network
	}
	return node
}

// now returns the node's monotonic time.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// Listen opens the inner port.
func (n *Node) Listen(addr string) error {
	if n.network != nil {
		return n.network.register(addr, n)
	}
	listener, err := n.env.Net.Listen(addr)
	if err != nil {
		return fault.Wrap(fault.Closed, err, "listen on "+addr)
	}
	n.listener = listener
	n.tasks.Go("inner-listen", func(ctx context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n.tasks.Go("inner-hello", func(context.Context) { n.accept(conn) })
		}
	})
	return nil
}

// Close closes the port and all links.
func (n *Node) Close() {
	if n.network != nil {
		n.network.unregister(n)
	}
	if n.listener != nil {
		_ = n.listener.Close()
	}
	for _, l := range n.listLinks() {
		l.terminate(endStopping)
	}
}

// listLinks returns the open links.
func (n *Node) listLinks() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var links []*link
	for l := range n.openLinks {
		links = append(links, l)
	}
	return links
}

func (n *Node) logBadLink(peer string, err error) {
	n.env.Log.Emit(event.BadLink, "fellow", peer, "why", err.Error())
}

// handshake exchanges hellos on a new connection before the deadline and creates a link
// for it.
func (n *Node) handshake(conn net.Conn, dialer bool, deadline time.Time) (*link, *bufio.Reader, error) {
	tracked := n.trackConn(conn)
	// The kernel's timeout is the longer of the two timeouts, because it only sees
	// acknowledged bytes. Where it cannot be set, the node's own silence detection remains.
	_ = env.TuneConn(conn, 2*n.SilenceTimeout, maxChunk)
	_ = tracked.SetDeadline(deadline)
	r := bufio.NewReader(tracked)
	var peer Hello
	sendHello := func() error {
		// Recorded before the hello is sent: a pause of the process at this point must not
		// make later frames look delayed.
		tracked.helloSent = n.now()
		return n.Self.writeTo(tracked)
	}
	if dialer {
		if err := sendHello(); err != nil {
			return nil, nil, err
		}
	}
	if err := peer.readFrom(r); err != nil {
		return nil, nil, err
	}
	tracked.helloReceived = time.Duration(tracked.lastRead.Load())
	if !dialer {
		if err := sendHello(); err != nil {
			return nil, nil, err
		}
	}
	version, err := negotiateVersion(n.Self, peer)
	if err == nil {
		err = tracked.SetDeadline(time.Time{})
	}
	return n.newLink(tracked, peer, version), r, err
}

func (n *Node) accept(conn net.Conn) {
	l, r, err := n.handshake(conn, false, time.Now().Add(n.SilenceTimeout))
	if err != nil {
		_ = conn.Close()
		if fault.Is(err, fault.Input) {
			n.logBadLink(conn.RemoteAddr().String(), err)
		}
		return
	}
	n.addLink(l, r)
}

func (n *Node) addLink(l *link, r *bufio.Reader) bool {
	n.mu.Lock()
	n.openLinks[l] = true
	n.mu.Unlock()
	n.startWatcher.Do(func() { n.tasks.Go("link-watch", n.watchLinks) })
	ok := l.startReader(r)
	if n.prioritized.Load() {
		l.enqueue(&queuedFrame{head: head{kind: priorityKind}}, false)
	}
	return ok
}

func (n *Node) removeLink(l *link) {
	n.mu.Lock()
	if n.openLinks[l] {
		l.addTraffic(n.closedTraffic)
	}
	delete(n.openLinks, l)
	n.mu.Unlock()
	n.forgetDialed(l)
}
