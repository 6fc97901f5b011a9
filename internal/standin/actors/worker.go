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

// WorkerBehavior describes how a worker behaves.
type WorkerBehavior struct {
	Slots, Queue    int
	MaxConns        int           // connections accepted at once, further ones are reset; 0: no limit
	HandshakeTime   time.Duration // how long the handshake of a new connection occupies a slot
	IdleTimeout     time.Duration // idle time after which a connection is closed; 0: never
	ResetsWhenFull  bool          // resets the connection instead of answering 503 when the queue is full
	TimeFactor      float64       // factor on the mean work time
	LoadFactor      float64       // factor on the work time when all slots are in use
	ColdStart       time.Duration // how long the cold start lasts
	ColdStartFactor float64       // factor on the work time during the cold start
	CloseShare      float64       // part of the answers after which the connection is closed
	DrainTime       time.Duration // how long it goes on serving after its leave was acknowledged
	HealthPath      string        // URL path of the health check
	LateShare       float64       // part of the heartbeats that arrive a second time, up to maxLateness later
	LateTasks       *task.Group   // runs the late heartbeats, also after the worker's end; nil: none are late
}

// Faults are the current faults of a worker.
type Faults struct {
	Slow  float64 // factor on the work time
	Lose  float64 // part of the requests whose answer is lost after the execution
	Spoil float64 // part of the answers corrupted in a random way
	Fail  float64 // part of the requests answered with 500
	Sick  bool    // fails health checks
	// Forget is the idle time after which a connection is silently dropped, so that the
	// next request on it is reset; 0: never.
	Forget time.Duration
	Shed   float64 // part of the requests declined although there is capacity
	Tear   float64 // part of the requests reset on arrival, not executed
	Hang   float64 // part of the requests neither executed nor answered
	// Only selects the hosts of the callers that the faults affect; nil: all.
	Only func(host string) bool
}

// Worker is one incarnation of a worker.
type Worker struct {
	*checker.Worker
	ListenAddr     string
	IngressAddr    string // address of the node beside it, for its nested requests
	HeartbeatAddrs []string
	Behavior       WorkerBehavior
	dialect        dialect.Dialect
	env            env.Env
	tasks          *task.Group
	recorder       *checker.Recorder
	random         *lockedRand
	slots          *slotPool
	startedAt      time.Time
	mu             sync.Mutex
	faults         Faults
	state          string // up, draining, leaving (it deregistered first) or over
	seq            int64
	conns          map[net.Conn]bool
	heartbeatIndex int           // index into HeartbeatAddrs, modulo their number
	Ended          chan struct{} // closed by Kill
	listener       net.Listener
	client         *Client     // for nested requests through the node beside it
	lateRandom     *lockedRand // for late heartbeats
}

// StartWorker starts a worker. Heartbeats go to the first of the given addresses, and to the next
// one after a second without an answer.
func StartWorker(environment env.Env, dialect dialect.Dialect, identity checker.Worker, addr, ingressAddr string, heartbeatAddrs []string, behavior WorkerBehavior, recorder *checker.Recorder, seed uint64) (*Worker, error) {
	worker := &Worker{Worker: &identity, ListenAddr: addr, IngressAddr: ingressAddr, HeartbeatAddrs: heartbeatAddrs, Behavior: behavior, dialect: dialect, env: environment, tasks: task.New(context.Background()), recorder: recorder, random: newLockedRand(seed),
		slots: &slotPool{slots: behavior.Slots, queue: behavior.Queue}, startedAt: time.Now(), lateRandom: newLockedRand(seed + 5), state: "up", conns: map[net.Conn]bool{}, Ended: make(chan struct{})}
	worker.client = &Client{Env: environment, Dialect: dialect, IngressAddr: ingressAddr, Machine: identity.Machine, Recorder: recorder, Tasks: worker.tasks, ReuseShare: 0.7, random: worker.random, name: "n-" + identity.Name + "-"}
	var err error
	if worker.listener, err = environment.Net.Listen(addr); err != nil {
		return nil, err
	}
	recorder.WorkerStarted(worker.Worker)
	worker.tasks.Go("accept", func(context.Context) { worker.accept() })
	worker.tasks.Go("beats", worker.sendHeartbeats)
	return worker, nil
}

// SetFaults sets the worker's current faults; the zero value makes it healthy again.
func (w *Worker) SetFaults(faults Faults) {
	w.mu.Lock()
	w.faults = faults
	w.mu.Unlock()
}

// Load returns the number of slots in use and of requests waiting for one.
func (w *Worker) Load() (inUse, waiting int) { return w.slots.load() }

// Kill ends the worker without notice: it resets every connection.
func (w *Worker) Kill() {
	w.mu.Lock()
	previous := w.state
	w.state = "over"
	w.mu.Unlock()
	_ = w.listener.Close()
	w.mu.Lock()
	for conn := range w.conns {
		reset(conn)
	}
	w.mu.Unlock()
	w.tasks.Cancel()
	w.client.Close()
	if previous != "over" {
		close(w.Ended)
	}
	w.tasks.Stop()
}

func (w *Worker) inState(state string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == state
}

// leaving reports whether the worker has announced its leave, by draining or deregistering.
func (w *Worker) leaving() bool { return w.inState("draining") || w.inState("leaving") }

// faultsFor returns the faults that affect the caller on the connection.
func (w *Worker) faultsFor(conn net.Conn) Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Only != nil && !w.faults.Only(remoteHost(conn.RemoteAddr())) {
		return Faults{}
	}
	return w.faults
}

func (w *Worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		_, waiting := w.slots.load()
		w.mu.Lock()
		// Accept only three quarters of the connections while the queue is more than half full.
		limit := w.Behavior.MaxConns
		if waiting > w.Behavior.Queue/2 {
			limit = limit * 3 / 4
		}
		ok := (w.Behavior.MaxConns == 0 || len(w.conns) < limit) && w.state != "over"
		if ok {
			w.conns[conn] = true
		}
		w.mu.Unlock()
		if !ok || !w.tasks.Go("connection", func(ctx context.Context) { w.serveConn(ctx, conn) }) {
			reset(conn)
		}
	}
}

// serveConn serves the requests of one connection, one at a time.
func (w *Worker) serveConn(ctx context.Context, conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	if w.Behavior.HandshakeTime > 0 {
		w.slots.acquireForced()
		task.Sleep(ctx, w.Behavior.HandshakeTime)
		w.slots.release()
	}
	reader := bufio.NewReader(conn)
	surplus := ""
	for ctx.Err() == nil {
		if w.Behavior.IdleTimeout > 0 {
			_ = conn.SetReadDeadline(time.Now().Add(w.Behavior.IdleTimeout))
		}
		if _, err := reader.Peek(1); err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		received := &workerRequest{worker: w, conn: conn, reader: reader, request: request, body: body, surplusBefore: surplus, callerLeft: make(chan struct{}), inputSeen: make(chan struct{})}
		// Notice if the caller leaves meanwhile; its next bytes stay unread in the buffer.
		if !w.tasks.Go("listen", received.watchCaller) {
			return
		}
		keepOpen := received.handle(ctx)
		surplus = received.surplusAfter
		if !keepOpen {
			_ = conn.Close()
			<-received.inputSeen
			return
		}
		idleSince := time.Now()
		if !received.awaitNext(w.Behavior.IdleTimeout) {
			return
		}
		if forgetAfter := w.faultsFor(conn).Forget; forgetAfter > 0 && time.Since(idleSince) > forgetAfter {
			reset(conn)
			return
		}
	}
}
