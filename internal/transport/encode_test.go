package transport

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// version1Frame is a frame as version 1 encodes and decodes it.
type version1Frame struct {
	Kind      string             `msgpack:"k,omitempty"`
	ID        uint64             `msgpack:"i,omitempty"`
	TimeoutMS int64              `msgpack:"l,omitempty"`
	ErrorCode string             `msgpack:"e,omitempty"`
	ErrorText string             `msgpack:"s,omitempty"`
	Body      msgpack.RawMessage `msgpack:"b,omitempty"`
}

// TestFrameEncoding checks that both versions decode what the other encodes.
func TestFrameEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		anyText := rapid.StringOfN(rapid.RuneFrom([]rune("ab.")), 0, 70000, -1)
		anyCount := rapid.Int64Range(0, 1<<62)
		body, _ := msgpack.Marshal(map[string]any{"x": rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body"), "n": rapid.Int64().Draw(t, "n")})
		header := head{kind: anyText.Draw(t, "kind"), id: rapid.Uint64().Draw(t, "id"), timeoutMS: anyCount.Draw(t, "left"), sentAtMS: anyCount.Draw(t, "at"), errorCode: anyText.Draw(t, "bad"),
			errorText: anyText.Draw(t, "say"), lane: rapid.IntRange(0, LaneBulk).Draw(t, "lane"), bodyID: uint64(anyCount.Draw(t, "part")), remaining: rapid.Int64Range(-1, 1<<40).Draw(t, "rest")}
		chunk := rapid.Bool().Draw(t, "cut")
		encoded := header.appendTo(nil, body, chunk)
		if limit := maxHeadSize + len(header.kind) + len(header.errorCode) + len(header.errorText) + len(body); len(encoded) > limit {
			t.Fatalf("encoded frame of %d bytes exceeds its limit of %d", len(encoded), limit)
		}
		var f frame
		if err := f.parse(encoded[4:], func(b []byte) string { return string(b) }); err != nil {
			t.Fatal(err)
		}
		if f.head != header || !bytes.Equal(f.body, body) || f.chunk != chunk {
			t.Fatalf("%+v was decoded as %+v", header, f.head)
		}
		if chunk {
			return
		}
		var old version1Frame
		if err := msgpack.Unmarshal(encoded[4:], &old); err != nil {
			t.Fatal(err)
		}
		if want := (version1Frame{header.kind, header.id, header.timeoutMS, header.errorCode, header.errorText, body}); !reflect.DeepEqual(old, want) {
			t.Fatalf("version 1 decoded %+v", old)
		}
		encoded, _ = msgpack.Marshal(old)
		f = frame{}
		if err := f.parse(encoded, func(b []byte) string { return string(b) }); err != nil {
			t.Fatal(err)
		}
		if want := (head{kind: header.kind, id: header.id, timeoutMS: header.timeoutMS, errorCode: header.errorCode, errorText: header.errorText}); f.head != want || !bytes.Equal(f.body, body) {
			t.Fatalf("frame of version 1 was decoded as %+v", f.head)
		}
	})
}

// TestFieldOrder checks that fields may come in any order and that unknown ones are skipped.
func TestFieldOrder(t *testing.T) {
	encoded, _ := msgpack.Marshal(map[string]any{"b": map[string]int{"q": 1}, "later": []any{1, "x", nil, 1.5}, "i": uint64(7), "l": int8(-3), "z": map[string]any{"y": []byte{1}}})
	for range 20 {
		var f frame
		if err := f.parse(encoded, func(b []byte) string { return string(b) }); err != nil || f.id != 7 || f.timeoutMS != -3 {
			t.Fatalf("decoded %+v: %v", f.head, err)
		}
		var message map[string]int
		if err := Decode(f.body, &message); err != nil || message["q"] != 1 {
			t.Fatalf("decoded body %v: %v", message, err)
		}
		encoded, _ = msgpack.Marshal(map[string]any{"b": map[string]int{"q": 1}, "later": []any{1, "x", nil, 1.5}, "i": uint64(7), "l": int8(-3)})
	}
}
