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
	maxPooledBuffer = 16 * maxChunk
	readIncrement   = 4 * maxChunk
)

// buffer is a buffer that messages are packed in and read into, again and again.
type buffer struct{ b []byte }

var buffers = sync.Pool{New: func() any { return new(buffer) }}

func (r *buffer) Write(p []byte) (int, error) {
	r.b = append(r.b, p...)
	return len(p), nil
}

// WriteByte spares the encoder a buffer of its own.
func (r *buffer) WriteByte(c byte) error {
	r.b = append(r.b, c)
	return nil
}

// extend makes the room longer by n bytes.
func (r *buffer) extend(n int) {
	r.b = slices.Grow(r.b, n)[:len(r.b)+n]
}

// bytes gives a part of what lies in it.
func (r *buffer) bytes(from, n int) []byte {
	if r == nil {
		return nil
	}
	return r.b[from : from+n]
}

// size is 0 for no room.
func (r *buffer) size() int {
	if r == nil {
		return 0
	}
	return len(r.b)
}

func (r *buffer) release() {
	if r == nil || cap(r.b) > maxPooledBuffer {
		return
	}
	r.b = r.b[:0]
	buffers.Put(r)
}

func encode(v any) (*buffer, error) {
	buf := buffers.Get().(*buffer)
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(buf)
	if err := encoder.Encode(v); err != nil {
		buf.release()
		return nil, fault.Wrap(fault.Input, err, "pack message")
	}
	return buf, nil
}

// pooledDecoder is a decoder with its reader, used again and again.
type pooledDecoder struct {
	reader  bytes.Reader
	decoder *msgpack.Decoder
}

var decoders = sync.Pool{New: func() any {
	k := &pooledDecoder{}
	k.decoder = msgpack.NewDecoder(&k.reader)
	return k
}}

// Decode reads a message body; unknown fields are passed over. Nothing of the
// bytes is kept. They are walked first, since the decoder takes the room that
// a length promises, and goes as deep as they say.
func Decode(b []byte, v any) (err error) {
	if _, err := skipValue(b, maxDepth); err != nil {
		return err
	}
	pooled := decoders.Get().(*pooledDecoder)
	defer func() {
		// The decoder stops the process on some bytes, as a field of any kind
		// that comes twice. Such bytes are a fellow's fault and no end of ours.
		if panicked := recover(); panicked != nil {
			err = fault.New(fault.Input, "unpack message: %v", panicked)
			return
		}
		pooled.reader.Reset(nil)
		decoders.Put(pooled)
	}()
	pooled.reader.Reset(b)
	pooled.decoder.Reset(&pooled.reader)
	return fault.Wrap(fault.Input, pooled.decoder.Decode(v), "unpack message")
}
