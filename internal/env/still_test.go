package env

import (
	"context"
	"io"
	"net"
	"testing"
)

// TestStill: a quiet connection is still, one with a byte waiting or an end is
// not; looking takes no byte away.
func TestStill(t *testing.T) {
	ear, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ear.Close()
	c, err := Real("n").Net.Dial(context.Background(), ear.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := ear.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if still, known := IsQuiet(c); !still || !known {
		t.Error("a quiet connection is not still")
	}
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for still := true; still; still, _ = IsQuiet(c) {
	}
	b := make([]byte, 1)
	if _, err := io.ReadFull(c, b); err != nil || b[0] != 'x' {
		t.Errorf("%v %q", err, b)
	}
	if still, _ := IsQuiet(c); !still {
		t.Error("read empty, it is not still")
	}
	_ = far.Close()
	for still := true; still; still, _ = IsQuiet(c) {
	}
	a, z := net.Pipe()
	defer a.Close()
	defer z.Close()
	if _, known := IsQuiet(a); known {
		t.Error("a pipe can't be looked at")
	}
}
