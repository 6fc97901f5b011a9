package compression

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/klauspost/compress/flate"

	"puffincrank/internal/fault"
)

// TestOpen: what was packed opens to the same, and what is cut off, of another
// shape or larger than it may be is refused by kind.
func TestOpen(t *testing.T) {
	cols := [][]string{{"a", "b"}, {"", "\x00\xff"}}
	b := EncodeColumns(cols)
	if got, err := DecodeColumns(b, 2); err != nil || !reflect.DeepEqual(got, cols) {
		t.Fatal(got, err)
	}
	var big bytes.Buffer
	w, _ := flate.NewWriter(&big, flate.BestSpeed)
	room := make([]byte, 1<<20)
	for range MaxTableBytes/len(room) + 1 {
		_, _ = w.Write(room)
	}
	_ = w.Close()
	for name, in := range map[string][]byte{"cut": b[:len(b)-2], "nothing": nil, "uneven": EncodeColumns([][]string{{"a"}, {}}), "other": EncodeColumns([][]string{{"a"}}), "big": big.Bytes()} {
		if got, err := DecodeColumns(in, 2); !fault.Is(err, fault.Input) {
			t.Errorf("%s: %v, %v", name, got, err)
		}
	}
}
