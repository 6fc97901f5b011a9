package httpapi

import (
	"bytes"
	"context"
	"net"
)

// Framing tells how a request's head delimits its body, where net/http is too lenient to
// show it: the server accepts a bare line feed as the end of a line, and prefers chunked
// encoding to a Content-Length beside it. Other servers on a request's way may decide
// differently, and then one takes for a second request what the other takes for a body
// (request smuggling).
type Framing int

// The kinds of framing.
const (
	FramingUnknown   Framing = iota // the head was received together with an earlier request
	FramingPlain                    // unambiguous
	FramingAmbiguous                // Content-Length and Transfer-Encoding
	FramingBareLF                   // a line that ends in LF without CR
)

type connKey struct{}

// FramingOf returns the framing of a caller's request, by the request's context.
func FramingOf(ctx context.Context) Framing {
	conn, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return FramingPlain
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.scanner.framing()
}

// withConn stores the connection in the context for FramingOf.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// headScanner examines the bytes of one request head as they are read.
type headScanner struct {
	started     bool // the head was scanned from its first byte
	inHead      bool // the end of the head has not been reached
	hasLength   bool // it has a Content-Length
	hasEncoding bool // it has a Transfer-Encoding
	hasBareLF   bool
	partialLine []byte // of a line whose end has not been read, see appendPartial
}

func (s *headScanner) framing() Framing {
	switch {
	case !s.started:
		return FramingUnknown
	case s.hasBareLF:
		return FramingBareLF
	case s.hasLength && s.hasEncoding:
		return FramingAmbiguous
	}
	return FramingPlain
}

// start resets the scanner for a new head.
func (s *headScanner) start() { *s = headScanner{started: true, inHead: true} }

// scan processes the next bytes read. Those after the head's empty line belong to the body
// and are ignored.
func (s *headScanner) scan(b []byte) {
	for s.inHead && len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			s.appendPartial(b)
			return
		}
		line := b[:end]
		if len(s.partialLine) > 0 {
			s.appendPartial(line)
			line = s.partialLine
		}
		s.scanLine(line)
		s.partialLine, b = s.partialLine[:0], b[end+1:]
	}
}

// appendPartial adds bytes to an incomplete line. Only the first 63 bytes and the last one
// are kept: enough for the header name and for the CR before the LF.
func (s *headScanner) appendPartial(b []byte) {
	const maxBytes = 64
	s.partialLine = append(s.partialLine, b[:min(len(b), max(maxBytes-len(s.partialLine), 0))]...)
	if len(b) > 0 && len(s.partialLine) == maxBytes {
		s.partialLine[maxBytes-1] = b[len(b)-1]
	}
}

func (s *headScanner) scanLine(line []byte) {
	if len(line) == 0 || line[len(line)-1] != '\r' {
		s.hasBareLF, s.inHead = true, false
		return
	}
	if len(line) == 1 {
		s.inHead = false
		return
	}
	s.hasLength = s.hasLength || isHeader(line, "content-length")
	s.hasEncoding = s.hasEncoding || isHeader(line, "transfer-encoding")
}

// isHeader reports whether a line is a header of the given name, in upper or lower case.
func isHeader(line []byte, name string) bool {
	return len(line) > len(name) && line[len(name)] == ':' && bytes.EqualFold(line[:len(name)], []byte(name))
}
