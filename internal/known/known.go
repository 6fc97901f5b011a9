// Package known judges a test run by the list of tests that are known to fail:
// each for a real fault that can't be mended now, with its cause and its issue.
// All else that fails, and each run that did not end, stays a failure.
package known

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"puffincrank/internal/fault"
)

// Red is one line of the list: a package below the module's root, a test of it
// (with the names of its parts, if one part is meant), why it fails, and where
// that is followed.
type Red struct{ Package, Test, Cause, Issue string }

// Read takes the list: lines of "package test | cause | issue". Empty lines and
// those that begin with # say nothing. Every line that is otherwise is named.
func Read(text string) ([]Red, error) {
	var all []Red
	var bad []string
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		cells := strings.Split(line, "|")
		who := strings.Fields(cells[0])
		if len(cells) != 3 || len(who) != 2 || !strings.HasPrefix(who[1], "Test") || strings.TrimSpace(cells[1]) == "" || strings.TrimSpace(cells[2]) == "" {
			bad = append(bad, fmt.Sprintf("line %d must be \"package test | cause | issue\"", i+1))
			continue
		}
		all = append(all, Red{who[0], who[1], strings.TrimSpace(cells[1]), strings.TrimSpace(cells[2])})
	}
	if len(bad) > 0 {
		return nil, fault.New(fault.Input, "%s", strings.Join(bad, "; "))
	}
	return all, nil
}

// event is one line of go test -json; Exit is the word of the run's end.
type event struct {
	Action, Package, Test, Output string
}

// pack is what was heard of a package.
type pack struct {
	failed map[string]string // test to what it said
	ended  string            // pass, skip or fail
	broke  bool              // ended in the middle: what comes after did not run
	said   []string          // not by a test
	cut    []string          // by tests that had not ended when the package did
	last   []string          // the last lines, by whatever test
}

// lastLines is how many lines are told of the end of a process that went without a
// failed test: its last words may be taken for those of a test that passed.
const lastLines = 20

func (p *pack) heard(line string) {
	p.last = append(p.last, strings.TrimSuffix(line, "\n"))
	if len(p.last) > lastLines {
		p.last = p.last[1:]
	}
}

// cutLines is how much of what unfinished tests said is told: a crash of the
// process names its cause there, and may go on for thousands of lines.
const cutLines = 300

// Run is a test run as it was heard.
type Run struct {
	packs map[string]*pack
	exit  bool // the command says that something failed
	loose []string
}

// Hear reads the lines of go test -json, and a last one {"Action":"exit"} when
// the command itself failed; how each package ended is written to out.
func Hear(in io.Reader, out io.Writer) (*Run, error) {
	r := &Run{packs: map[string]*pack{}}
	said := map[string]*strings.Builder{}
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, 64<<20)
	for scan.Scan() {
		var e event
		if json.Unmarshal(scan.Bytes(), &e) != nil {
			r.loose = append(r.loose, scan.Text())
			continue
		}
		if e.Package == "" {
			r.exit = r.exit || e.Action == "exit"
			if e.Output != "" {
				r.loose = append(r.loose, strings.TrimSuffix(e.Output, "\n"))
			}
			continue
		}
		p := r.packs[e.Package]
		if p == nil {
			p = &pack{failed: map[string]string{}}
			r.packs[e.Package] = p
		}
		key := e.Package + " " + e.Test
		switch {
		case e.Action == "output":
			p.heard(e.Output)
			p.broke = p.broke || strings.HasPrefix(e.Output, "panic: ") || strings.HasPrefix(e.Output, "fatal error: ")
			if said[key] == nil {
				said[key] = &strings.Builder{}
			}
			said[key].WriteString(e.Output)
			if e.Test == "" && (strings.HasPrefix(e.Output, "ok ") || strings.HasPrefix(e.Output, "FAIL\t")) {
				fmt.Fprint(out, e.Output)
			}
		case e.Test != "" && e.Action == "fail":
			p.failed[e.Test] = text(said[key])
		case e.Test == "" && (e.Action == "pass" || e.Action == "skip" || e.Action == "fail"):
			p.ended, p.said = e.Action, strings.Split(text(said[key]), "\n")
			p.cut = unfinished(said, e.Package)
		}
		if e.Test != "" && (e.Action == "pass" || e.Action == "skip" || e.Action == "fail") {
			delete(said, key)
		}
	}
	return r, fault.Wrap(fault.Input, scan.Err(), "what the tests say")
}

// unfinished gives the first lines of what tests of a package said that have
// not ended.
func unfinished(said map[string]*strings.Builder, pack string) (out []string) {
	var keys []string
	for key := range said {
		if strings.HasPrefix(key, pack+" Test") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		out = append(out, strings.Split(text(said[key]), "\n")...)
	}
	return out[:min(len(out), cutLines)]
}

func text(b *strings.Builder) string {
	if b == nil {
		return ""
	}
	return b.String()
}

// Judge tells on out what failed and whether the run passes: nothing failed but
// tests of the list. A test that has parts is judged by those that failed.
func (r *Run) Judge(list []Red, out io.Writer) bool {
	good, some, seen := true, false, map[Red]bool{}
	bad := func(form string, args ...any) {
		good = false
		fmt.Fprintf(out, form+"\n", args...)
	}
	var names []string
	for name := range r.packs {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		p := r.packs[name]
		var tests []string
		for test := range p.failed {
			tests = append(tests, test)
		}
		sort.Strings(tests)
		for i, test := range tests {
			some = true
			if i+1 < len(tests) && strings.HasPrefix(tests[i+1], test+"/") {
				continue
			}
			if red, ok := find(list, name, test); ok {
				seen[red] = true
				fmt.Fprintf(out, "KNOWN RED: %s %s: %s (%s)\n", name, test, red.Cause, red.Issue)
				continue
			}
			bad("%sFAILED: %s %s", p.failed[test], name, test)
		}
		switch {
		case p.broke || p.ended == "":
			bad("%s\n%s\nNOT ENDED: %s", strings.Join(p.cut, "\n"), strings.Join(p.said, "\n"), name)
		case p.ended == "fail" && len(tests) == 0:
			bad("%s\n%s\n%s\nthe last lines:\n%s\nFAILED: %s", strings.Join(r.loose, "\n"), strings.Join(p.cut, "\n"), strings.Join(p.said, "\n"), strings.Join(p.last, "\n"), name)
		}
	}
	for _, red := range list {
		if !seen[red] {
			fmt.Fprintf(out, "did not fail in this run, though it is listed: %s %s (%s)\n", red.Package, red.Test, red.Issue)
		}
	}
	if len(names) == 0 || r.exit && good && !some {
		bad("%s\nFAILED: the run itself", strings.Join(r.loose, "\n"))
	}
	return good
}

// find looks for the line of a test, or of one that it is a part of.
func find(list []Red, pack, test string) (Red, bool) {
	for _, red := range list {
		if strings.HasSuffix(pack, "/"+red.Package) && (test == red.Test || strings.HasPrefix(test, red.Test+"/")) {
			return red, true
		}
	}
	return Red{}, false
}
