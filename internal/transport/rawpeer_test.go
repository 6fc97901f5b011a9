package transport_test

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/transport"
)

// old is a frame as version 1 packs it, with the fields that came later.
type old struct {
	Kind string             `msgpack:"k,omitempty"`
	ID   uint64             `msgpack:"i,omitempty"`
	Left int64              `msgpack:"l,omitempty"`
	Bad  string             `msgpack:"e,omitempty"`
	Say  string             `msgpack:"s,omitempty"`
	Body msgpack.RawMessage `msgpack:"b,omitempty"`
	At   int64              `msgpack:"t,omitempty"`
}

// plain is a fellow made by hand, frame by frame.
type plain struct {
	c net.Conn
	r *bufio.Reader
	// said is when its hello went out.
	said time.Time
}

// now is what it calls now in its frames.
func (f *plain) now() int64 { return 1 + time.Since(f.said).Milliseconds() }

// fellow dials p.b by hand as one that speaks up to a version.
func fellow(t *testing.T, p *pair, high int) *plain {
	t.Helper()
	c, err := p.net.Host("h1").Dial(t.Context(), "h2:1")
	if err != nil {
		t.Fatal(err)
	}
	f := &plain{c, bufio.NewReader(c), time.Now()}
	f.say(t, transport.Hello{Magic: "puffincrank", ClusterID: "m", MinVersion: 1, MaxVersion: high, Node: "plain"})
	var got transport.Hello
	f.get(t, &got)
	return f
}

func (f *plain) say(t *testing.T, v any) {
	t.Helper()
	raw, err := msgpack.Marshal(v)
	if err == nil {
		_, err = f.c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(raw))), raw...))
	}
	if err != nil {
		t.Fatal(err)
	}
}

func (f *plain) get(t *testing.T, v any) {
	t.Helper()
	_ = f.c.SetReadDeadline(time.Now().Add(time.Minute))
	head := make([]byte, 4)
	if _, err := io.ReadFull(f.r, head); err != nil {
		t.Fatal(err)
	}
	raw := make([]byte, binary.BigEndian.Uint32(head))
	if _, err := io.ReadFull(f.r, raw); err != nil {
		t.Fatal(err)
	}
	if err := msgpack.Unmarshal(raw, v); err != nil {
		t.Fatal(err)
	}
}

func (f *plain) hear(t *testing.T) old {
	t.Helper()
	var got old
	f.get(t, &got)
	return got
}
