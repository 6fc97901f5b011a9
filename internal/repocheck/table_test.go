package repocheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"puffincrank/internal/mutant"
)

// TestPromises: the table of promises has a row for each, no empty cell, and
// names only tests and reasons that exist; the mutants named are the code's.
func TestPromises(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(root, "docs/promises.md"))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]bool{"P": true, "F": true}
	files(t, func(name string, raw []byte) {
		if strings.HasSuffix(name, "_test.go") {
			for _, m := range regexp.MustCompile(`(?m)^func Test(\w+)\(t `).FindAllSubmatch(raw, -1) {
				tests[string(m[1])] = true
			}
		}
	})
	for _, m := range regexp.MustCompile(`(?m)^(\d)\. `).FindAllStringSubmatch(string(raw), -1) {
		tests[m[1]] = true
	}
	rows, lists := map[string][]string{}, map[string]string{}
	for _, l := range strings.Split(string(raw), "\n") {
		cells := strings.Split(strings.Trim(l, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		switch len(cells) {
		case 13:
			rows[cells[0]] = cells[1:]
		case 2:
			lists[cells[0]] = cells[1]
		}
	}
	for _, p := range mutant.Promises {
		if len(rows[p]) != 12 {
			t.Errorf("%q has no row", p)
		}
		for i, c := range rows[p] {
			for _, name := range strings.Split(c, ", ") {
				if !tests[name] {
					t.Errorf("%q, column %d: no test or reason %q", p, i+1, name)
				}
			}
		}
		var names []string
		for _, m := range mutant.All {
			if m.Promise == p {
				names = append(names, m.Name)
			}
		}
		if want := strings.Join(names, ", "); lists[p] != want {
			t.Errorf("mutants of %q are %s, the page says %s", p, want, lists[p])
		}
	}
}
