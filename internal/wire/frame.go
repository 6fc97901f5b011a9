// Package wire is what the processes say to each other: TCP, length-prefixed
// msgpack frames, a hello that agrees on the version, many calls on one link.
package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/fault"
)

// Low and High are the wire versions that this program speaks.
const (
	Low  = 1
	High = 1
	mark = "puffincrank"
)

// Hello is the first frame each way.
type Hello struct {
	Mark string `msgpack:"mark"`
	Mesh string `msgpack:"mesh"`
	Low  int    `msgpack:"low"`
	High int    `msgpack:"high"`
	Node string `msgpack:"node"`
	Area string `msgpack:"area"`
	Role string `msgpack:"role"`
}

// frame is one message. Kinds: a call has a kind and an id, a receipt has only
// the id, a cast has only the kind.
type frame struct {
	Kind string             `msgpack:"k,omitempty"`
	ID   uint64             `msgpack:"i,omitempty"`
	Left int64              `msgpack:"l,omitempty"`
	Bad  string             `msgpack:"e,omitempty"`
	Say  string             `msgpack:"s,omitempty"`
	Body msgpack.RawMessage `msgpack:"b,omitempty"`
	of   string             // what a receipt answers, for the counts
}

func pack(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	return b, fault.Wrap(fault.Input, err, "pack message")
}

// Unpack reads a message body; unknown fields are passed over.
func Unpack(b []byte, v any) error {
	return fault.Wrap(fault.Input, msgpack.Unmarshal(b, v), "unpack message")
}

// rooms are buffers that frames are packed in, used again and again.
var rooms = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func put(w io.Writer, v any, most int) (int, error) {
	b := rooms.Get().(*bytes.Buffer)
	defer func() {
		// A large one is not kept: most frames are small.
		if b.Cap() <= 64<<10 {
			rooms.Put(b)
		}
	}()
	b.Reset()
	// Room for the length, which is known only afterwards.
	b.Write(make([]byte, 4))
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(b)
	if err := e.Encode(v); err != nil {
		return 0, fault.Wrap(fault.Input, err, "pack message")
	}
	n := b.Len() - 4
	if n > most {
		return 0, fault.New(fault.Input, "frame of %d bytes is over the bound", n)
	}
	binary.BigEndian.PutUint32(b.Bytes(), uint32(n))
	_, err := w.Write(b.Bytes())
	return n + 4, err
}

func get(r *bufio.Reader, v any, most int) (int, error) {
	head, err := r.Peek(4)
	if err != nil {
		return 0, err
	}
	n := int(binary.BigEndian.Uint32(head))
	_, _ = r.Discard(4)
	// The bound is checked before the room is taken.
	if n > most {
		return 0, fault.New(fault.Input, "frame of %d bytes is over the bound", n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return 0, err
	}
	return n + 4, Unpack(b, v)
}

// agree picks the version of a link, or says why there is none.
func agree(own, got Hello) (int, error) {
	if got.Mark != mark {
		return 0, fault.New(fault.Input, "not a puffincrank hello")
	}
	if got.Mesh != own.Mesh {
		return 0, fault.New(fault.Input, "fellow is of mesh %q, not %q", got.Mesh, own.Mesh)
	}
	top := min(own.High, got.High)
	if top < own.Low || top < got.Low {
		return 0, fault.New(fault.Input, "no wire version in common")
	}
	return top, nil
}
