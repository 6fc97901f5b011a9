package soak

import (
	"bytes"
	"fmt"
	"os"
	"testing"
	"time"
)

// TestMain runs this program as a member of the mesh when a soak starts it as one.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 {
		if code, ok := Member(os.Args[1]); ok {
			os.Exit(code)
		}
	}
	os.Exit(m.Run())
}

// ciSeeds are the seeds of the ordinary run; others by command, see cmd/soak.
var ciSeeds = []uint64{11, 12}

// TestSoak runs real processes under troubles that overlap. It wants the machine
// for itself, so the test command runs it by name after all the others.
func TestSoak(t *testing.T) {
	if os.Getenv("PUFFIN_FLEET") == "" {
		t.Skip("run by itself: PUFFIN_FLEET=1")
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range ciSeeds {
		var out bytes.Buffer
		ok, err := Run(Options{Seed: seed, Size: 12, Long: 20 * time.Second, Dir: t.TempDir(), Program: program, Net: fmt.Sprint("127.", 10+os.Getpid()%200), Out: &out})
		if err != nil || !ok {
			t.Errorf("%v\n%s", err, out.String())
		}
		t.Logf("%s", out.String())
	}
}

// TestDeployment: every line goes to a service that there is, and machines of each
// service stand in the smallest soak.
func TestDeployment(t *testing.T) {
	d := firstDraft(lines(6))
	has := map[string]bool{}
	for i := range 12 {
		has[serviceOf(i)] = true
	}
	for _, w := range d.Ways {
		for s := range w.Split {
			if !has[s] {
				t.Errorf("%s goes to %s, which nobody serves", w.Name, s)
			}
		}
	}
	if len(has) != len(services) {
		t.Errorf("machines serve only %v", has)
	}
}

// TestCompare: what a process holds too much of after a soak is blamed, and what it
// had learned is not.
func TestCompare(t *testing.T) {
	at := holding{files: 20, links: 20, routines: 60, memory: 30 << 20}
	for _, c := range []struct {
		name  string
		after holding
		wrong int
	}{
		{"the same", at, 0},
		{"a little more", holding{75, 30, 200, 100 << 20}, 0},
		{"descriptors", holding{90, 20, 60, 30 << 20}, 1},
		{"links", holding{20, 40, 60, 30 << 20}, 1},
		{"goroutines", holding{20, 20, 500, 30 << 20}, 1},
		{"memory", holding{20, 20, 60, 300 << 20}, 1},
		{"all of them", holding{90, 40, 500, 300 << 20}, 4},
	} {
		f := newFleet(Options{Size: 6, Out: &bytes.Buffer{}, Dir: t.TempDir(), Net: "127.0"})
		f.compare(holdings{"proxy": at}, holdings{"proxy": c.after})
		if len(f.wrong) != c.wrong {
			t.Errorf("%s: %q", c.name, f.wrong)
		}
	}
}
