package repocheck

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

var (
	included = regexp.MustCompile(`(?m)^\s*#\s*include\s+(<[^>]+>)`)
	header   = regexp.MustCompile(`(?m)^\.+ (/\S+)`)
	linked   = regexp.MustCompile(`(?m)^\(?(/[^\s()]+)`)
)

// output runs a command and gives what it printed.
func output(t *testing.T, dir string, name string, args ...string) string {
	t.Helper()
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%s %v: %v\n%s", name, args, err, out)
	}
	return string(out)
}

// cIncludes lists the system's headers that the C parts of the programs include.
func cIncludes(t *testing.T) []string {
	t.Helper()
	raw := output(t, root, "go", "list", "-deps", "-json=Dir,CgoFiles,CFiles,HFiles,SFiles", "./cmd/proxy", "./cmd/registry", "./cmd/store")
	found := map[string]bool{}
	for dec := json.NewDecoder(strings.NewReader(raw)); dec.More(); {
		var p struct {
			Dir                              string
			CgoFiles, CFiles, HFiles, SFiles []string
		}
		if err := dec.Decode(&p); err != nil {
			t.Fatal(err)
		}
		if len(p.CgoFiles) == 0 {
			continue
		}
		for _, f := range slices.Concat(p.CgoFiles, p.CFiles) {
			text, err := os.ReadFile(filepath.Join(p.Dir, f))
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range included.FindAllSubmatch(text, -1) {
				found[string(m[1])] = true
			}
		}
	}
	var out []string
	for h := range found {
		out = append(out, h)
	}
	slices.Sort(out)
	return out
}

// opened lists the files that compiling and linking such a C part opens, and the
// programs that do it.
func opened(t *testing.T, includes []string) (files []string) {
	t.Helper()
	dir := t.TempDir()
	var src bytes.Buffer
	for _, h := range includes {
		src.WriteString("#if __has_include(" + h + ")\n#include " + h + "\n#endif\n")
	}
	src.WriteString("int main(void) { return 0; }\n")
	if err := os.WriteFile(filepath.Join(dir, "probe.c"), src.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	out := output(t, dir, "gcc", "-D_GNU_SOURCE", "-pthread", "-H", "-Wl,--trace", "probe.c", "-o", "probe", "-lresolv")
	for _, m := range append(header.FindAllStringSubmatch(out, -1), linked.FindAllStringSubmatch(out, -1)...) {
		if !strings.HasPrefix(m[1], dir) && !strings.HasPrefix(m[1], "/tmp/") {
			files = append(files, m[1])
		}
	}
	for _, tool := range []string{"cc1", "as", "ld", "collect2"} {
		at := strings.TrimSpace(output(t, dir, "gcc", "-print-prog-name="+tool))
		if found, err := exec.LookPath(at); err == nil {
			files = append(files, found)
		}
	}
	gcc, err := exec.LookPath("gcc")
	if err != nil {
		t.Fatal(err)
	}
	return append(files, gcc)
}

// owners gives the packages that own files, as far as any does, each with one of
// its files.
func owners(files []string) map[string]string {
	args := []string{"-S"}
	for _, f := range files {
		names := []string{f, filepath.Clean(f)}
		if real, err := filepath.EvalSymlinks(f); err == nil {
			names = append(names, real)
		}
		for _, n := range names {
			// Debian's database has the names from before /lib moved to /usr/lib.
			args = append(args, n, strings.TrimPrefix(n, "/usr"))
		}
	}
	// It fails when any file has no owner, and names the others all the same.
	raw, _ := exec.Command("dpkg", args...).Output()
	out := map[string]string{}
	for _, l := range strings.Split(string(raw), "\n") {
		if name, file, ok := strings.Cut(l, ": "); ok {
			name, _, _ = strings.Cut(name, ":")
			out[name] = file
		}
	}
	return out
}

// closure gives packages with all that they depend on, as installed here.
func closure(t *testing.T, listed []string) map[string]bool {
	t.Helper()
	needs := map[string][]string{}
	for _, l := range strings.Split(output(t, root, "dpkg-query", "-W", "-f", "${Package}\t${Depends}, ${Pre-Depends}\n"), "\n") {
		name, rest, _ := strings.Cut(l, "\t")
		for _, d := range strings.FieldsFunc(rest, func(r rune) bool { return r == ',' || r == '|' }) {
			if f := strings.Fields(d); len(f) > 0 {
				dep, _, _ := strings.Cut(f[0], ":")
				needs[name] = append(needs[name], dep)
			}
		}
	}
	out := map[string]bool{}
	for todo := slices.Clone(listed); len(todo) > 0; todo = todo[1:] {
		if !out[todo[0]] {
			out[todo[0]] = true
			todo = append(todo, needs[todo[0]]...)
		}
	}
	return out
}

// TestPackages: the system packages that the deploy file lists, with what they
// depend on, own every file that the C part of a build opens; and each that is
// listed owns one of them, or the certificates by which modules are fetched.
func TestPackages(t *testing.T) {
	var in struct {
		Packages []string `toml:"packages"`
	}
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy/system.toml"), &in); err != nil {
		t.Fatal(err)
	}
	includes := cIncludes(t)
	if len(includes) < 5 {
		t.Fatalf("the programs include only %v", includes)
	}
	own := owners(append(opened(t, includes), "/usr/sbin/update-ca-certificates"))
	if len(own) < 5 {
		t.Fatalf("only these packages own what the build opens: %v", own)
	}
	have := closure(t, in.Packages)
	for name, file := range own {
		if !have[name] {
			t.Errorf("%s, of package %s, is opened by the build and not listed", file, name)
		}
	}
	for _, name := range in.Packages {
		if own[name] == "" {
			t.Errorf("package %s is listed, and the build opens no file of it", name)
		}
	}
}
