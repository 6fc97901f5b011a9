package env

import (
	"net"
	"syscall"
)

// quietChecker is a connection, such as a simulated one, that checks itself for IsQuiet.
type quietChecker interface{ IsQuiet() (quiet, known bool) }

// IsQuiet reports whether an idle connection is open and has no unread bytes. known is
// false if that can't be found out without consuming bytes.
func IsQuiet(conn net.Conn) (quiet, known bool) {
	if checker, ok := conn.(quietChecker); ok {
		return checker.IsQuiet()
	}
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false, true
	}
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		// EAGAIN: the connection is open and there is nothing to read.
		_, _, errno := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errno == syscall.EAGAIN
		return true
	})
	return quiet && err == nil, true
}
