package process

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"
)

// TestMain lets this program be a child that ends at once, or waits to be ended.
func TestMain(m *testing.M) {
	switch os.Getenv("PROCESS_TEST_CHILD") {
	case "":
	case waits:
		select {}
	default:
		return
	}
	os.Exit(m.Run())
}

// waits is the way of a child that waits to be ended.
const waits = "waits"

// TestBindWhileProcessesStart: an address whose listener has just ended is bound
// again while other processes are being started, which hold copies of the listener.
func TestBindWhileProcessesStart(t *testing.T) {
	const address = "127.66.0.1:9000"
	const starters = 4
	stop := make(chan struct{})
	var over sync.WaitGroup
	for range starters {
		over.Go(func() {
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
	for from := time.Now(); time.Since(from) < 2*time.Second; {
		var ear net.Listener
		err := Bind(func() (err error) {
			if ear, err = net.Listen("tcp", address); err != nil {
				inUse++
			}
			return err
		})
		if err != nil {
			t.Error(err)
			break
		}
		_ = ear.Close()
	}
	close(stop)
	over.Wait()
	t.Logf("the address was in use %d times", inUse)
}

// TestBindGivesUp: an address that stays in use is an error.
func TestBindGivesUp(t *testing.T) {
	ear, err := net.Listen("tcp", "127.66.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ear.Close()
	if Bind(func() error { _, err := net.Listen("tcp", ear.Addr().String()); return err }) == nil {
		t.Error("bound twice")
	}
}
