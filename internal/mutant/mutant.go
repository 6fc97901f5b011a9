// Package mutant lists small defects that are seeded into product code, each with the
// test that must detect it. A mutant is applied through a build overlay and never
// written into the source tree, so the product has no switch that breaks it.
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

// Mutant is one seeded defect: a replacement of source text in one file.
type Mutant struct {
	Name    string
	Promise string // the guarantee it breaks, a row of the table in docs/promises.md
	File    string // relative to the module's root
	Old     string // the replaced text, which must occur exactly once in the file
	New     string
	Pkg     string // the package below internal whose test must fail
	Test    string // a pattern for go test -run
}

// The guarantees, named as in the table in docs/promises.md.
const (
	AtMostOnce          = "never runs twice"
	BusyMeansNotRun     = "busy means not run"
	CompleteResponse    = "success is whole and one's own"
	CallerAuthorization = "nothing to a stranger"
	NoRequestAfterLeave = "no new job 2 s after leaving"
	AbandonedRequests   = "no work for callers who left"
	MonotonicVersion    = "nobody in touch acts on an older version; none steps back"
	DurableUpdates      = "broken ones refused, acknowledged ones kept"
	BoundedRetries      = "repeats within the bound"
	GracefulShutdown    = "planned stops cut nothing"
	MonotonicNumbers    = "locks, numbers, revisions"
	LinearizableReads   = "no old read; watches whole"
	PriorityOrder       = "urgent passes bulk; bulk is whole or refused"
	RecoveryTime        = "service back within 15 s"
)

// Guarantees lists all guarantees in the order of the requirements.
var Guarantees = []string{AtMostOnce, BusyMeansNotRun, CompleteResponse, CallerAuthorization, NoRequestAfterLeave, AbandonedRequests, MonotonicVersion, DurableUpdates, BoundedRetries, GracefulShutdown, MonotonicNumbers, LinearizableReads, PriorityOrder, RecoveryTime}

// Overlay writes the mutated file and the JSON file for go build -overlay that
// substitutes it in the tree at root, both into dir, and returns the JSON file's name.
// It fails if the text to replace does not occur exactly once.
func (m Mutant) Overlay(root, dir string) (string, error) {
	file := filepath.Join(root, m.File)
	source, err := os.ReadFile(file)
	if err != nil {
		return "", fault.Wrap(fault.Input, err, "mutant "+m.Name)
	}
	if n := strings.Count(string(source), m.Old); n != 1 {
		return "", fault.New(fault.Input, "mutant %s: its text stands %d times in %s", m.Name, n, m.File)
	}
	mutated := filepath.Join(dir, m.Name+".go")
	if err := os.WriteFile(mutated, []byte(strings.Replace(string(source), m.Old, m.New, 1)), 0o600); err != nil {
		return "", fault.Wrap(fault.Disk, err, "mutant "+m.Name)
	}
	absolute, err := filepath.Abs(file)
	if err != nil {
		return "", fault.Wrap(fault.Disk, err, "mutant "+m.Name)
	}
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{absolute: mutated}})
	if err != nil {
		return "", fault.Wrap(fault.Input, err, "mutant "+m.Name)
	}
	name := filepath.Join(dir, m.Name+".json")
	return name, fault.Wrap(fault.Disk, os.WriteFile(name, overlay, 0o600), "mutant "+m.Name)
}

// Builds compiles the package of the mutated file.
func (m Mutant) Builds(ctx context.Context, root, dir string) error {
	overlay, err := m.Overlay(root, dir)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "./"+filepath.Dir(m.File))
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fault.New(fault.Input, "mutant %s does not build: %s", m.Name, out)
	}
	return nil
}

// Result is the outcome of one mutant's test run.
type Result struct {
	Mutant
	Caught  bool
	Took    time.Duration
	Message string // the failure message of the test, or the error that prevented the run
}

// Run runs the test that must detect the mutant. That the same test passes without
// the mutant is shown by the ordinary test run.
func (m Mutant) Run(ctx context.Context, root, dir string) Result {
	start := time.Now()
	result := Result{Mutant: m}
	if err := m.Builds(ctx, root, dir); err != nil {
		result.Message = err.Error()
		return result
	}
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-timeout", "90s", "-overlay", filepath.Join(dir, m.Name+".json"), "-run", m.Test, "./internal/"+m.Pkg)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	result.Took = time.Since(start)
	// A run that failed to build or to finish proves nothing. A failed test does,
	// whether by an assertion or by waiting too long for a state.
	result.Caught = err != nil && strings.Contains(string(out), "--- FAIL")
	result.Message = failureLine(string(out))
	return result
}

// failureLine returns the output line that says why a test failed, up to 150
// characters of it.
func failureLine(out string) string {
	for _, line := range strings.Split(out, "\n") {
		line = strings.TrimSpace(line)
		if strings.Contains(line, "_test.go:") || strings.Contains(line, "faults.go:") || strings.Contains(line, "start.go:") || strings.HasPrefix(line, "panic:") {
			return fmt.Sprintf("%.150s", line)
		}
	}
	return fmt.Sprintf("%.150s", strings.TrimSpace(out))
}

// Select returns the mutants whose name or guarantee is among names, or all if names is
// empty. An unknown name is an error.
func Select(names []string) ([]Mutant, error) {
	if len(names) == 0 {
		return All, nil
	}
	var selected []Mutant
	for _, name := range names {
		found := false
		for _, m := range All {
			if m.Name == name || m.Promise == name {
				selected, found = append(selected, m), true
			}
		}
		if !found {
			return nil, fault.New(fault.Input, "no mutant %q", name)
		}
	}
	return selected, nil
}
