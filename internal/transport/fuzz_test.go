package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/fault"
)

// allFieldKinds has every kind of field that messages have.
type allFieldKinds struct {
	Text string              `msgpack:"s"`
	List []string            `msgpack:"l"`
	Head map[string][]string `msgpack:"h"`
	Raw  msgpack.RawMessage  `msgpack:"r"`
	Any  any                 `msgpack:"a"`
	In   []allFieldKinds     `msgpack:"i"`
	Body []byte              `msgpack:"b"`
	N    uint64              `msgpack:"n"`
}

// FuzzFrames feeds hostile bytes to a reader: it must not panic, must not allocate beyond
// the limits, and must end with an input error or at the end of the bytes.
func FuzzFrames(f *testing.F) {
	add := func(frames ...[]byte) { f.Add(bytes.Join(frames, nil)) }
	header := head{kind: "x", id: 1, timeoutMS: 5, sentAtMS: 3}
	body, _ := msgpack.Marshal(allFieldKinds{Text: "t", List: []string{"a"}, Head: map[string][]string{"h": {"v"}}, Raw: []byte{1}, Any: 1, In: []allFieldKinds{{}}, Body: []byte{1}})
	add(header.appendTo(nil, body, false))
	first, second, withdrawn := head{kind: "x", bodyID: 1, remaining: 4}, head{bodyID: 1}, head{bodyID: 1, remaining: -1}
	add(first.appendTo(nil, []byte("abcd"), true), second.appendTo(nil, []byte("efgh"), true))
	add(first.appendTo(nil, []byte("abcd"), true), withdrawn.appendTo(nil, nil, true))
	add(first.appendTo(nil, nil, true), first.appendTo(nil, nil, true), first.appendTo(nil, nil, true))
	withLength := func(b ...byte) []byte { return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...) }
	add([]byte{0xff, 0xff, 0xff, 0xff}, []byte{0, 0xff, 0xff, 0xff})
	// Lengths that exceed the input, and deeply nested values.
	add(withLength(0x81, 0xa1, 'k', 0xdb, 0xff, 0xff, 0xff, 0xff), withLength(0xdf, 0xff, 0xff, 0xff, 0xff))
	add(withLength(0x82, 0xa1, 'b', 0x81, 0xa1, 'b', 0xc6, 0xff, 0xff, 0xff, 0xff, 0xa1, 'i', 1))
	add(withLength(append([]byte{0x82, 0xa1, 'z'}, bytes.Repeat([]byte{0x91}, 3000)...)...))
	add(withLength(append([]byte{0x81, 0xa1, 'b', 0x81, 0xa1, 'a'}, bytes.Repeat([]byte{0x91}, 3000)...)...))
	f.Fuzz(func(t *testing.T, input []byte) {
		const bound = 1 << 20
		n := &Node{MaxFrameBytes: bound, handlers: map[string]*handler{"x": {kind: "x"}}}
		l := &link{node: n, conn: &trackedConn{node: n}, partial: map[uint64]*frame{}}
		r := bufio.NewReader(bytes.NewReader(input))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var err error
		for err == nil {
			var got *frame
			if got, err = l.receive(r); got != nil {
				var message allFieldKinds
				if err := Decode(got.body, &message); err != nil && !fault.Is(err, fault.Input) {
					t.Errorf("decode: %v", err)
				}
				got.release()
			}
			if l.partialBytes < 0 || l.partialBytes > 3*bound+frameOverhead {
				t.Fatalf("%d bytes of incomplete bodies are held", l.partialBytes)
			}
		}
		for _, partial := range l.partial {
			l.discardPartial(partial)
		}
		if l.partialBytes != 0 {
			t.Errorf("%d bytes are still held after all bodies were discarded", l.partialBytes)
		}
		runtime.ReadMemStats(&after)
		if allocated, limit := after.TotalAlloc-before.TotalAlloc, uint64(1<<19+1000*len(input)); allocated > limit {
			t.Errorf("%d bytes of input made the reader allocate %d", len(input), allocated)
		}
	})
}
