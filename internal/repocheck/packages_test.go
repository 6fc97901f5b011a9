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
	includeDirective = regexp.MustCompile(`(?m)^\s*#\s*include\s+(<[^>]+>)`)
	openedHeader     = regexp.MustCompile(`(?m)^\.+ (/\S+)`)
	linkedFile       = regexp.MustCompile(`(?m)^\(?(/[^\s()]+)`)
)

// runCommand runs a command and returns its output.
func runCommand(t *testing.T, dir string, name string, args ...string) string {
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

// cIncludes returns the system headers that the cgo code of the programs includes.
func cIncludes(t *testing.T) []string {
	t.Helper()
	raw := runCommand(t, root, "go", "list", "-deps", "-json=Dir,CgoFiles,CFiles,HFiles,SFiles", "./cmd/proxy", "./cmd/registry", "./cmd/store")
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
			for _, m := range includeDirective.FindAllSubmatch(text, -1) {
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

// filesOpenedByBuild returns the files that are opened when C code with these includes is
// compiled and linked, and the programs of the compiler.
func filesOpenedByBuild(t *testing.T, includes []string) (files []string) {
	t.Helper()
	dir := t.TempDir()
	var source bytes.Buffer
	for _, h := range includes {
		source.WriteString("#if __has_include(" + h + ")\n#include " + h + "\n#endif\n")
	}
	source.WriteString("int main(void) { return 0; }\n")
	if err := os.WriteFile(filepath.Join(dir, "probe.c"), source.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	out := runCommand(t, dir, "gcc", "-D_GNU_SOURCE", "-pthread", "-H", "-Wl,--trace", "probe.c", "-o", "probe", "-lresolv")
	for _, m := range append(openedHeader.FindAllStringSubmatch(out, -1), linkedFile.FindAllStringSubmatch(out, -1)...) {
		if !strings.HasPrefix(m[1], dir) && !strings.HasPrefix(m[1], "/tmp/") {
			files = append(files, m[1])
		}
	}
	for _, tool := range []string{"cc1", "as", "ld", "collect2"} {
		path := strings.TrimSpace(runCommand(t, dir, "gcc", "-print-prog-name="+tool))
		if found, err := exec.LookPath(path); err == nil {
			files = append(files, found)
		}
	}
	gcc, err := exec.LookPath("gcc")
	if err != nil {
		t.Fatal(err)
	}
	return append(files, gcc)
}

// owningPackages returns the packages that own the files, each with one of its files. Files
// without an owner are skipped.
func owningPackages(files []string) map[string]string {
	args := []string{"-S"}
	for _, f := range files {
		names := []string{f, filepath.Clean(f)}
		if real, err := filepath.EvalSymlinks(f); err == nil {
			names = append(names, real)
		}
		for _, n := range names {
			// The database of Debian has paths from before /lib was moved to /usr/lib.
			args = append(args, n, strings.TrimPrefix(n, "/usr"))
		}
	}
	// The command fails if any file has no owner, but still prints the other owners.
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

// withDependencies returns packages and their transitive dependencies, by the installed
// package database.
func withDependencies(t *testing.T, packages []string) map[string]bool {
	t.Helper()
	dependencies := map[string][]string{}
	for _, l := range strings.Split(runCommand(t, root, "dpkg-query", "-W", "-f", "${Package}\t${Depends}, ${Pre-Depends}\n"), "\n") {
		name, rest, _ := strings.Cut(l, "\t")
		for _, d := range strings.FieldsFunc(rest, func(r rune) bool { return r == ',' || r == '|' }) {
			if f := strings.Fields(d); len(f) > 0 {
				dep, _, _ := strings.Cut(f[0], ":")
				dependencies[name] = append(dependencies[name], dep)
			}
		}
	}
	out := map[string]bool{}
	for pending := slices.Clone(packages); len(pending) > 0; pending = pending[1:] {
		if !out[pending[0]] {
			out[pending[0]] = true
			pending = append(pending, dependencies[pending[0]]...)
		}
	}
	return out
}

// TestPackages checks that the system packages listed in deploy/system.toml, with their
// dependencies, own every file that a build with cgo opens. Each listed package must own one
// of these files, or the certificates that are needed to fetch modules.
func TestPackages(t *testing.T) {
	var deployed struct {
		Packages []string `toml:"packages"`
	}
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy/system.toml"), &deployed); err != nil {
		t.Fatal(err)
	}
	includes := cIncludes(t)
	if len(includes) < 5 {
		t.Fatalf("too few system headers are included by the programs: %v", includes)
	}
	owners := owningPackages(append(filesOpenedByBuild(t, includes), "/usr/sbin/update-ca-certificates"))
	if len(owners) < 5 {
		t.Fatalf("too few packages own the files that the build opens: %v", owners)
	}
	listed := withDependencies(t, deployed.Packages)
	for name, file := range owners {
		if !listed[name] {
			t.Errorf("the build opens %s, but its package %s is not listed", file, name)
		}
	}
	for _, name := range deployed.Packages {
		if owners[name] == "" {
			t.Errorf("package %s is listed, but the build opens none of its files", name)
		}
	}
}
