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

// helper is set in the process that plays a program.
const helper = "RUN_TEST_PROGRAM"

// idle is a program that does nothing until it is told to end.
type idle struct{}

func (idle) Start() error { return nil }
func (idle) Stop()        {}

// TestMain plays a program whose settings take a while to read, where a test starts
// this binary as one.
func TestMain(m *testing.M) {
	if os.Getenv(helper) == "" {
		os.Exit(m.Run())
	}
	slow := func(string) (map[string]any, error) {
		<-time.After(200 * time.Millisecond)
		return map[string]any{"node": "n", "area": "a", "inner": "127.0.0.1:1", "outer": "127.0.0.1:2", "traffic": "127.0.0.1:3", "seeds": []string{"127.0.0.1:4"}}, nil
	}
	site := Site{Settings: slow, File: func() string { return os.Args[0] }}
	os.Exit(Main("proxy", []string{"--site"}, site, func(settings.Settings, env.Env) (Program, error) { return idle{}, nil }))
}

// TestEndInSeries: an order to end is taken and obeyed in order, however soon after
// the start it comes, and however many orders to read the settings came before it
// and wait while they are read.
func TestEndInSeries(t *testing.T) {
	for _, c := range []struct {
		name string
		wait time.Duration // from the start to the first signal
	}{{"while it starts", 100 * time.Millisecond}, {"while it runs", 600 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), helper+"=1")
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
				t.Errorf("it ended with %v", err)
			}
		})
	}
}

// slowStop is a program that takes a while to end.
type slowStop struct{ told chan struct{} }

func (slowStop) Start() error { return nil }
func (p slowStop) Stop()      { <-p.told }

// TestToldAgain: signals that come during a stop neither end it nor are lost: each is
// told of in the log, and the stop goes on.
func TestToldAgain(t *testing.T) {
	ends, again := make(chan os.Signal, 1), make(chan os.Signal, 1)
	var said []string
	log := event.New("n", nil)
	told := make(chan struct{}, 2)
	log.SetListener(func(e event.Entry) { said = append(said, e.Name+" "+e.Text); told <- struct{}{} })
	p := slowStop{make(chan struct{})}
	over := make(chan struct{})
	g := task.New(t.Context())
	g.Go("stop", func(context.Context) { stop(p, ends, again, log); close(over) })
	ends <- syscall.SIGTERM
	<-told
	again <- syscall.SIGHUP
	<-told
	select {
	case <-over:
		t.Error("it ended before its stop was over")
	default:
	}
	close(p.told)
	<-over
	if len(said) != 2 || !strings.HasPrefix(said[0], "told-again signal=terminated after_ms=") || !strings.HasPrefix(said[1], "told-again signal=hangup") {
		t.Errorf("told: %q", said)
	}
}
