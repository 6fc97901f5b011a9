package httpapi

import (
	"bytes"
	"context"
	"net"
)

// Framing is what is known of how a request's head frames it, beyond what the
// server tells: it takes a bare line feed for the end of a line, and chunks over
// a length that stands beside them. Others on a request's way may not, and then
// what one takes for a body is a request to the other.
type Framing int

// What a head was seen to be.
const (
	FramingUnknown   Framing = iota // it came together with an earlier request
	FramingPlain                    // framed in one way
	FramingAmbiguous                // a length and chunks
	FramingBareLF                   // a line that ends without its return
)

type connKey struct{}

// FramingOf tells how the head of a caller's request was framed.
func FramingOf(ctx context.Context) Framing {
	conn, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return FramingPlain
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.scanner.framing()
}

// withConn lets handlers ask.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// headScanner follows the bytes of one head as they are read.
type headScanner struct {
	started     bool // it was followed from its first line on
	inHead      bool // and its end has not come
	hasLength   bool // it gives a length
	hasEncoding bool // it gives an encoding
	hasBareLF   bool
	partialLine []byte // the last bytes of the read before, when it ended within a line
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

// start begins with a new head.
func (s *headScanner) start() { *s = headScanner{started: true, inHead: true} }

// scan takes in bytes; those after the head's empty line are a body's.
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

// appendPartial adds to a line that has not ended. Its beginning and its end are enough.
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

func isHeader(line []byte, name string) bool {
	return len(line) > len(name) && line[len(name)] == ':' && bytes.EqualFold(line[:len(name)], []byte(name))
}
