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
	MinVersion = 1
	MaxVersion = 2
	pieces     = 2
	mark       = "puffincrank"
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
	kind string
	id   uint64
	left int64  // ms that the call has
	at   int64  // when left was counted: ms since the hello, from 1 on
	bad  string // what became of a call, "" for well
	say  string
	lane int
	back int    // the lane that it tells, where it is another than it goes by; 0: the same
	part uint64 // from 1 on; 0 for a body in one piece
	rest int64  // bytes of the body still to come; -1 when they never will
}

// frame is one message that came in. Its body lies in its room until it is
// let go.
type frame struct {
	head
	end  time.Duration // when the time of a call is used up here
	body []byte
	cut  bool     // the body is a piece
	cuts []*frame // the pieces that came in of a body, in order
	room *room
}

func (f *frame) free() {
	if f != nil {
		f.room.free()
		f.room, f.body = nil, nil
	}
}

// say writes a hello.
func (h Hello) say(w io.Writer) error {
	r, err := pack(h)
	if err != nil {
		return err
	}
	defer r.free()
	_, err = w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(r.b))), r.b...))
	return err
}

// hear reads a hello.
func (h *Hello) hear(r *bufio.Reader) error {
	got, err := get(r, 4096)
	if err != nil {
		return err
	}
	defer got.free()
	return Decode(got.b, h)
}

// get reads the bytes of one frame.
func get(r *bufio.Reader, most int) (*room, error) {
	head, err := r.Peek(4)
	if err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(head))
	_, _ = r.Discard(4)
	// The bound is checked before the room is taken.
	if n > most {
		return nil, fault.New(fault.Input, "frame of %d bytes is over the bound", n)
	}
	m := rooms.Get().(*room)
	// Room is taken as the bytes come, not as they are promised.
	for len(m.b) < n {
		from := len(m.b)
		m.grow(min(n-from, max(from, small)))
		if _, err := io.ReadFull(r, m.b[from:]); err != nil {
			m.free()
			return nil, err
		}
	}
	return m, nil
}

// agree picks the version of a link, or says why there is none.
func agree(own, got Hello) (int, error) {
	if got.Magic != mark {
		return 0, fault.New(fault.Input, "not a puffincrank hello")
	}
	if got.ClusterID != own.ClusterID {
		return 0, fault.New(fault.Input, "fellow is of mesh %q, not %q", got.ClusterID, own.ClusterID)
	}
	top := min(own.MaxVersion, got.MaxVersion)
	if top < own.MinVersion || top < got.MinVersion {
		return 0, fault.New(fault.Input, "no wire version in common")
	}
	return top, nil
}
