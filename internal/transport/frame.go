// Package transport carries messages between the processes of the mesh: length-prefixed
// msgpack frames over TCP, a handshake that negotiates the version, and many concurrent
// calls per link. Frames have priority lanes, and large bodies are sent in chunks, so that
// a large body does not delay a small one.
package transport

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

	"puffincrank/internal/fault"
)

// MinVersion and MaxVersion are the wire versions that this program supports. From version
// 2 on large bodies are sent in chunks.
const (
	MinVersion     = 1
	MaxVersion     = 2
	chunkedVersion = 2
	magic          = "puffincrank"
)

// Hello is the first frame in each direction.
type Hello struct {
	Magic      string `msgpack:"mark"`
	ClusterID  string `msgpack:"mesh"`
	MinVersion int    `msgpack:"low"`
	MaxVersion int    `msgpack:"high"`
	Node       string `msgpack:"node"`
	Zone       string `msgpack:"area"`
	Role       string `msgpack:"role"`
}

// head holds the fields of a frame besides its body. A call has a kind and an ID, a
// response has only the ID, a one-way message has only the kind. A body larger than one
// chunk is sent in several frames with the same bodyID; all but the first of them carry
// only bodyID, remaining and the chunk.
type head struct {
	kind         string
	id           uint64
	timeoutMS    int64  // remaining time of the call in ms
	sentAtMS     int64  // when timeoutMS was computed: ms since the hello, starting at 1
	errorCode    string // result of a call, "" for success
	errorText    string
	lane         int
	responseLane int    // lane of the response, if it differs from the frame's own; 0: the same
	bodyID       uint64 // starts at 1; 0 for a body in a single frame
	remaining    int64  // bytes of the body still to come; -1 if they were withdrawn
}

// frame is a received message. Its body refers to its buffer until the frame is released.
type frame struct {
	head
	deadline time.Duration // deadline of a call, in the node's monotonic time
	body     []byte
	chunk    bool     // the body is a chunk
	chunks   []*frame // received chunks of a body, in order
	buf      *buffer
}

func (f *frame) release() {
	if f != nil {
		f.buf.release()
		f.buf, f.body = nil, nil
	}
}

// writeTo writes the hello as a frame.
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
	// The limit is checked before memory is allocated.
	if size > limit {
		return nil, fault.New(fault.Input, "frame of %d bytes is over the bound", size)
	}
	buf := buffers.Get().(*buffer)
	// Memory is allocated as the bytes arrive, not as the length field claims.
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

// negotiateVersion selects the version of a link, or returns why there is none.
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
