package compression

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/klauspost/compress/flate"

	"puffincrank/internal/fault"
)

// TestDecodeColumns checks that an encoded table decodes to the same columns, and that
// truncated, empty, wrongly shaped and oversized input gives an error of the kind
// fault.Input.
func TestDecodeColumns(t *testing.T) {
	cols := [][]string{{"a", "b"}, {"", "\x00\xff"}}
	packed := EncodeColumns(cols)
	if decoded, err := DecodeColumns(packed, 2); err != nil || !reflect.DeepEqual(decoded, cols) {
		t.Fatal(decoded, err)
	}
	var tooLarge bytes.Buffer
	writer, _ := flate.NewWriter(&tooLarge, flate.BestSpeed)
	zeros := make([]byte, 1<<20)
	for range MaxTableBytes/len(zeros) + 1 {
		_, _ = writer.Write(zeros)
	}
	_ = writer.Close()
	for name, input := range map[string][]byte{"cut": packed[:len(packed)-2], "nothing": nil, "uneven": EncodeColumns([][]string{{"a"}, {}}), "other": EncodeColumns([][]string{{"a"}}), "big": tooLarge.Bytes()} {
		if decoded, err := DecodeColumns(input, 2); !fault.Is(err, fault.Input) {
			t.Errorf("%s: %v, %v", name, decoded, err)
		}
	}
}
