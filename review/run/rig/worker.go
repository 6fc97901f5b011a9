package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The headers of the platform.
const (
	AttemptID   = "X-Puffincrank-Attempt-Id"
	Deadline    = "X-Puffincrank-Deadline-Remaining"
	Expected    = "X-Puffincrank-Expected-Instance"
	InstanceID  = "X-Puffincrank-Instance-Id"
	Seal        = "X-Puffincrank-Server-Seal"
	NotExecuted = "X-Puffincrank-Not-Executed"
)

// Worker is a stand-in of an application worker. Handle answers a request on its connection
// and reports whether the connection stays open.
type Worker struct {
	ID      string
	Machine *Machine
	Slots   int
	Handle  func(w *Worker, conn net.Conn, req *http.Request, body []byte) bool

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	seq      int
	stopped  bool
}

// Start opens the worker's port and begins its beats.
func (w *Worker) Start() error {
	var err error
	if w.listener, err = net.Listen("tcp", w.Machine.App()); err != nil {
		return err
	}
	w.conns = map[net.Conn]bool{}
	go w.accept()
	go func() {
		for !w.ended() {
			w.beatAnywhere()
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return nil
}

func (w *Worker) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

// Stop ends the worker without a word.
func (w *Worker) Stop() {
	w.mu.Lock()
	w.stopped = true
	for conn := range w.conns {
		_ = conn.Close()
	}
	w.mu.Unlock()
	_ = w.listener.Close()
}

// NextBeat returns the body of the worker's next call.
func (w *Worker) NextBeat(state string) map[string]any {
	w.mu.Lock()
	w.seq++
	seq := w.seq
	w.mu.Unlock()
	return map[string]any{"service": w.Machine.Service, "addr": w.Machine.App(), "area": w.Machine.Zone, "version": "v1", "slots": w.Slots, "state": state, "cold_ms": 0, "seq": seq}
}

// beatAnywhere sends one beat to the node of the worker's machine, and to the next ones until
// one acknowledges it.
func (w *Worker) beatAnywhere() {
	sides := w.Machine.rig.Sides
	first := slices.Index(sides, w.Machine)
	for i := range sides {
		addr := sides[(first+i)%len(sides)].Control()
		code, _, err := Call(http.MethodPut, "http://"+addr+"/puffin/workers/"+w.ID, w.NextBeat("up"), time.Second)
		if err == nil && code/100 == 2 {
			return
		}
	}
}

func (w *Worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.mu.Unlock()
		go w.serve(conn)
	}
}

func (w *Worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		switch {
		case req.URL.Path == "/health" && req.Header.Get(AttemptID) == "":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", InstanceID, w.ID)
			continue
		case req.Header.Get(Expected) != "" && req.Header.Get(Expected) != w.ID:
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", AttemptID, req.Header.Get(AttemptID), NotExecuted, InstanceID, w.ID)
			continue
		}
		if !w.Handle(w, conn, req, body) {
			return
		}
	}
}

// Answer returns a whole answer of the worker to a request.
func (w *Worker) Answer(req *http.Request, code int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: seal-%s-%s\r\nContent-Length: %d\r\n\r\n%s", code, http.StatusText(code), AttemptID, req.Header.Get(AttemptID), Seal, w.ID, req.Header.Get(AttemptID), len(body), body)
}

// Gone waits for a time and reports whether the connection ended meanwhile. Nothing may be
// sent on it in that time.
func Gone(conn net.Conn, wait time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	var one [1]byte
	_, err := conn.Read(one[:])
	timeout, ok := err.(net.Error)
	return err != nil && (!ok || !timeout.Timeout())
}
