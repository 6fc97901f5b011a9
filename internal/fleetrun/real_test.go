package fleetrun

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"testing"
	"time"

	"puffincrank/internal/sim"
)

// loopbackPrefix returns the first two numbers of the addresses of this test process.
// They depend on its PID, so that several test runs on one machine do not collide.
func loopbackPrefix() string { return fmt.Sprint("127.", 10+os.Getpid()%200) }

// TestRealFleet runs both deployment shapes as real processes with one fault of each kind
// and checks counts only, no times. It needs the machine for itself, so the test script
// runs it by name after all other tests.
func TestRealFleet(t *testing.T) {
	if os.Getenv("PUFFIN_FLEET") == "" {
		t.Skip("needs the machine for itself; set PUFFIN_FLEET=1 to run it")
	}
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs, "../../cmd/proxy", "../../cmd/registry", "../../cmd/store")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, s := range []sim.Shape{sim.Fumettoteca(0.15), sim.Ingenzi(0.25)} {
		var out bytes.Buffer
		r, err := New(programs, t.TempDir(), loopbackPrefix(), s, &out)
		if err == nil {
			err = r.Start()
		}
		if err != nil {
			t.Fatalf("%v\n%s", err, out.String())
		}
		if !r.Execute("short", 32*time.Second, 20) {
			t.Errorf("%s", out.String())
		}
		if counts := r.Observer.Counts(); counts["done"] < counts["calls"]*9/10 || counts["calls"] < 1000 {
			t.Errorf("too few calls were made or succeeded: %v\n%s", counts, out.String())
		}
		t.Logf("%s: %v", s.Services[0], r.Observer.Counts())
	}
}
