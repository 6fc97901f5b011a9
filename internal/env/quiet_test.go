package env

import (
	"context"
	"io"
	"net"
	"testing"
)

// TestIsQuiet checks that an idle connection is reported as quiet, that one with an unread
// byte or a closed peer is not, and that the check consumes no byte.
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
		t.Error("an idle connection is not quiet")
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
		t.Error("the connection is not quiet after its byte was read")
	}
	_ = remote.Close()
	for quiet := true; quiet; quiet, _ = IsQuiet(conn) {
	}
	pipeA, pipeB := net.Pipe()
	defer pipeA.Close()
	defer pipeB.Close()
	if _, known := IsQuiet(pipeA); known {
		t.Error("the state of a pipe can't be known")
	}
}
