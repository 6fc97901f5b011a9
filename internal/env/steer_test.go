package env

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestSteer: both ends of a real connection carry the bound, and a connection
// of another kind is left alone.
func TestSteer(t *testing.T) {
	n := Real("x").Net
	ear, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ear.Close() }()
	one, err := n.Dial(context.Background(), ear.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	two, err := ear.Accept()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []net.Conn{one, two} {
		if err := TuneConn(c, 1500*time.Millisecond, 9000); err != nil {
			t.Fatal(err)
		}
		raw, err := c.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		_ = raw.Control(func(fd uintptr) {
			if got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); got != 1500 || err != nil {
				t.Errorf("the bound is %d: %v", got, err)
			}
			if got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT); got != 9000 || err != nil {
				t.Errorf("it takes %d bytes: %v", got, err)
			}
		})
		_ = c.Close()
	}
	if TuneConn(one, time.Second, 1) == nil {
		t.Error("a closed connection was steered")
	}
	a, _ := net.Pipe()
	if err := TuneConn(a, time.Second, 1); err != nil {
		t.Error(err)
	}
}
