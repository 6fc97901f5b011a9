// Package env is what a process gets from outside: network, folder, wall
// clock and log. Tests hand in ones made of memory.
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

// Net opens and takes connections.
type Net interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// Env is the outside of one process.
type Env struct {
	Net       Net
	FS        disk.FS
	WallClock func() time.Time
	// Pause waits for a time, or until the context ends; whoever was frozen
	// wakes late from it.
	Sleep func(ctx context.Context, d time.Duration)
	Log   *event.Log
	// Say is the tongue towards callers and workers; unset, the product's own.
	Dialect dialect.Dialect
	// Look looks whether the settings have changed; it is cheap, and called by
	// beats that there are anyhow. Unset, nothing is looked at.
	CheckSettings func()
	// Trace is told of the steps of the agreement. Unset but in the simulator.
	Trace trace.Observer
}

// PollSettings calls Look where it is set.
func (e Env) PollSettings() {
	if e.CheckSettings != nil {
		e.CheckSettings()
	}
}

type real struct{ d net.Dialer }

func (r *real) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
func (r *real) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return r.d.DialContext(ctx, "tcp", addr)
}

// Real is the machine's own network and clock; the folder is set by who has one.
func Real(node string) Env {
	return Env{Net: &real{}, WallClock: time.Now, Sleep: task.Sleep, Log: event.New(node, os.Stderr)}
}
