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
	ListenAddr     string
	IngressAddr    string // where its own calls go: the node beside it
	HeartbeatAddrs []string
	Behavior       Ways
	dialect        dialect.Dialect
	env            env.Env
	tasks          *task.Group
	recorder       *checker.Witness
	random         *lockedRand
	slots          *slotPool
	startedAt      time.Time
	mu             sync.Mutex
	faults         Ills
	state          string // up, draining, leaving (it signed off first) or over
	seq            int64
	conns          map[net.Conn]bool
	heartbeatIndex int // which of Beats it goes to
	Ended          chan struct{}
	listener       net.Listener
	client         *Client // its own, through the node beside it
}

// Start starts a worker; beats go to the first of the given addresses, and to
// the next after a second without an answer.
func Start(environment env.Env, dialect dialect.Dialect, identity checker.Worker, addr, front string, beats []string, behavior Ways, recorder *checker.Witness, seed uint64) (*Worker, error) {
	worker := &Worker{Worker: &identity, ListenAddr: addr, IngressAddr: front, HeartbeatAddrs: beats, Behavior: behavior, dialect: dialect, env: environment, tasks: task.New(context.Background()), recorder: recorder, random: newLockedRand(seed),
		slots: &slotPool{slots: behavior.Slots, queue: behavior.Queue}, startedAt: time.Now(), state: "up", conns: map[net.Conn]bool{}, Ended: make(chan struct{})}
	worker.client = &Client{Env: environment, Dialect: dialect, IngressAddr: front, Machine: identity.Machine, Recorder: recorder, Tasks: worker.tasks, ReuseShare: 0.7, random: worker.random, name: "n-" + identity.Name + "-"}
	var err error
	if worker.listener, err = environment.Net.Listen(addr); err != nil {
		return nil, err
	}
	recorder.WorkerStarted(worker.Worker)
	worker.tasks.Go("accept", func(context.Context) { worker.accept() })
	worker.tasks.Go("beats", worker.sendHeartbeats)
	return worker, nil
}

// Fall makes a worker ill, or well again.
func (k *Worker) Fall(faults Ills) {
	k.mu.Lock()
	k.faults = faults
	k.mu.Unlock()
}

// Load tells how many slots it has in use and how many wait for one.
func (k *Worker) Load() (inUse, waiting int) { return k.slots.load() }

// Kill ends a worker without a word: every connection is reset.
func (k *Worker) Kill() {
	k.mu.Lock()
	previous := k.state
	k.state = "over"
	k.mu.Unlock()
	_ = k.listener.Close()
	k.mu.Lock()
	for conn := range k.conns {
		reset(conn)
	}
	k.mu.Unlock()
	k.tasks.Cancel()
	k.client.Close()
	if previous != "over" {
		close(k.Ended)
	}
	k.tasks.Stop()
}

func (k *Worker) inState(state string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state == state
}

// leaving tells that it has said that it goes, in either manner.
func (k *Worker) leaving() bool { return k.inState("draining") || k.inState("leaving") }

// faultsFor is what is wrong with it for whoever is at the far end.
func (k *Worker) faultsFor(conn net.Conn) Ills {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.Only != nil && !k.faults.Only(remoteHost(conn.RemoteAddr())) {
		return Ills{}
	}
	return k.faults
}

func (k *Worker) accept() {
	for {
		conn, err := k.listener.Accept()
		if err != nil {
			return
		}
		_, waiting := k.slots.load()
		k.mu.Lock()
		// Fewer are taken while the queue is long.
		limit := k.Behavior.Conns
		if waiting > k.Behavior.Queue/2 {
			limit = limit * 3 / 4
		}
		ok := (k.Behavior.Conns == 0 || len(k.conns) < limit) && k.state != "over"
		if ok {
			k.conns[conn] = true
		}
		k.mu.Unlock()
		if !ok || !k.tasks.Go("connection", func(ctx context.Context) { k.serveConn(ctx, conn) }) {
			reset(conn)
		}
	}
}

// serveConn serves one connection: one request at a time.
func (k *Worker) serveConn(ctx context.Context, conn net.Conn) {
	defer func() {
		_ = conn.Close()
		k.mu.Lock()
		delete(k.conns, conn)
		k.mu.Unlock()
	}()
	if k.Behavior.Hello > 0 {
		k.slots.acquireForced()
		task.Sleep(ctx, k.Behavior.Hello)
		k.slots.release()
	}
	reader := bufio.NewReader(conn)
	surplus := ""
	for ctx.Err() == nil {
		if k.Behavior.Idle > 0 {
			_ = conn.SetReadDeadline(time.Now().Add(k.Behavior.Idle))
		}
		if _, err := reader.Peek(1); err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		received := &workerRequest{worker: k, conn: conn, reader: reader, req: req, body: body, surplusBefore: surplus, callerLeft: make(chan struct{}), inputSeen: make(chan struct{})}
		// Whoever asked may go away meanwhile; what it sends next stays unread.
		if !k.tasks.Go("listen", received.watchCaller) {
			return
		}
		keep := received.handle(ctx)
		surplus = received.surplusAfter
		if !keep {
			_ = conn.Close()
			<-received.inputSeen
			return
		}
		from := time.Now()
		if !received.awaitNext(k.Behavior.Idle) {
			return
		}
		if forgetAfter := k.faultsFor(conn).Forget; forgetAfter > 0 && time.Since(from) > forgetAfter {
			reset(conn)
			return
		}
	}
}
