package repocheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"puffincrank/internal/mutant"
)

var (
	namedTest   = regexp.MustCompile(`\bTest[A-Z]\w+`)
	namedMutant = regexp.MustCompile(`[Mm]utants? ([a-z]+(?:-[a-z]+)+)`)
	namedBreach = regexp.MustCompile("[Bb]reach `(\\w+)`")
)

// TestSafetyPage: the page on control and state names tests, mutants and breaches
// that exist, and a test in every paragraph that says never.
func TestSafetyPage(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(root, "docs/notes/control-safety.md"))
	if err != nil {
		t.Fatal(err)
	}
	code, mutants := "", map[string]bool{}
	files(t, func(name string, raw []byte) {
		if strings.HasSuffix(name, "_test.go") || strings.Contains(name, "internal/model/") {
			code += string(raw)
		}
	})
	for _, m := range mutant.All {
		mutants[m.Name] = true
	}
	page := string(raw)
	tests := namedTest.FindAllString(page, -1)
	if len(tests) < 20 {
		t.Errorf("only %d tests are named", len(tests))
	}
	for _, name := range tests {
		if !strings.Contains(code, "func "+name+"(t ") {
			t.Errorf("no test %s", name)
		}
	}
	for _, m := range namedMutant.FindAllStringSubmatch(page, -1) {
		if !mutants[m[1]] {
			t.Errorf("no mutant %s", m[1])
		}
	}
	for _, m := range namedBreach.FindAllStringSubmatch(page, -1) {
		if !strings.Contains(code, m[1]+" ") || !strings.Contains(code, "{"+m[1]+",") {
			t.Errorf("no breach %s that a test finds", m[1])
		}
	}
	for _, paragraph := range strings.Split(page, "\n\n") {
		if strings.Contains(paragraph, " never ") && !namedTest.MatchString(paragraph) && !strings.HasPrefix(paragraph, "## What is assumed") {
			t.Errorf("says never and names no test: %.80q", paragraph)
		}
	}
}
