package knownfailures

import (
	"strings"
	"testing"
)

// TestRead checks that a malformed line, such as one without a cause or an issue, is
// reported, and that comments and empty lines are skipped.
func TestRead(t *testing.T) {
	got, err := Read("# note\n\ninternal/sim TestA/one | late | #12\n")
	if err != nil || len(got) != 1 || got[0] != (KnownFailure{"internal/sim", "TestA/one", "late", "#12"}) {
		t.Errorf("parsed %v, error %v", got, err)
	}
	for _, malformed := range []string{"internal/sim TestA", "internal/sim TestA | late", "internal/sim TestA | | #1", "internal/sim | late | #1", "internal/sim Fuzz | late | #1", "a TestA | b | c | d"} {
		if _, err := Read("# x\n" + malformed); err == nil || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("malformed line %q: error %v", malformed, err)
		}
	}
}

// TestJudge checks that only listed failures are accepted, and only if the run finished.
func TestJudge(t *testing.T) {
	line := func(action, test, out string) string {
		return `{"Action":"` + action + `","Package":"puffincrank/internal/sim","Test":"` + test + `","Output":"` + out + `"}` + "\n"
	}
	failed := line("output", "TestA", `a_test.go:1: no\n`) + line("fail", "TestA", "")
	subtest := line("output", "TestA/one", `a_test.go:1: no\n`) + line("fail", "TestA/one", "") + line("fail", "TestA", "")
	end, exit := line("output", "", `FAIL\tx\n`)+line("fail", "", ""), `{"Action":"exit"}`+"\n"
	testEntry, subtestEntry := KnownFailure{"internal/sim", "TestA", "c", "#1"}, KnownFailure{"internal/sim", "TestA/one", "c", "#1"}
	for _, c := range []struct {
		name, input string
		list        []KnownFailure
		passed      bool
		want        string
	}{
		{"all pass", line("pass", "TestA", "") + line("pass", "", ""), nil, true, ""},
		{"an unlisted test fails", failed + end + exit, nil, false, "FAILED: puffincrank/internal/sim TestA"},
		{"the output of the failed test is printed", failed + end + exit, nil, false, "a_test.go:1: no"},
		{"a listed test fails", failed + end + exit, []KnownFailure{testEntry}, true, "KNOWN RED: puffincrank/internal/sim TestA: c (#1)"},
		{"another test is listed", failed + end + exit, []KnownFailure{{"internal/sim", "TestAll", "c", "#1"}}, false, "FAILED"},
		{"a test of another package is listed", failed + end + exit, []KnownFailure{{"internal/rules", "TestA", "c", "#1"}}, false, "FAILED"},
		{"a listed subtest fails", subtest + end + exit, []KnownFailure{subtestEntry}, true, "KNOWN RED"},
		{"a subtest of a listed test fails", subtest + end + exit, []KnownFailure{testEntry}, true, "KNOWN RED"},
		{"an unlisted subtest fails too", line("fail", "TestA/two", "") + subtest + end + exit, []KnownFailure{subtestEntry}, false, "TestA/two"},
		{"a listed test passes", line("pass", "TestA", "") + line("pass", "", ""), []KnownFailure{testEntry}, true, "did not fail"},
		{"a listed test panics", line("output", "TestA", `panic: oh\n`) + failed + end + exit, []KnownFailure{testEntry}, false, "NOT ENDED"},
		{"the process crashes in a test", line("output", "TestA", `SIGSEGV: segmentation violation\n`) + end + exit, nil, false, "SIGSEGV"},
		{"the process crashes after a test", line("output", "TestA", `ThreadSanitizer: CHECK failed\n`) + line("pass", "TestA", "") + end + exit, nil, false, "ThreadSanitizer: CHECK failed"},
		{"the package has no result", failed, []KnownFailure{testEntry}, false, "NOT ENDED"},
		{"the build fails", `{"ImportPath":"x","Action":"build-output","Output":"x.go:1: what\n"}` + "\n" + end + exit, []KnownFailure{testEntry}, false, "x.go:1: what"},
		{"no package is run", "no go files\n" + exit, nil, false, "no go files"},
		{"empty", "", nil, false, "the run itself"},
		{"only the command failed", line("pass", "", "") + exit, nil, false, "the run itself"},
	} {
		got, err := ReadRun(strings.NewReader(c.input), &strings.Builder{})
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if passed := got.Judge(c.list, &out); passed != c.passed || !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: passed %v, output %q", c.name, passed, out.String())
		}
	}
}
