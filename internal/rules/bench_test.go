package rules

import (
	"fmt"
	"strings"
	"testing"

	"puffincrank/internal/schema"
)

func benchDoc(n int) []byte {
	var p []string
	for i := range n {
		p = append(p, fmt.Sprintf(`{"name":"p%d","prefix":"/a/b/p%d","service":"s","class":"c","left_ms":3000,"repeat":"safe","tries":2}`, i, i))
	}
	return []byte(`{"services":[{"name":"s"}],"classes":[{"name":"c","share":100}],"paths":[` + strings.Join(p, ",") + `]}`)
}

func BenchmarkCompile(b *testing.B) {
	for _, n := range []int{400, 1000, 2400, 4800} {
		doc := benchDoc(n)
		b.Run(fmt.Sprint("parse", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _, _ = schema.Parse(doc)
			}
		})
		b.Run(fmt.Sprint("whole", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if r, bad, err := Compile(1, doc); r == nil {
					b.Fatal(bad, err)
				}
			}
		})
		old, _, _ := Compile(1, doc)
		next := []byte(strings.Replace(string(doc), `"left_ms":3000`, `"left_ms":4000`, n/2))
		next = []byte(strings.Replace(string(next), `"left_ms":4000`, `"left_ms":3000`, n/2-1))
		b.Run(fmt.Sprint("row", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if r, bad, err := Recompile(old, 2, next); r == nil {
					b.Fatal(bad, err)
				}
			}
		})
	}
}
