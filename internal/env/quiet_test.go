package env

import (
	"context"
	"io"
	"net"
	"testing"
)

// TestIsQuiet: a quiet connection is still, one with a byte waiting or an end is
// not; looking takes no byte away.
func TestIsQuiet(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := Real("n").Net.Dial(context.Background(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	remote, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if quiet, known := IsQuiet(conn); !quiet || !known {
		t.Error("a quiet connection is not still")
	}
	if _, err := remote.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for quiet := true; quiet; quiet, _ = IsQuiet(conn) {
	}
	received := make([]byte, 1)
	if _, err := io.ReadFull(conn, received); err != nil || received[0] != 'x' {
		t.Errorf("%v %q", err, received)
	}
	if quiet, _ := IsQuiet(conn); !quiet {
		t.Error("read empty, it is not still")
	}
	_ = remote.Close()
	for quiet := true; quiet; quiet, _ = IsQuiet(conn) {
	}
	pipeA, pipeB := net.Pipe()
	defer pipeA.Close()
	defer pipeB.Close()
	if _, known := IsQuiet(pipeA); known {
		t.Error("a pipe can't be looked at")
	}
}
