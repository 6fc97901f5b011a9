package env

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"puffincrank/internal/fault"
)

// TuneConn makes the kernel close a connection on which sent bytes stay unacknowledged for
// userTimeout. Without it, a connection to a machine that lost power or is cut off keeps
// what is written to it for a quarter of an hour before it fails. The kernel also buffers
// no more than maxUnsent bytes that can't be sent yet, since what is in its buffer goes
// out before everything written later, however urgent. A connection without a socket,
// such as a simulated one, is left unchanged.
func TuneConn(conn net.Conn, userTimeout time.Duration, maxUnsent int) error {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return fault.Wrap(fault.Closed, err, "set TCP options")
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
	return fault.Wrap(fault.Closed, err, "set TCP options")
}
