package repocheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"puffincrank/internal/mutant"
)

// TestPromises checks that the table of promises has a complete row for each promise, that it
// names existing tests and reasons only, and that its lists of mutants match the code.
func TestPromises(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(root, "docs/promises.md"))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]bool{"P": true, "F": true}
	walkFiles(t, func(name string, raw []byte) {
		if strings.HasSuffix(name, "_test.go") {
			for _, m := range regexp.MustCompile(`(?m)^func Test(\w+)\(t `).FindAllSubmatch(raw, -1) {
				tests[string(m[1])] = true
			}
		}
	})
	for _, m := range regexp.MustCompile(`(?m)^(\d)\. `).FindAllStringSubmatch(string(raw), -1) {
		tests[m[1]] = true
	}
	rowByPromise, mutantsByPromise := map[string][]string{}, map[string]string{}
	for _, line := range strings.Split(string(raw), "\n") {
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		switch len(cells) {
		case 13:
			rowByPromise[cells[0]] = cells[1:]
		case 2:
			mutantsByPromise[cells[0]] = cells[1]
		}
	}
	for _, p := range mutant.Guarantees {
		if len(rowByPromise[p]) != 12 {
			t.Errorf("promise %q has no complete row", p)
		}
		for i, cell := range rowByPromise[p] {
			for _, name := range strings.Split(cell, ", ") {
				if !tests[name] {
					t.Errorf("promise %q, column %d: unknown test or reason %q", p, i+1, name)
				}
			}
		}
		var names []string
		for _, m := range mutant.All {
			if m.Promise == p {
				names = append(names, m.Name)
			}
		}
		if want := strings.Join(names, ", "); mutantsByPromise[p] != want {
			t.Errorf("promise %q has mutants %s, but the page lists %s", p, want, mutantsByPromise[p])
		}
	}
}
