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

// link is one connection after its handshake. Both ends may call over it. Its lock is
// never held while waiting for the network.
type link struct {
	node      *Node
	conn      *trackedConn
	peer      Hello // the hello that the peer sent
	version   int   // the negotiated version
	closed    chan struct{}
	closeOnce sync.Once
	nextID    atomic.Uint64

	mu             sync.Mutex
	pending        map[uint64]*pendingCall
	inboundCancels map[uint64]context.CancelFunc // cancels the peer's calls when it stops waiting
	silence        silence
	queue          queue
	queueSpace     sync.Cond      // signals responses that wait for queue capacity
	writing        bool           // a goroutine is writing, and checks the queue again before it ends
	ended          bool           // nothing is written any more
	peerLeaving    bool           // the peer sent a goodbye message
	lastBodyID     uint64         // counts the bodies sent in chunks
	zone           *zoneScheduler // shared by all links to the peer's zone
	reported       [2]int         // backlog and sendable bytes last reported to the zone
	oldestBulk     atomic.Int64   // when the first bulk in the queue was queued
	prioritized    atomic.Bool    // the peer is about to leave
	lastUsed       atomic.Int64   // when a frame was last queued, in the node's monotonic time
	callEnds       []callEnd      // of the batch that is being written
	traffic        map[string]*Traffic

	partial      map[uint64]*frame // bodies received in part; used by the reader only
	partialBytes int               // their bytes
}

// trackedConn records when bytes arrived, in the node's monotonic time. It counts bytes
// and not whole frames: on a slow link one frame may take long.
type trackedConn struct {
	net.Conn
	node          *Node
	tryWrite      func([]byte) (int, error)
	lastRead      atomic.Int64
	helloSent     time.Duration // when this node's hello was sent
	helloReceived time.Duration // when the peer's hello arrived
	transit       transitDelay  // used by the reader only
}

func (n *Node) trackConn(conn net.Conn) *trackedConn {
	return &trackedConn{Conn: conn, node: n, tryWrite: env.NonblockingWriter(conn)}
}

func (t *trackedConn) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if n > 0 {
		t.lastRead.Store(int64(t.node.now()))
	}
	return n, err
}

// pendingCall is a call of this node in progress. All fields but the channel are guarded
// by the link's lock.
type pendingCall struct {
	response chan *frame
	written  bool         // its frame was written in full, or may have been
	queued   *queuedFrame // while it waits to be written
}

// newPendingCall returns an unused pendingCall. The pool belongs to the node and is not
// global, because a channel belongs to the simulated time (synctest bubble) that it was
// made in.
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
	// Peers of version 1 do not send chunks, so there is nothing to limit.
	l.queue.congestion.enabled, l.queue.congestion.window = version >= chunkedVersion, initialWindow
	return l
}

// startReader starts the reader; r may hold bytes that arrived after the hello.
func (l *link) startReader(r *bufio.Reader) bool {
	if !l.node.tasks.Go("link-read", func(context.Context) { l.readLoop(r) }) {
		l.terminate(endStopping)
		return false
	}
	return true
}

// terminate ends the link; the reason is logged if calls are in progress on it.
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

// deliverResponse passes a response to the call that waits for it.
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

// receive reads one frame; it returns nil while a body is incomplete.
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
