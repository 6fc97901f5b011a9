package transport

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/fault"
)

// link is one connection with a hello done. Both ends may call over it. Its
// lock is never held over a wait for the network.
type link struct {
	node      *Node
	conn      *trackedConn
	peer      Hello // the fellow's
	version   int   // the version agreed on
	closed    chan struct{}
	closeOnce sync.Once
	nextID    atomic.Uint64

	mu             sync.Mutex
	pending        map[uint64]*pendingCall
	inboundCancels map[uint64]context.CancelFunc // the fellow's calls that end when it waits no more
	silence        silence
	queue          queue
	queueSpace     sync.Cond      // for receipts that wait for room
	writing        bool           // somebody writes, and will look again before he ends
	ended          bool           // nothing is written any more
	peerLeaving    bool           // the fellow said goodbye
	lastBodyID     uint64         // bodies that went out in pieces
	zone           *zoneScheduler // all that goes to the fellow's area
	reported       [2]int         // what was told to it
	oldestBulk     atomic.Int64   // when the first of the bulk came
	prioritized    atomic.Bool    // the fellow goes soon
	lastUsed       atomic.Int64   // when something was posted last, in the node's monotonic time
	callEnds       []callEnd      // of the batch that is being written
	traffic        map[string]*Traffic

	partial      map[uint64]*frame // bodies that come in in pieces; the reader's own
	partialBytes int               // their bytes
}

// trackedConn notes when bytes came in, in the node's monotonic time. Bytes count, not
// whole frames: on a thin link one frame may take long.
type trackedConn struct {
	net.Conn
	node          *Node
	tryWrite      func([]byte) (int, error)
	lastRead      atomic.Int64
	helloSent     time.Duration // when the own hello went out
	helloReceived time.Duration // when the fellow's came in
	transit       transitDelay  // the reader's own
}

func (n *Node) trackConn(c net.Conn) *trackedConn {
	return &trackedConn{Conn: c, node: n, tryWrite: env.NonblockingWriter(c)}
}

func (t *trackedConn) Read(b []byte) (int, error) {
	got, err := t.Conn.Read(b)
	if got > 0 {
		t.lastRead.Store(int64(t.node.now()))
	}
	return got, err
}

// pendingCall is one call of ours under way. All but the channel is guarded by the
// link's lock.
type pendingCall struct {
	response chan *frame
	written  bool         // its frame went out whole, or may have
	item     *queuedFrame // while it waits to be written
}

// newPendingCall gives a free one. They are kept by node, not for all: a channel belongs
// to the simulated time that it was made in.
func (n *Node) newPendingCall() *pendingCall {
	if call, ok := n.callPool.Get().(*pendingCall); ok {
		return call
	}
	return &pendingCall{response: make(chan *frame, 1)}
}

func (n *Node) newLink(conn *trackedConn, peer Hello, version int) *link {
	l := &link{node: n, conn: conn, peer: peer, version: version, closed: make(chan struct{}),
		pending: map[uint64]*pendingCall{}, traffic: map[string]*Traffic{}, partial: map[uint64]*frame{}}
	l.queueSpace.L, l.zone = &l.mu, n.zone(peer.Zone)
	l.lastUsed.Store(int64(n.now()))
	// Fellows of the first version have no pieces to bound.
	l.queue.congestion.enabled, l.queue.congestion.window = version >= chunkedVersion, initialWindow
	return l
}

// startReader starts the reader, which is buffered from the hello on.
func (l *link) startReader(r *bufio.Reader) bool {
	if !l.node.tasks.Go("link-read", func(context.Context) { l.readLoop(r) }) {
		l.terminate(endStopping)
		return false
	}
	return true
}

// terminate ends the link; why is told when calls are under way on it.
func (l *link) terminate(reason endReason) {
	l.closeOnce.Do(func() {
		l.mu.Lock()
		waiting, serving := len(l.pending), len(l.inboundCancels)
		l.ended = true
		l.reportBacklog()
		l.passTurnIfIdle()
		l.queueSpace.Broadcast()
		l.mu.Unlock()
		l.logEnd(reason, waiting, serving)
		close(l.closed)
		l.cancelInbound()
		_ = l.conn.Close()
		l.node.removeLink(l)
	})
}

// deliverResponse gives a receipt to the call that waits for it.
func (l *link) deliverResponse(f *frame) {
	l.mu.Lock()
	call := l.pending[f.id]
	delete(l.pending, f.id)
	claimed := l.handleProbeResponse(f)
	l.mu.Unlock()
	if claimed {
		l.flush()
	}
	if call == nil {
		f.release()
		return
	}
	call.response <- f
}

func (l *link) readLoop(r *bufio.Reader) {
	reason := endReading
	defer func() { l.terminate(reason) }()
	for {
		f, err := l.receive(r)
		if err != nil {
			if fault.Is(err, fault.Input) {
				reason = endFrames
				l.node.logBadLink(l.peer.Node, err)
			}
			return
		}
		switch {
		case f == nil:
		case f.kind == "":
			l.deliverResponse(f)
		case f.kind == goodbyeKind:
			l.handleGoodbye(f)
		case f.kind == priorityKind:
			l.prioritized.Store(true)
			f.release()
		case f.kind == cancelKind:
			l.handleCancel(f.id)
			f.release()
		case f.kind == pingKind:
			l.answerPing(f)
			f.release()
		default:
			l.node.dispatch(l, f)
		}
	}
}

// receive reads one frame; nil means that its body isn't whole yet.
func (l *link) receive(r *bufio.Reader) (*frame, error) {
	buf, err := readFrame(r, l.node.MaxFrameBytes)
	if err != nil {
		return nil, err
	}
	f := &frame{buf: buf}
	if err := f.parse(buf.b, l.node.internKind); err != nil {
		f.release()
		return nil, err
	}
	if f.timeoutMS > 0 {
		l.setDeadline(f)
	}
	if f.bodyID != 0 {
		return l.reassemble(f)
	}
	return f, nil
}
