package env

import (
	"net"
	"syscall"
)

// NonblockingWriter gives a way to write what a connection takes at once, without waiting
// for the far end. It must not be used by two at the same time. A connection
// that knows no such way takes nothing.
func NonblockingWriter(conn net.Conn) func([]byte) (int, error) {
	if writer, ok := conn.(interface{ Try([]byte) (int, error) }); ok {
		return writer.Try
	}
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return writeNothing
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return writeNothing
	}
	writer := &nonblockingWriter{raw: raw}
	// Made once: a closure for each write would be garbage each time.
	writer.attempt = writer.writeOnce
	return writer.write
}

func writeNothing([]byte) (int, error) { return 0, nil }

type nonblockingWriter struct {
	raw     syscall.RawConn
	attempt func(uintptr) bool
	data    []byte
	written int
	err     error
}

func (w *nonblockingWriter) write(b []byte) (int, error) {
	w.data, w.written, w.err = b, 0, nil
	err := w.raw.Write(w.attempt)
	w.data = nil
	if err == nil {
		err = w.err
	}
	return w.written, err
}

// writeOnce writes what the socket takes; true means that nobody waits for more.
func (w *nonblockingWriter) writeOnce(fd uintptr) bool {
	for {
		n, err := syscall.Write(int(fd), w.data)
		switch {
		case err == syscall.EINTR:
			continue
		case err == nil:
			w.written = n
		case err != syscall.EAGAIN:
			w.err = err
		}
		return true
	}
}
