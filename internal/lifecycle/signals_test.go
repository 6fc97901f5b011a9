package lifecycle

import (
	"context"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/settings"
	"puffincrank/internal/task"
)

// programVariable is the environment variable that is set in a process that runs as a program.
const programVariable = "RUN_TEST_PROGRAM"

// idleProgram does nothing until it is stopped.
type idleProgram struct{}

func (idleProgram) Start() error { return nil }
func (idleProgram) Stop()        {}

// TestMain runs as a program whose settings take 200 ms to read when a test starts this binary as
// one.
func TestMain(m *testing.M) {
	if os.Getenv(programVariable) == "" {
		os.Exit(m.Run())
	}
	slowSettings := func(string) (map[string]any, error) {
		<-time.After(200 * time.Millisecond)
		return map[string]any{"node": "n", "area": "a", "inner": "127.0.0.1:1", "outer": "127.0.0.1:2", "traffic": "127.0.0.1:3", "seeds": []string{"127.0.0.1:4"}}, nil
	}
	site := Site{Settings: slowSettings, File: func() string { return os.Args[0] }}
	os.Exit(Main("proxy", []string{"--site"}, site, func(settings.Settings, env.Env) (Program, error) { return idleProgram{}, nil }))
}

// TestStopAfterReloadSignals checks that a stop signal leads to a graceful shutdown however soon
// after the start it comes, and however many reload signals came before it and wait while the
// settings are read.
func TestStopAfterReloadSignals(t *testing.T) {
	for _, c := range []struct {
		name string
		wait time.Duration // from the start to the first signal
	}{{"while it starts", 100 * time.Millisecond}, {"while it runs", 600 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), programVariable+"=1")
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			kill := time.AfterFunc(10*time.Second, func() { _ = cmd.Process.Kill() })
			defer kill.Stop()
			<-time.After(c.wait)
			for range 3 {
				_ = cmd.Process.Signal(syscall.SIGHUP)
				<-time.After(20 * time.Millisecond)
			}
			_ = cmd.Process.Signal(syscall.SIGTERM)
			if err := cmd.Wait(); err != nil {
				t.Errorf("the program did not shut down gracefully: %v", err)
			}
		})
	}
}

// slowProgram takes a while to stop.
type slowProgram struct{ mayStop chan struct{} }

func (slowProgram) Start() error { return nil }
func (p slowProgram) Stop()      { <-p.mayStop }

// TestSignalsDuringStop checks that signals during a graceful shutdown neither end it nor are lost:
// each is logged, and the shutdown goes on.
func TestSignalsDuringStop(t *testing.T) {
	stopSignals, reloadSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	var events []string
	log := event.New("n", nil)
	emitted := make(chan struct{}, 2)
	log.SetListener(func(e event.Entry) { events = append(events, e.Name+" "+e.Text); emitted <- struct{}{} })
	program := slowProgram{make(chan struct{})}
	stopped := make(chan struct{})
	group := task.New(t.Context())
	group.Go("stop", func(context.Context) { stop(program, stopSignals, reloadSignals, log); close(stopped) })
	stopSignals <- syscall.SIGTERM
	<-emitted
	reloadSignals <- syscall.SIGHUP
	<-emitted
	select {
	case <-stopped:
		t.Error("stop returned before the program had stopped")
	default:
	}
	close(program.mayStop)
	<-stopped
	if len(events) != 2 || !strings.HasPrefix(events[0], "told-again signal=terminated after_ms=") || !strings.HasPrefix(events[1], "told-again signal=hangup") {
		t.Errorf("events: %q", events)
	}
}
