// Package compression encodes tables of strings column by column, since the values of one
// column resemble each other, and compresses the result with DEFLATE.
package compression

import (
	"bytes"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/fault"
)

// MaxTableBytes is the largest decompressed size. Decompress rejects input that
// decompresses to more without reading the rest of it, so memory stays bounded.
const MaxTableBytes = 64 << 20

// The buffers of a flate writer or reader are large compared with a message, so both are
// reused.
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

// EncodeColumns encodes and compresses the columns of a table.
func EncodeColumns(cols [][]string) []byte {
	plain, err := msgpack.Marshal(cols)
	if err != nil {
		// Encoding strings to memory can't fail.
		panic(err)
	}
	return Compress(plain)
}

// Compress compresses bytes with DEFLATE.
func Compress(plain []byte) []byte {
	var buffer bytes.Buffer
	writer := writers.Get().(*flate.Writer)
	defer writers.Put(writer)
	writer.Reset(&buffer)
	_, _ = writer.Write(plain)
	_ = writer.Close()
	return buffer.Bytes()
}

// DecodeColumns decodes a table of exactly the given number of columns, all of the same
// length. Errors are of the kind fault.Input.
func DecodeColumns(packed []byte, columns int) ([][]string, error) {
	plain, err := Decompress(packed)
	if err != nil {
		return nil, err
	}
	var cols [][]string
	if err := msgpack.Unmarshal(plain, &cols); err != nil {
		return nil, fault.Wrap(fault.Input, err, "compressed table")
	}
	if len(cols) != columns {
		return nil, fault.New(fault.Input, "compressed table has %d columns, want %d", len(cols), columns)
	}
	for _, c := range cols {
		if len(c) != len(cols[0]) {
			return nil, fault.New(fault.Input, "columns of %d and %d rows", len(cols[0]), len(c))
		}
	}
	return cols, nil
}

// Decompress reverses Compress. Errors are of the kind fault.Input.
func Decompress(compressed []byte) ([]byte, error) {
	reader := readers.Get().(io.ReadCloser)
	defer readers.Put(reader)
	_ = reader.(flate.Resetter).Reset(bytes.NewReader(compressed), nil)
	plain, err := io.ReadAll(io.LimitReader(reader, MaxTableBytes+1))
	if err == nil && len(plain) > MaxTableBytes {
		err = fault.New(fault.Input, "decompressed size is over %d bytes", MaxTableBytes)
	}
	if err != nil {
		return nil, fault.Wrap(fault.Input, err, "compressed data")
	}
	return plain, nil
}
