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

// deep has the kinds of fields that messages have.
type deep struct {
	Text string              `msgpack:"s"`
	List []string            `msgpack:"l"`
	Head map[string][]string `msgpack:"h"`
	Raw  msgpack.RawMessage  `msgpack:"r"`
	Any  any                 `msgpack:"a"`
	In   []deep              `msgpack:"i"`
	Body []byte              `msgpack:"b"`
	N    uint64              `msgpack:"n"`
}

// FuzzFrames feeds a reader with hostile bytes: no panic, no room beyond the
// bounds, and an end by a named error or by the end of the bytes.
func FuzzFrames(f *testing.F) {
	add := func(frames ...[]byte) { f.Add(bytes.Join(frames, nil)) }
	h := head{kind: "x", id: 1, timeoutMS: 5, sentAtMS: 3}
	body, _ := msgpack.Marshal(deep{Text: "t", List: []string{"a"}, Head: map[string][]string{"h": {"v"}}, Raw: []byte{1}, Any: 1, In: []deep{{}}, Body: []byte{1}})
	add(h.appendTo(nil, body, false))
	one, two, gone := head{kind: "x", bodyID: 1, remaining: 4}, head{bodyID: 1}, head{bodyID: 1, remaining: -1}
	add(one.appendTo(nil, []byte("abcd"), true), two.appendTo(nil, []byte("efgh"), true))
	add(one.appendTo(nil, []byte("abcd"), true), gone.appendTo(nil, nil, true))
	add(one.appendTo(nil, nil, true), one.appendTo(nil, nil, true), one.appendTo(nil, nil, true))
	sized := func(b ...byte) []byte { return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...) }
	add([]byte{0xff, 0xff, 0xff, 0xff}, []byte{0, 0xff, 0xff, 0xff})
	// Lengths that promise more than there is, and values deep in each other.
	add(sized(0x81, 0xa1, 'k', 0xdb, 0xff, 0xff, 0xff, 0xff), sized(0xdf, 0xff, 0xff, 0xff, 0xff))
	add(sized(0x82, 0xa1, 'b', 0x81, 0xa1, 'b', 0xc6, 0xff, 0xff, 0xff, 0xff, 0xa1, 'i', 1))
	add(sized(append([]byte{0x82, 0xa1, 'z'}, bytes.Repeat([]byte{0x91}, 3000)...)...))
	add(sized(append([]byte{0x81, 0xa1, 'b', 0x81, 0xa1, 'a'}, bytes.Repeat([]byte{0x91}, 3000)...)...))
	f.Fuzz(func(t *testing.T, raw []byte) {
		const bound = 1 << 20
		n := &Node{MaxFrameBytes: bound, handlers: map[string]*handler{"x": {kind: "x"}}}
		l := &link{node: n, conn: &trackedConn{node: n}, partial: map[uint64]*frame{}}
		r := bufio.NewReader(bytes.NewReader(raw))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var err error
		for err == nil {
			var got *frame
			if got, err = l.receive(r); got != nil {
				var in deep
				if err := Decode(got.body, &in); err != nil && !fault.Is(err, fault.Input) {
					t.Errorf("unpack: %v", err)
				}
				got.release()
			}
			if l.partialBytes < 0 || l.partialBytes > 3*bound+frameOverhead {
				t.Fatalf("%d bytes are held", l.partialBytes)
			}
		}
		for _, o := range l.partial {
			l.discardPartial(o)
		}
		if l.partialBytes != 0 {
			t.Errorf("%d bytes are held after all", l.partialBytes)
		}
		runtime.ReadMemStats(&after)
		if took, most := after.TotalAlloc-before.TotalAlloc, uint64(1<<19+1000*len(raw)); took > most {
			t.Errorf("%d bytes of input took %d", len(raw), took)
		}
	})
}
