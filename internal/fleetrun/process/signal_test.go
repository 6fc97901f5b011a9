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

// TestSignalTo: a late signal to a process does not reach the one that was started
// after it.
//
// A soak told a node to end a second time, up to 4 s after the first; where that had
// ended and was started again by then, the new process ended and stayed away: "not every
// node is ready after the last trouble".
func TestSignalTo(t *testing.T) {
	g := task.New(context.Background())
	defer g.Stop()
	p := &Process{Name: "child", Log: filepath.Join(t.TempDir(), "log"), Command: func() *exec.Cmd {
		child := exec.Command(os.Args[0])
		child.Env = append(os.Environ(), "PROCESS_TEST_CHILD="+waits)
		return child
	}}
	start := func() int {
		if err := p.Start(g); err != nil {
			t.Fatal(err)
		}
		return p.ID()
	}
	first := start()
	p.End(syscall.SIGKILL, time.Second)
	second := start()
	p.SignalTo(first, syscall.SIGTERM)
	<-time.After(200 * time.Millisecond)
	if code, took := p.End(0, 100*time.Millisecond); took < 100*time.Millisecond {
		t.Errorf("the second ended with %d by a signal to the first", code)
	}
	if first == second {
		t.Error("both have one number: the test shows nothing")
	}
}
