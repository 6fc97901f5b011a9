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
	testName   = regexp.MustCompile(`\bTest[A-Z]\w+`)
	mutantName = regexp.MustCompile(`[Mm]utants? ([a-z]+(?:-[a-z]+)+)`)
	breachName = regexp.MustCompile("[Bb]reach `(\\w+)`")
)

// TestSafetyPage checks that the page on the safety of the control plane names existing
// tests, mutants and breaches only, and that every paragraph with "never" names a test.
func TestSafetyPage(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(root, "docs/notes/control-safety.md"))
	if err != nil {
		t.Fatal(err)
	}
	code, mutants := "", map[string]bool{}
	walkFiles(t, func(name string, raw []byte) {
		if strings.HasSuffix(name, "_test.go") || strings.Contains(name, "internal/model/") {
			code += string(raw)
		}
	})
	for _, m := range mutant.All {
		mutants[m.Name] = true
	}
	page := string(raw)
	tests := testName.FindAllString(page, -1)
	if len(tests) < 20 {
		t.Errorf("the page names only %d tests", len(tests))
	}
	for _, name := range tests {
		if !strings.Contains(code, "func "+name+"(t ") {
			t.Errorf("the page names test %s, which does not exist", name)
		}
	}
	for _, m := range mutantName.FindAllStringSubmatch(page, -1) {
		if !mutants[m[1]] {
			t.Errorf("the page names mutant %s, which does not exist", m[1])
		}
	}
	for _, m := range breachName.FindAllStringSubmatch(page, -1) {
		if !strings.Contains(code, m[1]+" ") || !strings.Contains(code, "{"+m[1]+",") {
			t.Errorf("the page names breach %s, which no test detects", m[1])
		}
	}
	for _, paragraph := range strings.Split(page, "\n\n") {
		if strings.Contains(paragraph, " never ") && !testName.MatchString(paragraph) && !strings.HasPrefix(paragraph, "## What is assumed") {
			t.Errorf("paragraph with \"never\" names no test: %.80q", paragraph)
		}
	}
}
