// Package actors simulates the workers, clients, operators and applications of a deployment
// whose dialect is not the product's own. They work on plain sockets, so that each of them can
// misbehave as real ones do.
package actors

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"puffincrank/internal/dialect"
)

// PlainDialect is a dialect with invented header names that works like that of a deployment: the
// response digest is opaque, new connections are not identified, and attempts keep the IDs
// that callers give them.
var PlainDialect = dialect.Dialect{Name: "plain", AttemptID: "Plain-Id", Timeout: "Plain-Left", ExpectedWorker: "Plain-For", WorkerID: "Plain-Who",
	ResponseDigest: "Plain-Stamp", NotExecuted: "Plain-Not-Run", CallerService: "Plain-From", KeepsAttemptID: true, FractionalRetryAfter: true}

// RequestKind is one kind of request that clients make. The mean values are those around which the
// actual ones are drawn.
type RequestKind struct {
	Kind, Host, Method, Prefix       string
	Retryable                        bool
	Rate                             float64       // requests per second, over all clients
	Size, AnswerSize                 int           // mean number of bytes of the body and of the answer
	WorkTime, TargetLatency, Timeout time.Duration // mean time at the worker, target latency, the client's timeout
	RouteTimeout                     time.Duration // the timeout of the route
	Retries                          int           // retries
	Calls                            []NestedCall
	DrawTarget                       func(chance uint64) (host, prefix string) // draws the target; nil: Host and Prefix
	DrawURI                          func(chance uint64) (host, uri string)    // draws the whole URI of requests that need not be served
}

// NestedCall is a nested request that a worker makes while it executes another one.
type NestedCall struct {
	Line  *RequestKind
	Share float64 // the part of the executions that make it
}

// ExecutionPlan tells a worker how to execute a request. It is passed within the process, not
// with the request.
type ExecutionPlan struct {
	AnswerSize int
	Calls      []*RequestKind
}

// lockedRand is a source of random numbers that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand { return &lockedRand{rng: rand.New(rand.NewPCG(seed, 11))} }

func (r *lockedRand) fraction() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

func (r *lockedRand) intN(bound int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(bound)
}

func (r *lockedRand) uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Uint64()
}

// interval draws the time until the next event of a Poisson process with the given rate per
// second.
func (r *lockedRand) interval(rate float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
}

// around draws a duration between 0.5 and 1.5 times the mean.
func (r *lockedRand) around(mean time.Duration) time.Duration {
	if mean <= 0 {
		return 0
	}
	return mean/2 + time.Duration(r.uint64()%uint64(mean))
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if lingering, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = lingering.SetLinger(0)
	}
	_ = conn.Close()
}

// fillRepeating fills the buffer with repetitions of a text.
func fillRepeating(buffer []byte, text string) {
	for filled := copy(buffer, text); filled < len(buffer); filled *= 2 {
		copy(buffer[filled:], buffer[:filled])
	}
}

// remoteHost returns the host of an address.
func remoteHost(addr net.Addr) string {
	name, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return addr.String()
	}
	return name
}
