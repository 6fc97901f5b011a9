package soak

import (
	"bytes"
	"fmt"
	"os"
	"testing"
	"time"
)

// TestMain runs this program as a process of the cluster if a soak run started it as one.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 {
		if code, ok := RunProcess(os.Args[1]); ok {
			os.Exit(code)
		}
	}
	os.Exit(m.Run())
}

// ciSeeds are the seeds that CI runs; use cmd/soak for others.
var ciSeeds = []uint64{11, 12}

// TestSoak runs real processes under overlapping disruptions. It needs the machine for
// itself, so the test script runs it by name after all other tests.
func TestSoak(t *testing.T) {
	if os.Getenv("PUFFIN_FLEET") == "" {
		t.Skip("needs the machine for itself; set PUFFIN_FLEET=1 to run it")
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range ciSeeds {
		var out bytes.Buffer
		ok, err := Run(Options{Seed: seed, Machines: 12, Duration: 20 * time.Second, Dir: t.TempDir(), Program: program, AddressPrefix: fmt.Sprint("127.", 10+os.Getpid()%200), Out: &out})
		if err != nil || !ok {
			t.Errorf("%v\n%s", err, out.String())
		}
		t.Logf("%s", out.String())
	}
}

// TestDeployment checks that every route leads to an existing service, and that every
// service has machines.
func TestDeployment(t *testing.T) {
	draft := initialDraft(requestLines(6))
	servicesWithMachines := map[string]bool{}
	for i := range 12 {
		servicesWithMachines[serviceOf(i)] = true
	}
	for _, route := range draft.Routes {
		for service := range route.Split {
			if !servicesWithMachines[service] {
				t.Errorf("route %s leads to service %s, which no machine serves", route.Name, service)
			}
		}
	}
	if len(servicesWithMachines) != len(services) {
		t.Errorf("not every service has a machine: %v", servicesWithMachines)
	}
}

// TestCompareUsage checks that resources over the limits after a run are reported, and moderate
// growth is not.
func TestCompareUsage(t *testing.T) {
	before := resourceUsage{files: 20, links: 20, goroutines: 60, memory: 30 << 20}
	for _, c := range []struct {
		name       string
		after      resourceUsage
		violations int
	}{
		{"no change", before, 0},
		{"moderate growth", resourceUsage{75, 30, 200, 100 << 20}, 0},
		{"descriptors", resourceUsage{90, 20, 60, 30 << 20}, 1},
		{"links", resourceUsage{20, 40, 60, 30 << 20}, 1},
		{"goroutines", resourceUsage{20, 20, 500, 30 << 20}, 1},
		{"memory", resourceUsage{20, 20, 60, 300 << 20}, 1},
		{"all resources", resourceUsage{90, 40, 500, 300 << 20}, 4},
	} {
		f := newFleet(Options{Machines: 6, Out: &bytes.Buffer{}, Dir: t.TempDir(), AddressPrefix: "127.0"})
		f.compareUsage(usageByProgram{"proxy": before}, usageByProgram{"proxy": c.after})
		if len(f.violations) != c.violations {
			t.Errorf("%s: violations %q", c.name, f.violations)
		}
	}
}
