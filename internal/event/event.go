// Package event writes numbered events to the log and keeps the newest ones for the operators. The
// catalogue is in catalogue.go and in docs/events.md.
package event

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Kind is an entry of the catalogue.
type Kind struct {
	Number    int
	Name      string
	Text      string
	IsWarning bool
}

// Entry is one event as operators see it.
type Entry struct {
	Seq    uint64    `json:"seq" msgpack:"s"`
	Number int       `json:"num" msgpack:"n"`
	Name   string    `json:"name" msgpack:"k"`
	Node   string    `json:"node" msgpack:"o"`
	Time   time.Time `json:"wall" msgpack:"w"`
	Text   string    `json:"say" msgpack:"t"`
}

// Log writes events and keeps the newest ones in a ring buffer.
type Log struct {
	logger   hclog.Logger
	node     string
	mu       sync.Mutex
	seq      uint64
	ring     []Entry
	listener func(Entry)
}

const maxKept = 512

// New creates the log of a node. With a nil output, nothing is printed.
func New(node string, output io.Writer) *Log {
	logger := hclog.NewNullLogger()
	if output != nil {
		logger = hclog.New(&hclog.LoggerOptions{Name: node, Output: output, Level: hclog.Info, JSONFormat: true})
	}
	return &Log{logger: logger, node: node}
}

// SetListener sets a function that is called with each event; tests use it to observe the log.
func (l *Log) SetListener(listener func(Entry)) {
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
}

// Emit logs one event with attributes given as pairs of name and value.
func (l *Log) Emit(kind Kind, pairs ...any) {
	text := ""
	for i := 0; i+1 < len(pairs); i += 2 {
		if i > 0 {
			text += " "
		}
		text += fmt.Sprintf("%v=%v", pairs[i], pairs[i+1])
	}
	l.mu.Lock()
	l.seq++
	entry := Entry{Seq: l.seq, Number: kind.Number, Name: kind.Name, Node: l.node, Time: time.Now(), Text: text}
	l.ring = append(l.ring, entry)
	// The buffer is cut to half only when it is full, so that copying is rare.
	if len(l.ring) > 2*maxKept {
		l.ring = append([]Entry(nil), l.ring[maxKept:]...)
	}
	listener := l.listener
	l.mu.Unlock()
	args := append([]any{"event", kind.Number, "name", kind.Name}, pairs...)
	if kind.IsWarning {
		l.logger.Warn(kind.Text, args...)
	} else {
		l.logger.Info(kind.Text, args...)
	}
	if listener != nil {
		listener(entry)
	}
}

// Since returns the kept events with a sequence number above seq.
func (l *Log) Since(seq uint64) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []Entry
	for _, entry := range l.ring {
		if entry.Seq > seq {
			entries = append(entries, entry)
		}
	}
	if len(entries) > maxKept {
		entries = entries[len(entries)-maxKept:]
	}
	return entries
}
