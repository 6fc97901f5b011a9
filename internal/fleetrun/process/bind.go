package process

import (
	"context"
	"errors"
	"syscall"
	"time"

	"puffincrank/internal/task"
)

// Between fork and exec, for some milliseconds, a child process holds copies of its
// parent's listeners, so an address can stay in use after its listener was closed.
const (
	bindTimeout       = time.Second
	bindRetryInterval = 5 * time.Millisecond
)

// Bind calls listen, which opens a listener on an address where this program has just
// closed another one. It retries for at most one second while the address is in use, and
// returns the last error.
func Bind(listen func() error) error {
	for begin := time.Now(); ; task.Sleep(context.Background(), bindRetryInterval) {
		err := listen()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(begin) > bindTimeout {
			return err
		}
	}
}
