// Package knownfailures decides whether a test run passes, given a list of tests that are
// known to fail because of a real fault that is not yet fixed, each with its cause and
// issue. Any other failing test and any run that did not finish is a failure.
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

// KnownFailure is one line of the list: the path of a package below the module's root, a
// test (or a subtest by its full name), the cause of the failure, and the issue that
// tracks it.
type KnownFailure struct{ Package, Test, Cause, Issue string }

// Read parses the list, whose lines are "package test | cause | issue". Empty lines and
// lines that begin with # are skipped. The error names every malformed line.
func Read(text string) ([]KnownFailure, error) {
	var list []KnownFailure
	var malformed []string
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		columns := strings.Split(line, "|")
		names := strings.Fields(columns[0])
		if len(columns) != 3 || len(names) != 2 || !strings.HasPrefix(names[1], "Test") || strings.TrimSpace(columns[1]) == "" || strings.TrimSpace(columns[2]) == "" {
			malformed = append(malformed, fmt.Sprintf("line %d must be \"package test | cause | issue\"", i+1))
			continue
		}
		list = append(list, KnownFailure{names[0], names[1], strings.TrimSpace(columns[1]), strings.TrimSpace(columns[2])})
	}
	if len(malformed) > 0 {
		return nil, fault.New(fault.Input, "%s", strings.Join(malformed, "; "))
	}
	return list, nil
}

// event is one line of the output of go test -json. The action "exit" is added by the
// caller when the command itself failed, see ReadRun.
type event struct {
	Action, Package, Test, Output string
}

// packageRun is the result of a test run for one package.
type packageRun struct {
	failed     map[string]string // output by failed test
	result     string            // pass, skip or fail
	crashed    bool              // the process crashed, so later tests did not run
	output     []string          // lines that belong to no test
	unfinished []string          // output of tests that had not finished when the package did
	lastOutput []string          // the last lines of all tests
}

// lastOutputLines is how many of the last lines are printed for a process that failed
// without a failed test: go test may attribute them to a test that passed.
const lastOutputLines = 20

// addLine appends a line to the last output and drops the oldest beyond the limit.
func (p *packageRun) addLine(line string) {
	p.lastOutput = append(p.lastOutput, strings.TrimSuffix(line, "\n"))
	if len(p.lastOutput) > lastOutputLines {
		p.lastOutput = p.lastOutput[1:]
	}
}

// unfinishedLines limits the output of unfinished tests that is printed: a crash of the
// process reports its cause there, and may print thousands of lines.
const unfinishedLines = 300

// Run is a test run as read from the output of go test -json.
type Run struct {
	packages      map[string]*packageRun
	commandFailed bool // the go test command failed
	otherOutput   []string
}

// ReadRun reads the lines of go test -json, followed by {"Action":"exit"} if the command
// itself failed. The result line of each package is written to out.
func ReadRun(in io.Reader, out io.Writer) (*Run, error) {
	r := &Run{packages: map[string]*packageRun{}}
	outputs := map[string]*strings.Builder{}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, 64<<20)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			r.otherOutput = append(r.otherOutput, scanner.Text())
			continue
		}
		if e.Package == "" {
			r.commandFailed = r.commandFailed || e.Action == "exit"
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
			p.failed[e.Test] = contents(outputs[key])
		case e.Test == "" && (e.Action == "pass" || e.Action == "skip" || e.Action == "fail"):
			p.result, p.output = e.Action, strings.Split(contents(outputs[key]), "\n")
			p.unfinished = unfinishedOutput(outputs, e.Package)
		}
		if e.Test != "" && (e.Action == "pass" || e.Action == "skip" || e.Action == "fail") {
			delete(outputs, key)
		}
	}
	return r, fault.Wrap(fault.Input, scanner.Err(), "what the tests say")
}

// unfinishedOutput returns the first lines of the output of a package's tests that have
// not finished.
func unfinishedOutput(outputs map[string]*strings.Builder, packageName string) (out []string) {
	var keys []string
	for key := range outputs {
		if strings.HasPrefix(key, packageName+" Test") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		out = append(out, strings.Split(contents(outputs[key]), "\n")...)
	}
	return out[:min(len(out), unfinishedLines)]
}

func contents(b *strings.Builder) string {
	if b == nil {
		return ""
	}
	return b.String()
}

// Judge prints the failures to out and returns whether the run passes: only listed tests
// may fail. A test with subtests is judged by its failed subtests.
func (r *Run) Judge(list []KnownFailure, out io.Writer) bool {
	passed, anyFailed, seen := true, false, map[KnownFailure]bool{}
	reject := func(format string, args ...any) {
		passed = false
		fmt.Fprintf(out, format+"\n", args...)
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
			anyFailed = true
			if i+1 < len(tests) && strings.HasPrefix(tests[i+1], test+"/") {
				continue
			}
			if entry, ok := findEntry(list, name, test); ok {
				seen[entry] = true
				fmt.Fprintf(out, "KNOWN RED: %s %s: %s (%s)\n", name, test, entry.Cause, entry.Issue)
				continue
			}
			reject("%sFAILED: %s %s", p.failed[test], name, test)
		}
		switch {
		case p.crashed || p.result == "":
			reject("%s\n%s\nNOT ENDED: %s", strings.Join(p.unfinished, "\n"), strings.Join(p.output, "\n"), name)
		case p.result == "fail" && len(tests) == 0:
			reject("%s\n%s\n%s\nthe last lines:\n%s\nFAILED: %s", strings.Join(r.otherOutput, "\n"), strings.Join(p.unfinished, "\n"), strings.Join(p.output, "\n"), strings.Join(p.lastOutput, "\n"), name)
		}
	}
	for _, entry := range list {
		if !seen[entry] {
			fmt.Fprintf(out, "did not fail in this run, though it is listed: %s %s (%s)\n", entry.Package, entry.Test, entry.Issue)
		}
	}
	if len(names) == 0 || r.commandFailed && passed && !anyFailed {
		reject("%s\nFAILED: the run itself", strings.Join(r.otherOutput, "\n"))
	}
	return passed
}

// findEntry returns the list entry of a test or of one of its parent tests.
func findEntry(list []KnownFailure, packageName, test string) (KnownFailure, bool) {
	for _, entry := range list {
		if strings.HasSuffix(packageName, "/"+entry.Package) && (test == entry.Test || strings.HasPrefix(test, entry.Test+"/")) {
			return entry, true
		}
	}
	return KnownFailure{}, false
}
