package process

import (
	"context"
	"errors"
	"syscall"
	"time"

	"puffincrank/internal/task"
)

// A process that is being started holds copies of its parent's listeners until it
// runs its own program, some milliseconds.
const (
	bindWithin = time.Second
	bindAgain  = 5 * time.Millisecond
)

// Bind starts something that listens on an address where this program itself has
// just ended another listener. It tries again while the address is in use, for a
// second at most; the last error is given.
func Bind(start func() error) error {
	for from := time.Now(); ; task.Sleep(context.Background(), bindAgain) {
		err := start()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(from) > bindWithin {
			return err
		}
	}
}
