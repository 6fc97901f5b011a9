package repocheck

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	keyed = regexp.MustCompile(`^([A-Z]): ` + "`([^`]+)`(?: at ([0-9a-f]{7}))?$")
	runs  = regexp.MustCompile(`^go run \./(cmd/\w+)((?: .+)?)$`)
	tests = regexp.MustCompile(`^go test .*-bench '?(\w+)'? .*\./(internal/\w+)$`)
	flags = regexp.MustCompile(`--(\w+)`)
	sweep = regexp.MustCompile(`^fleetbench (?:sweep|run) \S+, journal ([0-9]{8}T[0-9]{6}-[0-9a-f]{8})$`)
)

// former checks a command of a program at an earlier commit. It returns what is wrong, or
// an empty text.
func former(line, commit string) string {
	m := runs.FindStringSubmatch(line)
	if m == nil {
		return "not a program of this tree"
	}
	cmd := exec.Command("git", "cat-file", "-e", commit+":"+m[1]+"/main.go")
	cmd.Dir = root
	if err := cmd.Run(); err != nil {
		return "no such program at " + commit
	}
	return ""
}

// tool checks a command that a page names: its program, flags or benchmark must exist in
// the tree. It returns what is wrong, or an empty text.
func tool(line string) string {
	if m := sweep.FindStringSubmatch(line); m != nil {
		if _, err := os.Stat(filepath.Join(root, "journal", m[1]+".json")); err != nil {
			return "no such entry of the journal"
		}
		return ""
	}
	if m := runs.FindStringSubmatch(line); m != nil {
		raw, err := os.ReadFile(filepath.Join(root, m[1], "main.go"))
		if err != nil {
			return "no such program"
		}
		for _, f := range flags.FindAllStringSubmatch(m[2], -1) {
			if !strings.Contains(string(raw), `"--`+f[1]+`"`) {
				return "no flag --" + f[1]
			}
		}
		return ""
	}
	if m := tests.FindStringSubmatch(line); m != nil {
		all, _ := filepath.Glob(filepath.Join(root, m[2], "*_test.go"))
		for _, name := range all {
			raw, _ := os.ReadFile(name)
			if strings.Contains(string(raw), "func Benchmark"+m[1]+"(b ") {
				return ""
			}
		}
		return "no such benchmark"
	}
	return "neither a program nor a benchmark of this tree"
}

// sourced checks the tables of a page and returns the problems and the number of rows. The
// last cell of each row, in the column `source`, must name by their letters the commands
// that measured its figures, or say that they are calculated ("reckoned").
func sourced(page string) (bad []string, rows int) {
	known := map[string]bool{}
	lines := strings.Split(page, "\n")
	for _, l := range lines {
		if m := keyed.FindStringSubmatch(strings.TrimSpace(l)); m != nil {
			if known[m[1]] {
				bad = append(bad, m[1]+" is named twice")
			}
			known[m[1]] = true
			why := ""
			if m[3] != "" {
				why = former(m[2], m[3])
			} else {
				why = tool(m[2])
			}
			if why != "" {
				bad = append(bad, m[2]+": "+why)
			}
		}
	}
	head := 0
	for _, l := range lines {
		if l = strings.TrimSpace(l); !strings.HasPrefix(l, "|") {
			head = 0
			continue
		}
		cells := strings.Split(strings.Trim(l, "|"), "|")
		last := strings.TrimSpace(cells[len(cells)-1])
		switch {
		case head == 0:
			head = len(cells)
			if last != "source" {
				bad = append(bad, "no column of sources: "+l)
			}
			continue
		case strings.Trim(last, "-: ") == "" && last != "":
			continue
		case len(cells) != head:
			bad = append(bad, "cells are missing: "+l)
		}
		rows++
		for _, s := range strings.Split(last, ", ") {
			if s != "reckoned" && !known[s] {
				bad = append(bad, "no source "+s+": "+l)
			}
		}
	}
	return bad, rows
}

// TestCapacity checks that each row of the capacity page names the command that measured it,
// which must exist in the tree, or is marked as calculated.
func TestCapacity(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(root, "docs/CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	bad, rows := sourced(string(raw))
	for _, b := range bad {
		t.Error(b)
	}
	if rows < 30 {
		t.Errorf("%d rows", rows)
	}
}

// TestSourced checks that each kind of problem of a page is found.
func TestSourced(t *testing.T) {
	const run = "A: `go run ./cmd/fleet --plan kills`\n\n"
	const top = "| what | source |\n| --- | --- |\n"
	for page, want := range map[string]int{
		run + top + "| x | A |\n| y | A, reckoned |\n":                                   0,
		"B: `go test -run '^$' -bench Pick ./internal/balancer`\n" + top + "| x | B |\n": 0,
		run + top + "| x | |\n":                                       1,
		run + top + "| x | B |\n":                                     1,
		run + top + "| A |\n":                                         1,
		run + "| what | where |\n| --- | --- |\n| x | A |\n":          1,
		run + run + top + "| x | A |\n":                               1,
		"A: `go run ./cmd/none`\n":                                    1,
		"A: `go run ./cmd/fleet --none 1`\n":                          1,
		"A: `go run ./cmd/hollow --sizes 50` at 4858bf8\n":            0,
		"A: `go run ./cmd/hollow --sizes 50`\n":                       1,
		"A: `go run ./cmd/none` at 4858bf8\n":                         1,
		"A: `fleetbench sweep a, journal 20260101T000000-00000000`\n": 1,
		"A: `go test -bench None ./internal/balancer`\n":              1,
		"A: `echo 1`\n":                                               1,
	} {
		if bad, _ := sourced(page); len(bad) != want {
			t.Errorf("%q: %v, want %d", page, bad, want)
		}
	}
}
