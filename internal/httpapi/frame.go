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

type frameKey struct{}

// FramingOf tells how the head of a caller's request was framed.
func FramingOf(ctx context.Context) Framing {
	k, ok := ctx.Value(frameKey{}).(*caller)
	if !ok {
		return FramingPlain
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.head.verdict()
}

// withFrame lets handlers ask.
func withFrame(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, frameKey{}, c)
}

// headLook follows the bytes of one head as they are read.
type headLook struct {
	seen  bool // it was followed from its first line on
	on    bool // and its end has not come
	size  bool // it gives a length
	parts bool // it gives an encoding
	bare  bool
	rest  []byte // the last bytes of the read before, when it ended within a line
}

func (h *headLook) verdict() Framing {
	switch {
	case !h.seen:
		return FramingUnknown
	case h.bare:
		return FramingBareLF
	case h.size && h.parts:
		return FramingAmbiguous
	}
	return FramingPlain
}

// start begins with a new head.
func (h *headLook) start() { *h = headLook{seen: true, on: true} }

// heed takes in bytes; those after the head's empty line are a body's.
func (h *headLook) heed(b []byte) {
	for h.on && len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			h.keep(b)
			return
		}
		line := b[:end]
		if len(h.rest) > 0 {
			h.keep(line)
			line = h.rest
		}
		h.line(line)
		h.rest, b = h.rest[:0], b[end+1:]
	}
}

// keep adds to a line that has not ended. Its beginning and its end are enough.
func (h *headLook) keep(b []byte) {
	const most = 64
	h.rest = append(h.rest, b[:min(len(b), max(most-len(h.rest), 0))]...)
	if len(b) > 0 && len(h.rest) == most {
		h.rest[most-1] = b[len(b)-1]
	}
}

func (h *headLook) line(b []byte) {
	if len(b) == 0 || b[len(b)-1] != '\r' {
		h.bare, h.on = true, false
		return
	}
	if len(b) == 1 {
		h.on = false
		return
	}
	h.size = h.size || named(b, "content-length")
	h.parts = h.parts || named(b, "transfer-encoding")
}

func named(line []byte, name string) bool {
	return len(line) > len(name) && line[len(name)] == ':' && bytes.EqualFold(line[:len(name)], []byte(name))
}
