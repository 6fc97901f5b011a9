package run

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/props"
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
	os.Exit(Main("proxy", []string{"--site"}, site, func(props.Props, env.Env) (Program, error) { return idle{}, nil }))
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
