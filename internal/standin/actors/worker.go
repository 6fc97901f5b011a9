package actors

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"puffincrank/internal/dialect"
	"puffincrank/internal/env"
	"puffincrank/internal/standin/checker"
	"puffincrank/internal/task"
)

// Ways is how a worker behaves.
type Ways struct {
	Slots, Queue int
	Conns        int           // connections that it takes at once; more are reset
	Hello        time.Duration // a new connection holds a slot for so long
	Idle         time.Duration // a connection without a request is closed after; 0: never
	Resets       bool          // when full it resets instead of answering
	Speed        float64       // what its work takes, against the middle
	Crowd        float64       // how much slower it is when all slots are taken
	Cold         time.Duration // slow for so long from its start
	ColdBy       float64       // and so much
	Hop          float64       // part of the answers that end their connection
	Drain        time.Duration // how long it serves on after its leave was acknowledged
	Fitness      string        // path on which it is asked how it is
}

// Ills is what is wrong with a worker just now.
type Ills struct {
	Slow  float64 // so many times slower
	Lose  float64 // part of the answers lost after the run
	Spoil float64 // part of the answers spoiled, in one of many ways
	Fail  float64 // part answered 500
	Sick  bool    // says on its fitness path that it is not well
	// Forget is after how long an idle connection is forgotten in silence: what
	// is sent over it next is reset; 0: never.
	Forget time.Duration
	Shed   float64 // part turned away unrun though there is room
	Tear   float64 // part reset as they come, unrun
	Hang   float64 // part neither run nor answered
	// The callers, by their hosts, that feel any of it; nil: all.
	Only func(host string) bool
}

// Worker is one life of a worker.
type Worker struct {
	*checker.Worker
	Addr  string
	Front string // where its own calls go: the node beside it
	Beats []string
	W     Ways
	say   dialect.Dialect
	e     env.Env
	g     *task.Group
	wit   *checker.Witness
	dice  *dice
	room  *room
	born  time.Time
	mu    sync.Mutex
	ills  Ills
	state string // up, draining, leaving (it signed off first) or over
	seq   int64
	conns map[net.Conn]bool
	beat  int // which of Beats it goes to
	Over  chan struct{}
	ear   net.Listener
	calls *Client // its own, through the node beside it
}

// Start starts a worker; beats go to the first of the given addresses, and to
// the next after a second without an answer.
func Start(e env.Env, say dialect.Dialect, id checker.Worker, addr, front string, beats []string, w Ways, wit *checker.Witness, seed uint64) (*Worker, error) {
	k := &Worker{Worker: &id, Addr: addr, Front: front, Beats: beats, W: w, say: say, e: e, g: task.New(context.Background()), wit: wit, dice: newDice(seed),
		room: &room{slots: w.Slots, queue: w.Queue}, born: time.Now(), state: "up", conns: map[net.Conn]bool{}, Over: make(chan struct{})}
	k.calls = &Client{E: e, Say: say, Front: front, Machine: id.Machine, Wit: wit, G: k.g, Keep: 0.7, dice: k.dice, name: "n-" + id.Name + "-"}
	var err error
	if k.ear, err = e.Net.Listen(addr); err != nil {
		return nil, err
	}
	wit.Worked(k.Worker)
	k.g.Go("accept", func(context.Context) { k.accept() })
	k.g.Go("beats", k.beats)
	return k, nil
}

// Fall makes a worker ill, or well again.
func (k *Worker) Fall(i Ills) {
	k.mu.Lock()
	k.ills = i
	k.mu.Unlock()
}

// Under tells how many slots it has in use and how many wait for one.
func (k *Worker) Under() (now, waiting int) { return k.room.load() }

// Kill ends a worker without a word: every connection is reset.
func (k *Worker) Kill() {
	k.mu.Lock()
	was := k.state
	k.state = "over"
	k.mu.Unlock()
	_ = k.ear.Close()
	k.mu.Lock()
	for c := range k.conns {
		tear(c)
	}
	k.mu.Unlock()
	k.g.Cancel()
	k.calls.Close()
	if was != "over" {
		close(k.Over)
	}
	k.g.Stop()
}

func (k *Worker) is(state string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state == state
}

// leaving tells that it has said that it goes, in either manner.
func (k *Worker) leaving() bool { return k.is("draining") || k.is("leaving") }

// ill is what is wrong with it for whoever is at the far end.
func (k *Worker) ill(c net.Conn) Ills {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ills.Only != nil && !k.ills.Only(hostOf(c.RemoteAddr())) {
		return Ills{}
	}
	return k.ills
}

func (k *Worker) accept() {
	for {
		c, err := k.ear.Accept()
		if err != nil {
			return
		}
		_, waiting := k.room.load()
		k.mu.Lock()
		// Fewer are taken while the queue is long.
		most := k.W.Conns
		if waiting > k.W.Queue/2 {
			most = most * 3 / 4
		}
		ok := (k.W.Conns == 0 || len(k.conns) < most) && k.state != "over"
		if ok {
			k.conns[c] = true
		}
		k.mu.Unlock()
		if !ok || !k.g.Go("connection", func(ctx context.Context) { k.talk(ctx, c) }) {
			tear(c)
		}
	}
}

// talk serves one connection: one request at a time.
func (k *Worker) talk(ctx context.Context, c net.Conn) {
	defer func() {
		_ = c.Close()
		k.mu.Lock()
		delete(k.conns, c)
		k.mu.Unlock()
	}()
	if k.W.Hello > 0 {
		k.room.press()
		task.Sleep(ctx, k.W.Hello)
		k.room.leave()
	}
	r := bufio.NewReader(c)
	late := ""
	for ctx.Err() == nil {
		if k.W.Idle > 0 {
			_ = c.SetReadDeadline(time.Now().Add(k.W.Idle))
		}
		if _, err := r.Peek(1); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		s := &send{k: k, c: c, r: r, req: req, body: body, late: late, left: make(chan struct{}), seen: make(chan struct{})}
		// Whoever asked may go away meanwhile; what it sends next stays unread.
		if !k.g.Go("listen", s.listen) {
			return
		}
		keep := s.one(ctx)
		late = s.after
		if !keep {
			_ = c.Close()
			<-s.seen
			return
		}
		from := time.Now()
		if !s.rest(k.W.Idle) {
			return
		}
		if f := k.ill(c).Forget; f > 0 && time.Since(from) > f {
			tear(c)
			return
		}
	}
}
