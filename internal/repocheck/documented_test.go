package repocheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
)

// undocumented returns the exported declarations of a file that have no comment.
func undocumented(fset *token.FileSet, f *ast.File) (out []string) {
	check := func(name *ast.Ident, docs ...*ast.CommentGroup) {
		for _, d := range docs {
			if d != nil && strings.TrimSpace(d.Text()) != "" {
				return
			}
		}
		if name.IsExported() {
			out = append(out, fset.Position(name.Pos()).String()+": "+name.Name)
		}
	}
	for _, d := range f.Decls {
		switch d := d.(type) {
		case *ast.FuncDecl:
			if d.Recv == nil || exportedReceiver(d) {
				check(d.Name, d.Doc)
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				switch spec := spec.(type) {
				case *ast.TypeSpec:
					check(spec.Name, spec.Doc, d.Doc, spec.Comment)
				case *ast.ValueSpec:
					for _, n := range spec.Names {
						check(n, spec.Doc, d.Doc, spec.Comment)
					}
				}
			}
		}
	}
	return out
}

// exportedReceiver returns whether a method belongs to an exported type.
func exportedReceiver(d *ast.FuncDecl) bool {
	t := d.Recv.List[0].Type
	if p, ok := t.(*ast.StarExpr); ok {
		t = p.X
	}
	if i, ok := t.(*ast.IndexExpr); ok {
		t = i.X
	}
	id, ok := t.(*ast.Ident)
	return ok && id.IsExported()
}

// TestDocumented checks that every package and every exported declaration outside of tests
// has a doc comment.
func TestDocumented(t *testing.T) {
	described, items := map[string]bool{}, 0
	walkFiles(t, func(name string, raw []byte) {
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return
		}
		fset := token.NewFileSet()
		f, err := parser.ParseFile(fset, name, raw, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		dir := filepath.Dir(name)
		described[dir] = described[dir] || f.Doc != nil
		items++
		for _, u := range undocumented(fset, f) {
			t.Errorf("%s has no comment", u)
		}
	})
	for dir, ok := range described {
		if !ok {
			t.Errorf("package in %s has no comment", dir)
		}
	}
	if items < 100 {
		t.Errorf("only %d files were checked", items)
	}
}

// TestUndocumented checks that missing doc comments are found.
func TestUndocumented(t *testing.T) {
	const src = "// Package p is one.\npackage p\n\ntype T struct{}\n\n// F is documented.\nfunc F() {}\n\nfunc (T) M() {}\n\nfunc (t *u) N() {}\n\nvar V, w int\n\ntype u struct{}\n"
	fset := token.NewFileSet()
	f, err := parser.ParseFile(fset, "p.go", src, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	if got := undocumented(fset, f); len(got) != 3 {
		t.Errorf("found %v, want 3 declarations", got)
	}
}
