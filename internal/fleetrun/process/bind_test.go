package process

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"
)

// TestMain lets this program run as a child that exits at once, or waits for a signal.
func TestMain(m *testing.M) {
	switch os.Getenv("PROCESS_TEST_CHILD") {
	case "":
	case childWaits:
		select {}
	default:
		return
	}
	os.Exit(m.Run())
}

// childWaits is the mode of a child that waits for a signal.
const childWaits = "waits"

// TestBindWhileProcessesStart checks that an address can be bound again right after its
// listener was closed, while processes are started that hold copies of the listener.
func TestBindWhileProcessesStart(t *testing.T) {
	const address = "127.66.0.1:9000"
	const starters = 4
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range starters {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				child := exec.Command(os.Args[0])
				child.Env = append(os.Environ(), "PROCESS_TEST_CHILD=1")
				_ = child.Run()
			}
		})
	}
	inUse := 0
	for begin := time.Now(); time.Since(begin) < 2*time.Second; {
		var listener net.Listener
		err := Bind(func() (err error) {
			if listener, err = net.Listen("tcp", address); err != nil {
				inUse++
			}
			return err
		})
		if err != nil {
			t.Error(err)
			break
		}
		_ = listener.Close()
	}
	close(stop)
	running.Wait()
	t.Logf("the address was in use %d times", inUse)
}

// TestBindReturnsErrorAfterTimeout checks that Bind fails if the address stays in use.
func TestBindReturnsErrorAfterTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.66.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if Bind(func() error { _, err := net.Listen("tcp", listener.Addr().String()); return err }) == nil {
		t.Error("bound an address that is in use")
	}
}
