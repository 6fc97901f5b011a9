// Package repocheck checks the source tree against the rules of this repository, and the
// generated pages in docs against the code.
package repocheck

import (
	"bytes"
	"debug/elf"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"puffincrank/internal/event"
	"puffincrank/internal/proxy"
	"puffincrank/internal/registry"
	"puffincrank/internal/rules"
	"puffincrank/internal/schema"
	"puffincrank/internal/settings"
)

var update = flag.Bool("update", false, "write the generated pages")

const root = "../.."

// walkFiles visits the files of the source tree, without build output and the journal.
func walkFiles(t *testing.T, visit func(name string, raw []byte)) {
	t.Helper()
	count := 0
	err := filepath.WalkDir(root, func(name string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		base := d.Name()
		if d.IsDir() && (base == ".git" || base == "journal" || base == "target" || base == "bin" || base == "run") {
			return filepath.SkipDir
		}
		if d.IsDir() || base == "go.sum" || strings.HasSuffix(base, ".test") {
			return nil
		}
		raw, err := os.ReadFile(name)
		count++
		visit(name, raw)
		return err
	})
	if err != nil || count < 50 {
		t.Fatalf("walked %d files: %v", count, err)
	}
}

// TestSourceFileRules checks that no file has more than 250 lines, that goroutines are
// started in package task only, that no product package starts processes, and that no test
// sleeps.
func TestSourceFileRules(t *testing.T) {
	walkFiles(t, func(name string, raw []byte) {
		if lines := bytes.Count(raw, []byte("\n")); lines > 250 {
			t.Errorf("%s has %d lines", name, lines)
		}
		if !strings.HasSuffix(name, ".go") {
			return
		}
		slash := filepath.ToSlash(name)
		test := strings.HasSuffix(name, "_test.go")
		for i, line := range strings.Split(string(raw), "\n") {
			at := fmt.Sprintf("%s:%d", slash, i+1)
			code := strings.TrimSpace(line)
			if !test && strings.HasPrefix(code, "go ") && !strings.Contains(slash, "internal/task/") {
				t.Errorf("%s: goroutine is started outside package task", at)
			}
			if test && strings.Contains(code, "time.Sleep"+"(") {
				t.Errorf("%s: test sleeps; wait for a condition instead", at)
			}
			if code == `"os/exec"` && !strings.Contains(slash, "internal/fleetrun/") && !strings.Contains(slash, "internal/mutant/") && !test {
				t.Errorf("%s: os/exec is imported, but a product process must not start others", at)
			}
		}
	})
}

// TestDynamicallyLinked checks that the programs are linked dynamically to the C library.
func TestDynamicallyLinked(t *testing.T) {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "./cmd/proxy", "./cmd/registry", "./cmd/store", "./cmd/puffinctl")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, n := range []string{"proxy", "registry", "store", "puffinctl"} {
		f, err := elf.Open(filepath.Join(dir, n))
		if err != nil {
			t.Fatal(err)
		}
		libs, err := f.ImportedLibraries()
		if err != nil || !strings.Contains(strings.Join(libs, " "), "libc.so") {
			t.Errorf("%s is not linked to libc.so but to %v: %v", n, libs, err)
		}
		_ = f.Close()
	}
}

// TestInvalidSettings checks that a program with invalid settings prints every fault and
// exits with code 2.
func TestInvalidSettings(t *testing.T) {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "./cmd/proxy")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	if out, err := exec.Command(filepath.Join(dir, "proxy"), "--version").Output(); err != nil || !strings.Contains(string(out), "wire ") {
		t.Errorf("--version: %v %s", err, out)
	}
	run := exec.Command(filepath.Join(dir, "proxy"), "--node", "n1", "--area", "a b", "--inner", "localhost:1", "--outer", "127.0.0.1:2",
		"--traffic", "127.0.0.1:3", "--seeds", "127.0.0.1:4,127.0.0.1:4", "--change-ms", "soon")
	out, err := run.CombinedOutput()
	if err == nil || run.ProcessState.ExitCode() != 2 {
		t.Errorf("exit code %d, want 2", run.ProcessState.ExitCode())
	}
	for _, want := range []string{"area", "inner", "seeds", "change_ms"} {
		if !strings.Contains(string(out), "prop "+want+":") {
			t.Errorf("the fault of setting %s is not reported: %s", want, out)
		}
	}
}

// comparePage compares a generated page with the file in docs, or writes the file with
// -update.
func comparePage(t *testing.T, name, want string) {
	t.Helper()
	file := filepath.Join(root, "docs", name)
	if *update {
		if err := os.WriteFile(file, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(file)
	if err != nil || string(got) != want {
		t.Errorf("docs/%s differs from the page generated from the code (%v); run go test ./internal/repocheck -update", name, err)
	}
}

// TestEventsPage checks that the page of events matches the catalogue in the code, that
// event numbers are unique, and that every declared kind is in the catalogue.
func TestEventsPage(t *testing.T) {
	var text strings.Builder
	text.WriteString("# Events\n\nMade from the catalogue in the code. Warnings are marked with `!`.\nEach line of a log names the event by number; `puffinctl events` shows the newest of all nodes.\n\n")
	text.WriteString("| number | name | | meaning |\n| --- | --- | --- | --- |\n")
	seen := map[int]bool{}
	for _, kind := range event.Catalogue {
		if seen[kind.Number] {
			t.Errorf("event number %d is used twice", kind.Number)
		}
		seen[kind.Number] = true
		mark := ""
		if kind.IsWarning {
			mark = "!"
		}
		fmt.Fprintf(&text, "| %d | %s | %s | %s |\n", kind.Number, kind.Name, mark, kind.Text)
	}
	comparePage(t, "events.md", text.String())
	source, err := os.ReadFile(filepath.Join(root, "internal/event/catalogue.go"))
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(source), "= Kind{"); n != len(event.Catalogue) {
		t.Errorf("%d event kinds are declared, but %d are in the catalogue", n, len(event.Catalogue))
	}
}

// TestSettingsPage and TestConfigurationPage check that the pages of settings match the tables.
func TestSettingsPage(t *testing.T) {
	var text strings.Builder
	text.WriteString("# Props: the settings of a process\n\nMade from the tables in the code. A prop comes from the settings file (`--props FILE`, one JSON object)\nor from a flag of its name with dashes (`change_ms` is `--change-ms`); flags win. Lists are written with\ncommas in flags. With bad props a program prints every fault and ends with code 2.\n\n")
	for _, n := range []string{"proxy", "registry", "store"} {
		fmt.Fprintf(&text, "## %s\n\n%s\n", n, settings.Tables[n].Doc())
	}
	text.WriteString("All other times are ratios to these bounds. The pace is `change_ms`, or less if that is more than four thirds of\n`touch_ms`, two fifths of `return_ms` or five eighths of `catch_up_ms`: a beat is a tenth of it, a lease half of it, a\nconfirmation counts for eight tenths of it. A worker is down after five eighths of `leave_ms`, or of `return_ms` if that\nis less, without a beat (with `beat_ms` given, after two and a half beats and an eighth of the pace, or as little as one\nand a half where `return_ms` is short), tombstones are kept six times `retire_ms`. At the start the parts are checked\nto add up to less than their bound.\n")
	comparePage(t, "props.md", text.String())
}

func TestConfigurationPage(t *testing.T) {
	var text strings.Builder
	text.WriteString("# The configuration document\n\nMade from the tables in the code. One JSON object, at most 4 MiB; doubled names are faults, and\nso are unknown ones unless the document has a `version`.\n\n")
	for _, table := range rules.Tables {
		fmt.Fprintf(&text, "## %s\n\n%s\n", table.Name, table.Doc())
	}
	text.WriteString(routeRules)
	text.WriteString("# Bodies of other calls\n\n")
	for _, table := range []schema.Table{proxy.HeartbeatTable, registry.LockTable, registry.KeyTable, registry.ProposalTable, registry.AcquireLockTable, registry.RenewLockTable, registry.ReleaseLockTable, registry.PutGroupKeyTable} {
		fmt.Fprintf(&text, "## %s\n\n%s\n", table.Name, table.Doc())
	}
	comparePage(t, "configuration.md", text.String())
}
