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
	n    *Node
	conn *tap
	hail Hello // the fellow's
	far  int   // the version agreed on
	done chan struct{}
	once sync.Once
	next atomic.Uint64

	mu    sync.Mutex
	wait  map[uint64]*turn
	under map[uint64]context.CancelFunc // the fellow's calls that end when it waits no more
	hush  hush
	q     queue
	slack sync.Cond    // for receipts that wait for room
	busy  bool         // somebody writes, and will look again before he ends
	over  bool         // nothing is written any more
	gone  bool         // the fellow said goodbye
	parts uint64       // bodies that went out in pieces
	track *track       // all that goes to the fellow's area
	told  [2]int       // what was told to it
	since atomic.Int64 // when the first of the bulk came
	haste atomic.Bool  // the fellow goes soon
	used  atomic.Int64 // when something was posted last, in the node's monotonic time
	tails []tail       // of the batch that is being written
	sums  map[string]*Traffic

	open map[uint64]*frame // bodies that come in in pieces; the reader's own
	held int               // their bytes
}

// tap notes when bytes came in, in the node's monotonic time. Bytes count, not
// whole frames: on a thin link one frame may take long.
type tap struct {
	net.Conn
	n     *Node
	try   func([]byte) (int, error)
	seen  atomic.Int64
	said  time.Duration // when the own hello went out
	heard time.Duration // when the fellow's came in
	age   age           // the reader's own
}

func (n *Node) tap(c net.Conn) *tap { return &tap{Conn: c, n: n, try: env.NonblockingWriter(c)} }

func (t *tap) Read(b []byte) (int, error) {
	got, err := t.Conn.Read(b)
	if got > 0 {
		t.seen.Store(int64(t.n.now()))
	}
	return got, err
}

// turn is one call of ours under way. All but the channel is guarded by the
// link's lock.
type turn struct {
	back chan *frame
	out  bool  // its frame went out whole, or may have
	item *item // while it waits to be written
}

// turn gives a free one. They are kept by node, not for all: a channel belongs
// to the simulated time that it was made in.
func (n *Node) turn() *turn {
	if t, ok := n.turns.Get().(*turn); ok {
		return t
	}
	return &turn{back: make(chan *frame, 1)}
}

func (n *Node) newLink(conn *tap, hail Hello, far int) *link {
	l := &link{n: n, conn: conn, hail: hail, far: far, done: make(chan struct{}),
		wait: map[uint64]*turn{}, sums: map[string]*Traffic{}, open: map[uint64]*frame{}}
	l.slack.L, l.track = &l.mu, n.track(hail.Zone)
	l.used.Store(int64(n.now()))
	// Fellows of the first version have no pieces to bound.
	l.q.flow.on, l.q.flow.win = far >= pieces, start
	return l
}

// run starts the reader, which is buffered from the hello on.
func (l *link) run(r *bufio.Reader) bool {
	if !l.n.g.Go("link-read", func(context.Context) { l.read(r) }) {
		l.shut(endStopping)
		return false
	}
	return true
}

// shut ends the link; why is told when calls are under way on it.
func (l *link) shut(why endReason) {
	l.once.Do(func() {
		l.mu.Lock()
		waiting, serving := len(l.wait), len(l.under)
		l.over = true
		l.tell()
		l.spent()
		l.slack.Broadcast()
		l.mu.Unlock()
		l.noteEnd(why, waiting, serving)
		close(l.done)
		l.abandonAll()
		_ = l.conn.Close()
		l.n.drop(l)
	})
}

// settle gives a receipt to the call that waits for it.
func (l *link) settle(f *frame) {
	l.mu.Lock()
	t := l.wait[f.id]
	delete(l.wait, f.id)
	mine := l.marked(f)
	l.mu.Unlock()
	if mine {
		l.flush()
	}
	if t == nil {
		f.free()
		return
	}
	t.back <- f
}

func (l *link) read(r *bufio.Reader) {
	why := endReading
	defer func() { l.shut(why) }()
	for {
		f, err := l.hear(r)
		if err != nil {
			if fault.Is(err, fault.Input) {
				why = endFrames
				l.n.bad(l.hail.Node, err)
			}
			return
		}
		switch {
		case f == nil:
		case f.kind == "":
			l.settle(f)
		case f.kind == goodbye:
			l.left(f)
		case f.kind == haste:
			l.haste.Store(true)
			f.free()
		case f.kind == abandon:
			l.abandoned(f.id)
			f.free()
		case f.kind == alive:
			l.here(f)
			f.free()
		default:
			l.n.take(l, f)
		}
	}
}

// hear reads one frame; nil means that its body isn't whole yet.
func (l *link) hear(r *bufio.Reader) (*frame, error) {
	m, err := get(r, l.n.MaxFrameBytes)
	if err != nil {
		return nil, err
	}
	f := &frame{room: m}
	if err := f.parse(m.b, l.n.known); err != nil {
		f.free()
		return nil, err
	}
	if f.left > 0 {
		l.date(f)
	}
	if f.part != 0 {
		return l.join(f)
	}
	return f, nil
}
