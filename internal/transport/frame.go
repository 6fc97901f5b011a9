// Package transport is what the processes say to each other: TCP, length-prefixed
// msgpack frames, a hello that agrees on the version, many calls on one link,
// in lanes and in pieces, so that a large body doesn't hold up a small one.
package transport

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

	"puffincrank/internal/fault"
)

// Low and High are the wire versions that this program speaks. From 2 on
// large bodies travel in pieces.
const (
	MinVersion     = 1
	MaxVersion     = 2
	chunkedVersion = 2
	magic          = "puffincrank"
)

// Hello is the first frame each way.
type Hello struct {
	Magic      string `msgpack:"mark"`
	ClusterID  string `msgpack:"mesh"`
	MinVersion int    `msgpack:"low"`
	MaxVersion int    `msgpack:"high"`
	Node       string `msgpack:"node"`
	Zone       string `msgpack:"area"`
	Role       string `msgpack:"role"`
}

// head is what a frame says besides its body. A call has a kind and an id, a
// receipt has only the id, a cast has only the kind. A body over a piece comes
// in frames with the same part; all but the first have only part, rest and cut.
type head struct {
	kind         string
	id           uint64
	timeoutMS    int64  // ms that the call has
	sentAtMS     int64  // when left was counted: ms since the hello, from 1 on
	errorCode    string // what became of a call, "" for well
	errorText    string
	lane         int
	responseLane int    // the lane that it tells, where it is another than it goes by; 0: the same
	bodyID       uint64 // from 1 on; 0 for a body in one piece
	remaining    int64  // bytes of the body still to come; -1 when they never will
}

// frame is one message that came in. Its body lies in its room until it is
// let go.
type frame struct {
	head
	deadline time.Duration // when the time of a call is used up here
	body     []byte
	chunk    bool     // the body is a piece
	chunks   []*frame // the pieces that came in of a body, in order
	buf      *buffer
}

func (f *frame) release() {
	if f != nil {
		f.buf.release()
		f.buf, f.body = nil, nil
	}
}

// writeTo writes a hello.
func (h Hello) writeTo(w io.Writer) error {
	encoded, err := encode(h)
	if err != nil {
		return err
	}
	defer encoded.release()
	_, err = w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(encoded.b))), encoded.b...))
	return err
}

// readFrom reads a hello.
func (h *Hello) readFrom(r *bufio.Reader) error {
	received, err := readFrame(r, 4096)
	if err != nil {
		return err
	}
	defer received.release()
	return Decode(received.b, h)
}

// readFrame reads the bytes of one frame.
func readFrame(r *bufio.Reader, limit int) (*buffer, error) {
	head, err := r.Peek(4)
	if err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(head))
	_, _ = r.Discard(4)
	// The bound is checked before the room is taken.
	if size > limit {
		return nil, fault.New(fault.Input, "frame of %d bytes is over the bound", size)
	}
	buf := buffers.Get().(*buffer)
	// Room is taken as the bytes come, not as they are promised.
	for len(buf.b) < size {
		start := len(buf.b)
		buf.extend(min(size-start, max(start, readIncrement)))
		if _, err := io.ReadFull(r, buf.b[start:]); err != nil {
			buf.release()
			return nil, err
		}
	}
	return buf, nil
}

// negotiateVersion picks the version of a link, or says why there is none.
func negotiateVersion(own, peer Hello) (int, error) {
	if peer.Magic != magic {
		return 0, fault.New(fault.Input, "not a puffincrank hello")
	}
	if peer.ClusterID != own.ClusterID {
		return 0, fault.New(fault.Input, "fellow is of mesh %q, not %q", peer.ClusterID, own.ClusterID)
	}
	version := min(own.MaxVersion, peer.MaxVersion)
	if version < own.MinVersion || version < peer.MinVersion {
		return 0, fault.New(fault.Input, "no wire version in common")
	}
	return version, nil
}
