// Package compression packs tables of texts: column after column, since what stands
// below each other is alike, and then compressed.
package compression

import (
	"bytes"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/fault"
)

// MaxTableBytes is how long a table may be when it is opened, in bytes: what claims more
// is refused before room is made for it.
const MaxTableBytes = 64 << 20

// The room of a packer and an opener is large against a message, so they are
// used again.
var (
	writers = sync.Pool{New: func() any {
		w, err := flate.NewWriter(nil, flate.DefaultCompression)
		if err != nil {
			panic(err)
		}
		return w
	}}
	readers = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

// EncodeColumns writes columns.
func EncodeColumns(cols [][]string) []byte {
	plain, err := msgpack.Marshal(cols)
	if err != nil {
		// Texts can't fail to be written to memory.
		panic(err)
	}
	return Compress(plain)
}

// Compress compresses bytes.
func Compress(plain []byte) []byte {
	var buffer bytes.Buffer
	writer := writers.Get().(*flate.Writer)
	defer writers.Put(writer)
	writer.Reset(&buffer)
	_, _ = writer.Write(plain)
	_ = writer.Close()
	return buffer.Bytes()
}

// DecodeColumns reads columns; there must be wide of them, all of one length. The error
// is of the kind fault.Input.
func DecodeColumns(packed []byte, columns int) ([][]string, error) {
	plain, err := Decompress(packed)
	if err != nil {
		return nil, err
	}
	var cols [][]string
	if err := msgpack.Unmarshal(plain, &cols); err != nil {
		return nil, fault.Wrap(fault.Input, err, "a packed table")
	}
	if len(cols) != columns {
		return nil, fault.New(fault.Input, "a packed table of %d columns, not %d", len(cols), columns)
	}
	for _, c := range cols {
		if len(c) != len(cols[0]) {
			return nil, fault.New(fault.Input, "columns of %d and %d rows", len(cols[0]), len(c))
		}
	}
	return cols, nil
}

// Decompress gives the bytes that were shrunk; the error is of the kind fault.Input.
func Decompress(compressed []byte) ([]byte, error) {
	reader := readers.Get().(io.ReadCloser)
	defer readers.Put(reader)
	_ = reader.(flate.Resetter).Reset(bytes.NewReader(compressed), nil)
	plain, err := io.ReadAll(io.LimitReader(reader, MaxTableBytes+1))
	if err == nil && len(plain) > MaxTableBytes {
		err = fault.New(fault.Input, "over %d bytes", MaxTableBytes)
	}
	if err != nil {
		return nil, fault.Wrap(fault.Input, err, "packed bytes")
	}
	return plain, nil
}
