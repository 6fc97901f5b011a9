package env

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"puffincrank/internal/fault"
)

// TuneConn makes the kernel give up on a connection whose bytes nobody confirmed
// for a time. Without it a machine that lost its power, or stands behind a
// cut, holds what is written to it for a quarter of an hour. A connection
// that isn't the kernel's own is left as it is.
// The kernel also takes no more than some bytes before they can go out: what is
// in its buffer passes all that comes later, however urgent.
func TuneConn(c net.Conn, long time.Duration, unsent int) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return fault.Wrap(fault.Closed, err, "steer a connection")
	}
	var bad error
	err = raw.Control(func(fd uintptr) {
		bad = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(long.Milliseconds()))
		if bad == nil {
			bad = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsent)
		}
	})
	if err == nil {
		err = bad
	}
	return fault.Wrap(fault.Closed, err, "steer a connection")
}
