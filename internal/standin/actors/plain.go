// Package actors holds the stand-ins of a deployment that speaks a tongue other
// than the product's own: its workers, clients, operators and applications,
// on bare sockets, so that each can behave as badly as real ones do.
package actors

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"puffincrank/internal/dialect"
)

// Plain is a tongue with a deployment's manners and names of nobody's: a stamp
// that cannot be checked, nobody is asked who is there, ids are the caller's.
var Plain = dialect.Dialect{Name: "plain", AttemptID: "Plain-Id", Timeout: "Plain-Left", ExpectedWorker: "Plain-For", WorkerID: "Plain-Who",
	ResponseDigest: "Plain-Stamp", NotExecuted: "Plain-Not-Run", CallerService: "Plain-From", KeepsAttemptID: true, FractionalRetryAfter: true}

// Line is one kind of request that clients make.
type Line struct {
	Kind, Host, Method, Prefix string
	Repeat                     bool
	Rate                       float64 // a second, over all clients
	Size, Back                 int     // bytes of the body and of the answer, in the middle
	Work, Aim, Left            time.Duration
	Most                       time.Duration // what the path's operator lets it take
	Further                    int           // tries after the first
	Calls                      []Call
	Pick                       func(chance uint64) (host, prefix string) // where it goes, if that changes
}

// Call is a request that a worker makes while it runs one.
type Call struct {
	Line  *Line
	Share float64 // the part of the runs that make it
}

// ExecutionPlan is what a worker is told of a request by the stand-ins' own book, not
// by the wire.
type ExecutionPlan struct {
	AnswerSize int
	Calls      []*Line
}

// lockedRand is a source of chance that many may use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand { return &lockedRand{rng: rand.New(rand.NewPCG(seed, 11))} }

func (d *lockedRand) fraction() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64()
}

func (d *lockedRand) intN(bound int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(bound)
}

func (d *lockedRand) uint64() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Uint64()
}

// interval draws the time to the next of a stream of so many a second.
func (d *lockedRand) interval(rate float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rng.ExpFloat64() / rate * float64(time.Second))
}

// around draws a span between half and one and a half of the middle.
func (d *lockedRand) around(middle time.Duration) time.Duration {
	if middle <= 0 {
		return 0
	}
	return middle/2 + time.Duration(d.uint64()%uint64(middle))
}

// reset resets a connection instead of closing it.
func reset(conn net.Conn) {
	if lingering, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = lingering.SetLinger(0)
	}
	_ = conn.Close()
}

// fillRepeating repeats a text until the bytes are full.
func fillRepeating(buffer []byte, text string) {
	for filled := copy(buffer, text); filled < len(buffer); filled *= 2 {
		copy(buffer[filled:], buffer[:filled])
	}
}

// remoteHost is the host of an address.
func remoteHost(addr net.Addr) string {
	name, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return addr.String()
	}
	return name
}
