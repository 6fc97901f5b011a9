package mutant

import (
	"context"
	"strings"
	"sync"
	"testing"

	"puffincrank/internal/task"
)

const root = "../.."

// TestAllApply: every mutant's text stands once where it says, and the broken
// package builds; each promise has two at least.
func TestAllApply(t *testing.T) {
	count, names := map[string]int{}, map[string]bool{}
	for _, m := range All {
		if names[m.Name] {
			t.Errorf("two mutants are named %s", m.Name)
		}
		names[m.Name] = true
		count[m.Promise]++
	}
	for _, p := range Guarantees {
		if count[p] < 2 {
			t.Errorf("%q has %d mutants", p, count[p])
		}
	}
	dir := t.TempDir()
	g := task.New(t.Context())
	var wait sync.WaitGroup
	seats := make(chan struct{}, 4)
	for _, m := range All {
		wait.Add(1)
		g.Go("build", func(ctx context.Context) {
			defer wait.Done()
			seats <- struct{}{}
			defer func() { <-seats }()
			if err := m.Builds(ctx, root, dir); err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
	g.Stop()
}

// TestSomeCaught: a few mutants are tried for real; the rest by command.
func TestSomeCaught(t *testing.T) {
	for _, name := range []string{"read-without-round", "step-back", "renewal-not-seen", "part-of-others"} {
		list, err := Select([]string{name})
		if err != nil {
			t.Fatal(err)
		}
		if r := list[0].Run(t.Context(), root, t.TempDir()); !r.Caught {
			t.Errorf("%s was not caught: %s", name, r.Message)
		}
	}
}

// TestForeignNames: one that doesn't exist, or no longer applies, is refused
// by name.
func TestForeignNames(t *testing.T) {
	if _, err := Select([]string{"step-back", "no-such"}); err == nil || !strings.Contains(err.Error(), "no-such") {
		t.Errorf("an unknown name: %v", err)
	}
	m := Mutant{Name: "old", File: "internal/responsedigest/digest.go", Old: "text that went away", New: "x", Pkg: "responsedigest", Test: "."}
	if r := m.Run(t.Context(), root, t.TempDir()); r.Caught || !strings.Contains(r.Message, "stands 0 times") {
		t.Errorf("one that no longer applies: %+v", r)
	}
}
