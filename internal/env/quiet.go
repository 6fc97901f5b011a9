package env

import (
	"net"
	"syscall"
)

// quietChecker is a connection that can be looked at without the system's help.
type quietChecker interface{ Still() (still, known bool) }

// IsQuiet tells whether a connection that nothing is due on is open and has no
// byte waiting. known is false where the connection can't be looked at without
// reading from it.
func IsQuiet(conn net.Conn) (quiet, known bool) {
	if checker, ok := conn.(quietChecker); ok {
		return checker.Still()
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
		// Nothing to read and no end: the one answer that is hoped for.
		_, _, errno := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errno == syscall.EAGAIN
		return true
	})
	return quiet && err == nil, true
}
