package env

import (
	"net"
	"syscall"
)

// NonblockingWriter gives a way to write what a connection takes at once, without waiting
// for the far end. It must not be used by two at the same time. A connection
// that knows no such way takes nothing.
func NonblockingWriter(c net.Conn) func([]byte) (int, error) {
	if t, ok := c.(interface{ Try([]byte) (int, error) }); ok {
		return t.Try
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return none
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return none
	}
	t := &try{raw: raw}
	// Made once: a closure for each write would be garbage each time.
	t.f = t.once
	return t.write
}

func none([]byte) (int, error) { return 0, nil }

type try struct {
	raw syscall.RawConn
	f   func(uintptr) bool
	b   []byte
	n   int
	err error
}

func (t *try) write(b []byte) (int, error) {
	t.b, t.n, t.err = b, 0, nil
	err := t.raw.Write(t.f)
	t.b = nil
	if err == nil {
		err = t.err
	}
	return t.n, err
}

// once writes what the socket takes; true means that nobody waits for more.
func (t *try) once(fd uintptr) bool {
	for {
		n, err := syscall.Write(int(fd), t.b)
		switch {
		case err == syscall.EINTR:
			continue
		case err == nil:
			t.n = n
		case err != syscall.EAGAIN:
			t.err = err
		}
		return true
	}
}
