package env

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestTuneConn checks that the options are set on both ends of a TCP connection, that a
// closed one gives an error, and that a connection without a socket is left unchanged.
func TestTuneConn(t *testing.T) {
	network := Real("x").Net
	listener, err := network.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := network.Dial(context.Background(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	for _, conn := range []net.Conn{client, server} {
		if err := TuneConn(conn, 1500*time.Millisecond, 9000); err != nil {
			t.Fatal(err)
		}
		raw, err := conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		_ = raw.Control(func(fd uintptr) {
			if got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); got != 1500 || err != nil {
				t.Errorf("TCP_USER_TIMEOUT is %d: %v", got, err)
			}
			if got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT); got != 9000 || err != nil {
				t.Errorf("TCP_NOTSENT_LOWAT is %d: %v", got, err)
			}
		})
		_ = conn.Close()
	}
	if TuneConn(client, time.Second, 1) == nil {
		t.Error("options were set on a closed connection")
	}
	pipe, _ := net.Pipe()
	if err := TuneConn(pipe, time.Second, 1); err != nil {
		t.Error(err)
	}
}
