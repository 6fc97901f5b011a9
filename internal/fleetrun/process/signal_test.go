package process

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"puffincrank/internal/task"
)

// TestSignalToEndedProcess checks that a late signal to a process does not reach its
// successor. The soak test sends some nodes a second stop signal up to 4 s after the first.
// If the node had been restarted by then, the signal ended the new process, which was not
// started again: "not every node is ready after the last trouble".
func TestSignalToEndedProcess(t *testing.T) {
	tasks := task.New(context.Background())
	defer tasks.Stop()
	p := &Process{Name: "child", Log: filepath.Join(t.TempDir(), "log"), Command: func() *exec.Cmd {
		child := exec.Command(os.Args[0])
		child.Env = append(os.Environ(), "PROCESS_TEST_CHILD="+childWaits)
		return child
	}}
	start := func() int {
		if err := p.Start(tasks); err != nil {
			t.Fatal(err)
		}
		return p.PID()
	}
	first := start()
	p.Stop(syscall.SIGKILL, time.Second)
	second := start()
	p.SignalTo(first, syscall.SIGTERM)
	<-time.After(200 * time.Millisecond)
	if code, took := p.Stop(0, 100*time.Millisecond); took < 100*time.Millisecond {
		t.Errorf("the second process ended with %d after a signal to the first", code)
	}
	if first == second {
		t.Error("both processes have the same PID: the test proves nothing")
	}
}
