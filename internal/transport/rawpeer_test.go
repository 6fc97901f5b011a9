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

// rawFrame is a frame as version 1 encodes it, with the fields that came later.
type rawFrame struct {
	Kind      string             `msgpack:"k,omitempty"`
	ID        uint64             `msgpack:"i,omitempty"`
	TimeoutMS int64              `msgpack:"l,omitempty"`
	ErrorCode string             `msgpack:"e,omitempty"`
	ErrorText string             `msgpack:"s,omitempty"`
	Body      msgpack.RawMessage `msgpack:"b,omitempty"`
	SentAtMS  int64              `msgpack:"t,omitempty"`
}

// rawPeer is a peer that encodes its frames by itself.
type rawPeer struct {
	conn   net.Conn
	reader *bufio.Reader
	// helloSent is when its hello was sent.
	helloSent time.Time
}

// now returns the current time as frames carry it.
func (f *rawPeer) now() int64 { return 1 + time.Since(f.helloSent).Milliseconds() }

// dialRaw connects to the server of a pair as a peer that supports versions up to maxVersion.
func dialRaw(t *testing.T, pair *nodePair, maxVersion int) *rawPeer {
	t.Helper()
	conn, err := pair.net.Host("h1").Dial(t.Context(), "h2:1")
	if err != nil {
		t.Fatal(err)
	}
	peer := &rawPeer{conn, bufio.NewReader(conn), time.Now()}
	peer.write(t, transport.Hello{Magic: "puffincrank", ClusterID: "m", MinVersion: 1, MaxVersion: maxVersion, Node: "plain"})
	var hello transport.Hello
	peer.read(t, &hello)
	return peer
}

func (f *rawPeer) write(t *testing.T, message any) {
	t.Helper()
	encoded, err := msgpack.Marshal(message)
	if err == nil {
		_, err = f.conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(encoded))), encoded...))
	}
	if err != nil {
		t.Fatal(err)
	}
}

func (f *rawPeer) read(t *testing.T, message any) {
	t.Helper()
	_ = f.conn.SetReadDeadline(time.Now().Add(time.Minute))
	head := make([]byte, 4)
	if _, err := io.ReadFull(f.reader, head); err != nil {
		t.Fatal(err)
	}
	encoded := make([]byte, binary.BigEndian.Uint32(head))
	if _, err := io.ReadFull(f.reader, encoded); err != nil {
		t.Fatal(err)
	}
	if err := msgpack.Unmarshal(encoded, message); err != nil {
		t.Fatal(err)
	}
}

func (f *rawPeer) readFrame(t *testing.T) rawFrame {
	t.Helper()
	var got rawFrame
	f.read(t, &got)
	return got
}
