// Package event writes numbered events to the log and keeps the newest for
// the operators. The catalogue is in catalogue.go and in docs/events.md.
package event

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Kind is one row of the catalogue.
type Kind struct {
	Number    int
	Name      string
	Text      string
	IsWarning bool
}

// Entry is one event as the operators see it.
type Entry struct {
	Seq    uint64    `json:"seq" msgpack:"s"`
	Number int       `json:"num" msgpack:"n"`
	Name   string    `json:"name" msgpack:"k"`
	Node   string    `json:"node" msgpack:"o"`
	Time   time.Time `json:"wall" msgpack:"w"`
	Text   string    `json:"say" msgpack:"t"`
}

// Log writes events and keeps the newest ones in a ring.
type Log struct {
	h    hclog.Logger
	node string
	mu   sync.Mutex
	seq  uint64
	ring []Entry
	tell func(Entry)
}

const keep = 512

// New makes a log for a node; out nil means that nothing is printed.
func New(node string, out io.Writer) *Log {
	h := hclog.NewNullLogger()
	if out != nil {
		h = hclog.New(&hclog.LoggerOptions{Name: node, Output: out, Level: hclog.Info, JSONFormat: true})
	}
	return &Log{h: h, node: node}
}

// SetListener sets a listener; tests use it to see what was logged.
func (l *Log) SetListener(f func(Entry)) {
	l.mu.Lock()
	l.tell = f
	l.mu.Unlock()
}

// Emit logs one event with pairs of name and value.
func (l *Log) Emit(k Kind, pairs ...any) {
	say := ""
	for i := 0; i+1 < len(pairs); i += 2 {
		if i > 0 {
			say += " "
		}
		say += fmt.Sprintf("%v=%v", pairs[i], pairs[i+1])
	}
	l.mu.Lock()
	l.seq++
	e := Entry{Seq: l.seq, Number: k.Number, Name: k.Name, Node: l.node, Time: time.Now(), Text: say}
	l.ring = append(l.ring, e)
	// The ring is cut in halves, so that the copy is rare.
	if len(l.ring) > 2*keep {
		l.ring = append([]Entry(nil), l.ring[keep:]...)
	}
	tell := l.tell
	l.mu.Unlock()
	args := append([]any{"event", k.Number, "name", k.Name}, pairs...)
	if k.IsWarning {
		l.h.Warn(k.Text, args...)
	} else {
		l.h.Info(k.Text, args...)
	}
	if tell != nil {
		tell(e)
	}
}

// Since gives the kept events with a higher number than seq.
func (l *Log) Since(seq uint64) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Entry
	for _, e := range l.ring {
		if e.Seq > seq {
			out = append(out, e)
		}
	}
	if len(out) > keep {
		out = out[len(out)-keep:]
	}
	return out
}
