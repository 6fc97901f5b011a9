package transport

import (
	"bytes"
	"slices"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/fault"
)

// Buffers with a capacity over maxPooledBuffer are not returned to the pool, because they
// would hold memory that few messages need. A frame is read into a buffer in steps of at
// least readIncrement bytes.
const (
	maxPooledBuffer = 16 * maxChunk
	readIncrement   = 4 * maxChunk
)

// buffer is a reusable byte buffer into which messages are encoded and frames are read.
type buffer struct{ b []byte }

var buffers = sync.Pool{New: func() any { return new(buffer) }}

func (r *buffer) Write(p []byte) (int, error) {
	r.b = append(r.b, p...)
	return len(p), nil
}

// WriteByte makes buffer an io.ByteWriter, so that the encoder does not allocate a buffer
// of its own.
func (r *buffer) WriteByte(c byte) error {
	r.b = append(r.b, c)
	return nil
}

// extend lengthens the buffer by n bytes, whose content is undefined.
func (r *buffer) extend(n int) {
	r.b = slices.Grow(r.b, n)[:len(r.b)+n]
}

// bytes returns n bytes of the content from an offset on; nil for a nil buffer.
func (r *buffer) bytes(from, n int) []byte {
	if r == nil {
		return nil
	}
	return r.b[from : from+n]
}

// size returns the number of bytes held, 0 for a nil buffer.
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

// pooledDecoder is a reusable decoder together with its reader.
type pooledDecoder struct {
	reader  bytes.Reader
	decoder *msgpack.Decoder
}

var decoders = sync.Pool{New: func() any {
	pooled := &pooledDecoder{}
	pooled.decoder = msgpack.NewDecoder(&pooled.reader)
	return pooled
}}

// Decode decodes a message body; unknown fields are skipped, and the result shares no
// memory with b. The bytes are validated first, because the decoder allocates whatever a
// length field claims and recurses as deep as the values are nested.
func Decode(b []byte, v any) (err error) {
	if _, err := skipValue(b, maxDepth); err != nil {
		return err
	}
	pooled := decoders.Get().(*pooledDecoder)
	defer func() {
		// The decoder panics on some inputs, such as a field of an interface type that
		// occurs twice. Such input is an error of the peer and must not end this process.
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
