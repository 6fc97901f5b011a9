package transport_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/task"
	"puffincrank/internal/transport"
)

// BenchmarkCall measures a round trip over the machine's own loopback.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{100, 10_000, 200_000} {
		for _, many := range []int{1, 16} {
			b.Run(fmt.Sprintf("%dB/%d callers", size, many), func(b *testing.B) { calls(b, size, many) })
		}
	}
}

func calls(b *testing.B, size, many int) {
	g := task.New(context.Background())
	mk := func(name string) *transport.Node {
		return transport.NewNode(transport.Hello{ClusterID: "m", Node: name, Zone: "x"}, env.Real(name), g, 16<<20, 2048, time.Second)
	}
	one, two := mk("one"), mk("two")
	transport.Handle(two, "ping", func(_ context.Context, _ transport.Hello, in ping) (ping, error) { return in, nil })
	ear, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	at := ear.Addr().String()
	_ = ear.Close()
	if err := two.Listen(at); err != nil {
		b.Fatal(err)
	}
	defer func() {
		g.Cancel()
		one.Close()
		two.Close()
		g.Stop()
	}()
	in := ping{Body: make([]byte, size)}
	ask := func() {
		ctx, end := context.WithTimeout(context.Background(), 5*time.Second)
		defer end()
		if _, err := transport.Call[ping](ctx, one, at, "ping", in); err != nil {
			b.Error(err)
		}
	}
	ask()
	b.ReportAllocs()
	b.SetParallelism(max(1, many/runtime.GOMAXPROCS(0)))
	b.ResetTimer()
	if many == 1 {
		for range b.N {
			ask()
		}
		return
	}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ask()
		}
	})
}
