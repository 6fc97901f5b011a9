// Package mutant holds small breakages of product code and what must catch
// each. A breakage is laid over the build, never written into the tree: the
// product itself has no switch that breaks it.
package mutant

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"puffincrank/internal/fault"
)

// Mutant is one breakage.
type Mutant struct {
	Name    string
	Promise string // the row of the table in docs/promises.md
	File    string // below the module's root
	Old     string // the text replaced, which stands once in the file
	New     string
	Pkg     string // whose test must fail, below internal
	Test    string // the test's name, as go test -run takes it
}

// The promises, as the table in docs/promises.md names them.
const (
	Twice    = "never runs twice"
	Busy     = "busy means not run"
	Whole    = "success is whole and one's own"
	Stranger = "nothing to a stranger"
	Leaving  = "no new job 2 s after leaving"
	Left     = "no work for callers who left"
	Newest   = "nobody in touch acts on an older version; none steps back"
	Kept     = "broken ones refused, acknowledged ones kept"
	Repeats  = "repeats within the bound"
	Planned  = "planned stops cut nothing"
	Rising   = "locks, numbers, revisions"
	Reads    = "no old read; watches whole"
	Passing  = "urgent passes bulk; bulk is whole or refused"
	Return   = "service back within 15 s"
)

// Promises lists them in the brief's order.
var Promises = []string{Twice, Busy, Whole, Stranger, Leaving, Left, Newest, Kept, Repeats, Planned, Rising, Reads, Passing, Return}

// Overlay writes the broken file and the overlay that lays it over the tree at
// root; both go into dir. An error means that the breakage no longer applies.
func (m Mutant) Overlay(root, dir string) (string, error) {
	file := filepath.Join(root, m.File)
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", fault.Wrap(fault.Input, err, "mutant "+m.Name)
	}
	if n := strings.Count(string(raw), m.Old); n != 1 {
		return "", fault.New(fault.Input, "mutant %s: its text stands %d times in %s", m.Name, n, m.File)
	}
	broken := filepath.Join(dir, m.Name+".go")
	if err := os.WriteFile(broken, []byte(strings.Replace(string(raw), m.Old, m.New, 1)), 0o600); err != nil {
		return "", fault.Wrap(fault.Disk, err, "mutant "+m.Name)
	}
	abs, err := filepath.Abs(file)
	if err != nil {
		return "", fault.Wrap(fault.Disk, err, "mutant "+m.Name)
	}
	over, err := json.Marshal(map[string]any{"Replace": map[string]string{abs: broken}})
	if err != nil {
		return "", fault.Wrap(fault.Input, err, "mutant "+m.Name)
	}
	name := filepath.Join(dir, m.Name+".json")
	return name, fault.Wrap(fault.Disk, os.WriteFile(name, over, 0o600), "mutant "+m.Name)
}

// Builds compiles the package of the broken file.
func (m Mutant) Builds(ctx context.Context, root, dir string) error {
	over, err := m.Overlay(root, dir)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-overlay", over, "./"+filepath.Dir(m.File))
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fault.New(fault.Input, "mutant %s does not build: %s", m.Name, out)
	}
	return nil
}

// Result is what became of one mutant.
type Result struct {
	Mutant
	Caught bool
	Took   time.Duration
	Say    string // the first words of the failure, or what else went wrong
}

// Try runs the test that must catch the mutant. With one in which nothing is
// broken the same test passes, which the ordinary test run shows.
func (m Mutant) Try(ctx context.Context, root, dir string) Result {
	from := time.Now()
	r := Result{Mutant: m}
	if err := m.Builds(ctx, root, dir); err != nil {
		r.Say = err.Error()
		return r
	}
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-timeout", "90s", "-overlay", filepath.Join(dir, m.Name+".json"), "-run", m.Test, "./internal/"+m.Pkg)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	r.Took = time.Since(from)
	// A run that failed to build or to finish shows nothing; an assertion that
	// failed, or a state that was not reached in time, does.
	r.Caught = err != nil && strings.Contains(string(out), "--- FAIL")
	r.Say = first(string(out))
	return r
}

// first finds the line that tells why a test failed.
func first(out string) string {
	for _, l := range strings.Split(out, "\n") {
		l = strings.TrimSpace(l)
		if strings.Contains(l, "_test.go:") || strings.Contains(l, "faults.go:") || strings.Contains(l, "start.go:") || strings.HasPrefix(l, "panic:") {
			return fmt.Sprintf("%.150s", l)
		}
	}
	return fmt.Sprintf("%.150s", strings.TrimSpace(out))
}

// Named finds mutants by name, or by promise; an unknown word is an error.
func Named(words []string) ([]Mutant, error) {
	if len(words) == 0 {
		return All, nil
	}
	var out []Mutant
	for _, w := range words {
		found := false
		for _, m := range All {
			if m.Name == w || m.Promise == w {
				out, found = append(out, m), true
			}
		}
		if !found {
			return nil, fault.New(fault.Input, "no mutant %q", w)
		}
	}
	return out, nil
}
