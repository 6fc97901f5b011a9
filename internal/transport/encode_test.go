package transport

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// before is a frame as version 1 packs and reads it.
type before struct {
	Kind string             `msgpack:"k,omitempty"`
	ID   uint64             `msgpack:"i,omitempty"`
	Left int64              `msgpack:"l,omitempty"`
	Bad  string             `msgpack:"e,omitempty"`
	Say  string             `msgpack:"s,omitempty"`
	Body msgpack.RawMessage `msgpack:"b,omitempty"`
}

// TestCode: frames are read as they were written, by both versions.
func TestCode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.RuneFrom([]rune("ab.")), 0, 70000, -1)
		count := rapid.Int64Range(0, 1<<62)
		body, _ := msgpack.Marshal(map[string]any{"x": rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body"), "n": rapid.Int64().Draw(t, "n")})
		h := head{kind: text.Draw(t, "kind"), id: rapid.Uint64().Draw(t, "id"), timeoutMS: count.Draw(t, "left"), sentAtMS: count.Draw(t, "at"), errorCode: text.Draw(t, "bad"),
			errorText: text.Draw(t, "say"), lane: rapid.IntRange(0, LaneBulk).Draw(t, "lane"), bodyID: uint64(count.Draw(t, "part")), remaining: rapid.Int64Range(-1, 1<<40).Draw(t, "rest")}
		cut := rapid.Bool().Draw(t, "cut")
		raw := h.appendTo(nil, body, cut)
		if most := maxHeadSize + len(h.kind) + len(h.errorCode) + len(h.errorText) + len(body); len(raw) > most {
			t.Fatalf("%d bytes, over %d", len(raw), most)
		}
		var f frame
		if err := f.parse(raw[4:], func(b []byte) string { return string(b) }); err != nil {
			t.Fatal(err)
		}
		if f.head != h || !bytes.Equal(f.body, body) || f.chunk != cut {
			t.Fatalf("%+v was read as %+v", h, f.head)
		}
		if cut {
			return
		}
		var old before
		if err := msgpack.Unmarshal(raw[4:], &old); err != nil {
			t.Fatal(err)
		}
		if want := (before{h.kind, h.id, h.timeoutMS, h.errorCode, h.errorText, body}); !reflect.DeepEqual(old, want) {
			t.Fatalf("version 1 read %+v", old)
		}
		raw, _ = msgpack.Marshal(old)
		f = frame{}
		if err := f.parse(raw, func(b []byte) string { return string(b) }); err != nil {
			t.Fatal(err)
		}
		if want := (head{kind: h.kind, id: h.id, timeoutMS: h.timeoutMS, errorCode: h.errorCode, errorText: h.errorText}); f.head != want || !bytes.Equal(f.body, body) {
			t.Fatalf("of version 1 was read %+v", f.head)
		}
	})
}

// TestOrder: fields may come in any order, and later ones are passed over.
func TestOrder(t *testing.T) {
	raw, _ := msgpack.Marshal(map[string]any{"b": map[string]int{"q": 1}, "later": []any{1, "x", nil, 1.5}, "i": uint64(7), "l": int8(-3), "z": map[string]any{"y": []byte{1}}})
	for range 20 {
		var f frame
		if err := f.parse(raw, func(b []byte) string { return string(b) }); err != nil || f.id != 7 || f.timeoutMS != -3 {
			t.Fatalf("%+v %v", f.head, err)
		}
		var in map[string]int
		if err := Decode(f.body, &in); err != nil || in["q"] != 1 {
			t.Fatalf("%v %v", in, err)
		}
		raw, _ = msgpack.Marshal(map[string]any{"b": map[string]int{"q": 1}, "later": []any{1, "x", nil, 1.5}, "i": uint64(7), "l": int8(-3)})
	}
}
