// Package knownfailures judges a test run by the list of tests that are known to fail:
// each for a real fault that can't be mended now, with its cause and its issue.
// All else that fails, and each run that did not end, stays a failure.
package knownfailures

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"puffincrank/internal/fault"
)

// KnownFailure is one line of the list: a package below the module's root, a test of it
// (with the names of its parts, if one part is meant), why it fails, and where
// that is followed.
type KnownFailure struct{ Package, Test, Cause, Issue string }

// Read takes the list: lines of "package test | cause | issue". Empty lines and
// those that begin with # say nothing. Every line that is otherwise is named.
func Read(text string) ([]KnownFailure, error) {
	var all []KnownFailure
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
		all = append(all, KnownFailure{who[0], who[1], strings.TrimSpace(cells[1]), strings.TrimSpace(cells[2])})
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

// packageRun is what a run said of one package.
type packageRun struct {
	failed     map[string]string // test to its output
	ended      string            // pass, skip or fail
	crashed    bool              // ended in the middle: what comes after did not run
	output     []string          // not by a test
	unfinished []string          // by tests that had not ended when the package did
	last       []string          // the last lines, by whatever test
}

// lastLines is how many lines are told of the end of a process that went without a
// failed test: its last words may be taken for those of a test that passed.
const lastLines = 20

// addLine keeps a line among the last ones.
func (p *packageRun) addLine(line string) {
	p.last = append(p.last, strings.TrimSuffix(line, "\n"))
	if len(p.last) > lastLines {
		p.last = p.last[1:]
	}
}

// unfinishedLines is how much of unfinished tests printed is told: a crash of the
// process names its cause there, and may go on for thousands of lines.
const unfinishedLines = 300

// Run is a test run as it was heard.
type Run struct {
	packages    map[string]*packageRun
	exit        bool // the command says that something failed
	otherOutput []string
}

// ReadRun reads the lines of go test -json, and a last one {"Action":"exit"} when
// the command itself failed; how each package ended is written to out.
func ReadRun(in io.Reader, out io.Writer) (*Run, error) {
	r := &Run{packages: map[string]*packageRun{}}
	outputs := map[string]*strings.Builder{}
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, 64<<20)
	for scan.Scan() {
		var e event
		if json.Unmarshal(scan.Bytes(), &e) != nil {
			r.otherOutput = append(r.otherOutput, scan.Text())
			continue
		}
		if e.Package == "" {
			r.exit = r.exit || e.Action == "exit"
			if e.Output != "" {
				r.otherOutput = append(r.otherOutput, strings.TrimSuffix(e.Output, "\n"))
			}
			continue
		}
		p := r.packages[e.Package]
		if p == nil {
			p = &packageRun{failed: map[string]string{}}
			r.packages[e.Package] = p
		}
		key := e.Package + " " + e.Test
		switch {
		case e.Action == "output":
			p.addLine(e.Output)
			p.crashed = p.crashed || strings.HasPrefix(e.Output, "panic: ") || strings.HasPrefix(e.Output, "fatal error: ")
			if outputs[key] == nil {
				outputs[key] = &strings.Builder{}
			}
			outputs[key].WriteString(e.Output)
			if e.Test == "" && (strings.HasPrefix(e.Output, "ok ") || strings.HasPrefix(e.Output, "FAIL\t")) {
				fmt.Fprint(out, e.Output)
			}
		case e.Test != "" && e.Action == "fail":
			p.failed[e.Test] = text(outputs[key])
		case e.Test == "" && (e.Action == "pass" || e.Action == "skip" || e.Action == "fail"):
			p.ended, p.output = e.Action, strings.Split(text(outputs[key]), "\n")
			p.unfinished = unfinished(outputs, e.Package)
		}
		if e.Test != "" && (e.Action == "pass" || e.Action == "skip" || e.Action == "fail") {
			delete(outputs, key)
		}
	}
	return r, fault.Wrap(fault.Input, scan.Err(), "what the tests say")
}

// unfinished gives the first lines of what tests of a package printed that have
// not ended.
func unfinished(outputs map[string]*strings.Builder, pack string) (out []string) {
	var keys []string
	for key := range outputs {
		if strings.HasPrefix(key, pack+" Test") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		out = append(out, strings.Split(text(outputs[key]), "\n")...)
	}
	return out[:min(len(out), unfinishedLines)]
}

func text(b *strings.Builder) string {
	if b == nil {
		return ""
	}
	return b.String()
}

// Judge tells on out what failed and whether the run passes: nothing failed but
// tests of the list. A test that has parts is judged by those that failed.
func (r *Run) Judge(list []KnownFailure, out io.Writer) bool {
	good, some, seen := true, false, map[KnownFailure]bool{}
	bad := func(form string, args ...any) {
		good = false
		fmt.Fprintf(out, form+"\n", args...)
	}
	var names []string
	for name := range r.packages {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		p := r.packages[name]
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
			if one, ok := find(list, name, test); ok {
				seen[one] = true
				fmt.Fprintf(out, "KNOWN RED: %s %s: %s (%s)\n", name, test, one.Cause, one.Issue)
				continue
			}
			bad("%sFAILED: %s %s", p.failed[test], name, test)
		}
		switch {
		case p.crashed || p.ended == "":
			bad("%s\n%s\nNOT ENDED: %s", strings.Join(p.unfinished, "\n"), strings.Join(p.output, "\n"), name)
		case p.ended == "fail" && len(tests) == 0:
			bad("%s\n%s\n%s\nthe last lines:\n%s\nFAILED: %s", strings.Join(r.otherOutput, "\n"), strings.Join(p.unfinished, "\n"), strings.Join(p.output, "\n"), strings.Join(p.last, "\n"), name)
		}
	}
	for _, one := range list {
		if !seen[one] {
			fmt.Fprintf(out, "did not fail in this run, though it is listed: %s %s (%s)\n", one.Package, one.Test, one.Issue)
		}
	}
	if len(names) == 0 || r.exit && good && !some {
		bad("%s\nFAILED: the run itself", strings.Join(r.otherOutput, "\n"))
	}
	return good
}

// find looks for the line of a test, or of one that it is a part of.
func find(list []KnownFailure, pack, test string) (KnownFailure, bool) {
	for _, one := range list {
		if strings.HasSuffix(pack, "/"+one.Package) && (test == one.Test || strings.HasPrefix(test, one.Test+"/")) {
			return one, true
		}
	}
	return KnownFailure{}, false
}
