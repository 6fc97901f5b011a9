package env

import (
	"net"
	"syscall"
)

// looker is a connection that can be looked at without the system's help.
type looker interface{ Still() (still, known bool) }

// IsQuiet tells whether a connection that nothing is due on is open and has no
// byte waiting. known is false where the connection can't be looked at without
// reading from it.
func IsQuiet(c net.Conn) (still, known bool) {
	if l, ok := c.(looker); ok {
		return l.Still()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false, true
	}
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		// Nothing to read and no end: the one answer that is hoped for.
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		still = e == syscall.EAGAIN
		return true
	})
	return still && err == nil, true
}
