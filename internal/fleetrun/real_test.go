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

// loop begins the addresses of this test process: another run of the tests on
// the same machine has others.
func loop() string { return fmt.Sprint("127.", 10+os.Getpid()%200) }

// TestRealFleet runs both deployments' shapes as real processes with one of
// each fault, and judges by counts only. It wants the machine for itself, so
// the test command runs it by name after all the others.
func TestRealFleet(t *testing.T) {
	if os.Getenv("PUFFIN_FLEET") == "" {
		t.Skip("run by itself: PUFFIN_FLEET=1")
	}
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "../../cmd/proxy", "../../cmd/registry", "../../cmd/store")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, s := range []sim.Shape{sim.Fumettoteca(0.15), sim.Ingenzi(0.25)} {
		var out bytes.Buffer
		r, err := New(bin, t.TempDir(), loop(), s, &out)
		if err == nil {
			err = r.Up()
		}
		if err != nil {
			t.Fatalf("%v\n%s", err, out.String())
		}
		if !r.Go("short", 32*time.Second, 20) {
			t.Errorf("%s", out.String())
		}
		if n := r.Obs.Counts(); n["done"] < n["calls"]*9/10 || n["calls"] < 1000 {
			t.Errorf("too few were done: %v\n%s", n, out.String())
		}
		t.Logf("%s: %v", s.Services[0], r.Obs.Counts())
	}
}
