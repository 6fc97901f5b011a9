package env

import (
	"net"
	"syscall"
)

// NonblockingWriter returns a function that writes as much as a connection accepts without
// blocking, and returns the number of bytes written. The function must not be called
// concurrently. For connections that can't write without blocking it writes nothing.
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
	// Made once, since a closure for each write would allocate.
	writer.attempt = writer.writeOnce
	return writer.write
}

func writeNothing([]byte) (int, error) { return 0, nil }

// nonblockingWriter writes to a socket without blocking. data, written and err belong to
// the write in progress.
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

// writeOnce writes what the socket accepts. It always returns true, so that RawConn.Write
// doesn't wait for the socket to become writable.
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
