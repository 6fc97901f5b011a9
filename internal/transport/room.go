package transport

import (
	"bytes"
	"slices"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/fault"
)

// kept is how large a room is kept for the next message; larger ones would be
// held for nothing. A room begins small.
const (
	kept  = 16 * piece
	small = 4 * piece
)

// room is a buffer that messages are packed in and read into, again and again.
type room struct{ b []byte }

var rooms = sync.Pool{New: func() any { return new(room) }}

func (r *room) Write(p []byte) (int, error) {
	r.b = append(r.b, p...)
	return len(p), nil
}

// WriteByte spares the encoder a buffer of its own.
func (r *room) WriteByte(c byte) error {
	r.b = append(r.b, c)
	return nil
}

// grow makes the room longer by n bytes.
func (r *room) grow(n int) {
	r.b = slices.Grow(r.b, n)[:len(r.b)+n]
}

// bytes gives a part of what lies in it.
func (r *room) bytes(from, n int) []byte {
	if r == nil {
		return nil
	}
	return r.b[from : from+n]
}

// size is 0 for no room.
func (r *room) size() int {
	if r == nil {
		return 0
	}
	return len(r.b)
}

func (r *room) free() {
	if r == nil || cap(r.b) > kept {
		return
	}
	r.b = r.b[:0]
	rooms.Put(r)
}

func pack(v any) (*room, error) {
	r := rooms.Get().(*room)
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(r)
	if err := e.Encode(v); err != nil {
		r.free()
		return nil, fault.Wrap(fault.Input, err, "pack message")
	}
	return r, nil
}

// desk is a decoder with its reader, used again and again.
type desk struct {
	r bytes.Reader
	d *msgpack.Decoder
}

var desks = sync.Pool{New: func() any {
	k := &desk{}
	k.d = msgpack.NewDecoder(&k.r)
	return k
}}

// Decode reads a message body; unknown fields are passed over. Nothing of the
// bytes is kept. They are walked first, since the decoder takes the room that
// a length promises, and goes as deep as they say.
func Decode(b []byte, v any) (err error) {
	if _, err := walk(b, deepest); err != nil {
		return err
	}
	k := desks.Get().(*desk)
	defer func() {
		// The decoder stops the process on some bytes, as a field of any kind
		// that comes twice. Such bytes are a fellow's fault and no end of ours.
		if p := recover(); p != nil {
			err = fault.New(fault.Input, "unpack message: %v", p)
			return
		}
		k.r.Reset(nil)
		desks.Put(k)
	}()
	k.r.Reset(b)
	k.d.Reset(&k.r)
	return fault.Wrap(fault.Input, k.d.Decode(v), "unpack message")
}
