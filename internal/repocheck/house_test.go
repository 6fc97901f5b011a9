// Package repocheck checks the rules of this repository on its own tree.
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

// files walks the tree as git would see it.
func files(t *testing.T, f func(name string, raw []byte)) {
	t.Helper()
	n := 0
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
		n++
		f(name, raw)
		return err
	})
	if err != nil || n < 50 {
		t.Fatalf("walked %d files: %v", n, err)
	}
}

// TestFiles: no file is over 250 lines, goroutines start in one package, no
// product package starts processes, no test sleeps.
func TestFiles(t *testing.T) {
	files(t, func(name string, raw []byte) {
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
				t.Errorf("%s starts a goroutine outside package task", at)
			}
			if test && strings.Contains(code, "time.Sleep"+"(") {
				t.Errorf("%s sleeps", at)
			}
			if code == `"os/exec"` && !strings.Contains(slash, "internal/fleetrun/") && !strings.Contains(slash, "internal/mutant/") && !test {
				t.Errorf("%s imports os/exec: a product process starts no other", at)
			}
		}
	})
}

// TestLinked: the programs are linked to the C library dynamically.
func TestLinked(t *testing.T) {
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
			t.Errorf("%s is linked to %v: %v", n, libs, err)
		}
		_ = f.Close()
	}
}

// TestBadProps: a program that starts with bad props prints every fault and
// ends with code 2.
func TestBadProps(t *testing.T) {
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
		t.Errorf("ended with %d", run.ProcessState.ExitCode())
	}
	for _, want := range []string{"area", "inner", "seeds", "change_ms"} {
		if !strings.Contains(string(out), "prop "+want+":") {
			t.Errorf("%s is not named: %s", want, out)
		}
	}
}

// page compares a generated page with the one in docs.
func page(t *testing.T, name, want string) {
	t.Helper()
	file := filepath.Join(root, "docs", name)
	if *update {
		if err := os.WriteFile(file, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(file)
	if err != nil || string(got) != want {
		t.Errorf("docs/%s is not what the code says (%v); run go test ./internal/repocheck -update", name, err)
	}
}

// TestEvents: the catalogue in the docs is the one in the code, and every
// number stands once.
func TestEvents(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Events\n\nMade from the catalogue in the code. Warnings are marked with `!`.\nEach line of a log names the event by number; `puffinctl events` shows the newest of all nodes.\n\n")
	b.WriteString("| number | name | | meaning |\n| --- | --- | --- | --- |\n")
	seen := map[int]bool{}
	for _, k := range event.Catalogue {
		if seen[k.Number] {
			t.Errorf("event %d stands twice", k.Number)
		}
		seen[k.Number] = true
		mark := ""
		if k.IsWarning {
			mark = "!"
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", k.Number, k.Name, mark, k.Text)
	}
	page(t, "events.md", b.String())
	src, err := os.ReadFile(filepath.Join(root, "internal/event/catalogue.go"))
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(src), "= Kind{"); n != len(event.Catalogue) {
		t.Errorf("%d kinds are declared, %d are in the catalogue", n, len(event.Catalogue))
	}
}

// TestProps and TestConfiguration: the pages of settings are the tables.
func TestProps(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Props: the settings of a process\n\nMade from the tables in the code. A prop comes from the settings file (`--props FILE`, one JSON object)\nor from a flag of its name with dashes (`change_ms` is `--change-ms`); flags win. Lists are written with\ncommas in flags. With bad props a program prints every fault and ends with code 2.\n\n")
	for _, n := range []string{"proxy", "registry", "store"} {
		fmt.Fprintf(&b, "## %s\n\n%s\n", n, settings.Tables[n].Doc())
	}
	b.WriteString("All other times are ratios to these bounds. The pace is `change_ms`, or less if that is more than four thirds of\n`touch_ms`, two fifths of `return_ms` or five eighths of `catch_up_ms`: a beat is a tenth of it, a lease half of it, a\nconfirmation counts for eight tenths of it. A worker is down after five eighths of `leave_ms`, or of `return_ms` if that\nis less, without a beat (with `beat_ms` given, after two and a half beats and an eighth of the pace, or as little as one\nand a half where `return_ms` is short), tombstones are kept six times `retire_ms`. At the start the parts are checked\nto add up to less than their bound.\n")
	page(t, "props.md", b.String())
}

func TestConfiguration(t *testing.T) {
	var b strings.Builder
	b.WriteString("# The configuration document\n\nMade from the tables in the code. One JSON object, at most 4 MiB; doubled names are faults, and\nso are unknown ones unless the document has a `version`.\n\n")
	for _, tab := range rules.Tables {
		fmt.Fprintf(&b, "## %s\n\n%s\n", tab.Name, tab.Doc())
	}
	b.WriteString(sayPaths)
	b.WriteString("# Bodies of other calls\n\n")
	for _, tab := range []schema.Table{proxy.HeartbeatTable, registry.LockTable, registry.KeyTable, registry.ProposalTable, registry.AcquireLockTable, registry.RenewLockTable, registry.ReleaseLockTable, registry.PutGroupKeyTable} {
		fmt.Fprintf(&b, "## %s\n\n%s\n", tab.Name, tab.Doc())
	}
	page(t, "configuration.md", b.String())
}
