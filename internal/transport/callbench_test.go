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

// BenchmarkCall measures a round trip over the loopback interface.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{100, 10_000, 200_000} {
		for _, callers := range []int{1, 16} {
			b.Run(fmt.Sprintf("%dB/%d callers", size, callers), func(b *testing.B) { benchmarkCalls(b, size, callers) })
		}
	}
}

func benchmarkCalls(b *testing.B, size, callers int) {
	tasks := task.New(context.Background())
	newNode := func(name string) *transport.Node {
		return transport.NewNode(transport.Hello{ClusterID: "m", Node: name, Zone: "x"}, env.Real(name), tasks, 16<<20, 2048, time.Second)
	}
	client, server := newNode("one"), newNode("two")
	transport.Handle(server, "ping", func(_ context.Context, _ transport.Hello, message ping) (ping, error) { return message, nil })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	if err := server.Listen(addr); err != nil {
		b.Fatal(err)
	}
	defer func() {
		tasks.Cancel()
		client.Close()
		server.Close()
		tasks.Stop()
	}()
	message := ping{Body: make([]byte, size)}
	call := func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if _, err := transport.Call[ping](ctx, client, addr, "ping", message); err != nil {
			b.Error(err)
		}
	}
	call()
	b.ReportAllocs()
	b.SetParallelism(max(1, callers/runtime.GOMAXPROCS(0)))
	b.ResetTimer()
	if callers == 1 {
		for range b.N {
			call()
		}
		return
	}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			call()
		}
	})
}
