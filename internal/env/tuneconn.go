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
func TuneConn(conn net.Conn, userTimeout time.Duration, maxUnsent int) error {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return fault.Wrap(fault.Closed, err, "steer a connection")
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		if optErr == nil {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
		}
	})
	if err == nil {
		err = optErr
	}
	return fault.Wrap(fault.Closed, err, "steer a connection")
}
