// Package env defines what a process gets from its environment: network, data folder,
// wall clock and log. Tests supply in-memory ones.
package env

import (
	"context"
	"net"
	"os"
	"time"

	"puffincrank/internal/dialect"
	"puffincrank/internal/disk"
	"puffincrank/internal/event"
	"puffincrank/internal/task"
	"puffincrank/internal/trace"
)

// Net listens and dials.
type Net interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// Env is the environment of one process.
type Env struct {
	Net       Net
	FS        disk.FS
	WallClock func() time.Time
	// Sleep waits for a time, or until the context ends. In a process that was paused
	// it returns late.
	Sleep func(ctx context.Context, d time.Duration)
	Log   *event.Log
	// Dialect is the one used towards callers and workers; if unset, dialect.Default.
	Dialect dialect.Dialect
	// CheckSettings checks whether the settings have changed. It is cheap and is called
	// from existing periodic tasks. If unset, changes are not noticed.
	CheckSettings func()
	// Trace observes the steps of the consensus protocol. Set only by the simulator.
	Trace trace.Observer
}

// PollSettings calls CheckSettings if it is set.
func (e Env) PollSettings() {
	if e.CheckSettings != nil {
		e.CheckSettings()
	}
}

type systemNet struct{ dialer net.Dialer }

func (r *systemNet) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
func (r *systemNet) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return r.dialer.DialContext(ctx, "tcp", addr)
}

// Real returns the machine's own network and clock. FS is left unset; programs that have a
// data folder set it.
func Real(node string) Env {
	return Env{Net: &systemNet{}, WallClock: time.Now, Sleep: task.Sleep, Log: event.New(node, os.Stderr)}
}
