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

// Work is what a worker is told of a request by the stand-ins' own book, not
// by the wire.
type Work struct {
	Back  int
	Calls []*Line
}

// dice is a source of chance that many may use.
type dice struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newDice(seed uint64) *dice { return &dice{r: rand.New(rand.NewPCG(seed, 11))} }

func (d *dice) share() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.Float64()
}

func (d *dice) below(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.IntN(n)
}

func (d *dice) word() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.Uint64()
}

// gap draws the time to the next of a stream of so many a second.
func (d *dice) gap(rate float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.r.ExpFloat64() / rate * float64(time.Second))
}

// about draws a span between half and one and a half of the middle.
func (d *dice) about(mid time.Duration) time.Duration {
	if mid <= 0 {
		return 0
	}
	return mid/2 + time.Duration(d.word()%uint64(mid))
}

// tear resets a connection instead of closing it.
func tear(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// fill repeats a text until the bytes are full.
func fill(b []byte, text string) {
	for n := copy(b, text); n < len(b); n *= 2 {
		copy(b[n:], b[:n])
	}
}

// hostOf is the host of an address.
func hostOf(a net.Addr) string {
	h, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return h
}
