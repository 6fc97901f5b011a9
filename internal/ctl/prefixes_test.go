package ctl

import (
	"bytes"
	"strings"
	"testing"
)

// TestNotePrefixes checks that the paths are named whose prefix ends with a slash, but for the root
// and those whose URL path without it has a route of its own.
func TestNotePrefixes(t *testing.T) {
	const doc = `{"version":1,"services":[{"name":"s"}],"paths":[{"name":"root","host":"h","prefix":"/","service":"s"},{"name":"a","prefix":"/a/","service":"s"},
{"name":"b","prefix":"/b","service":"s"},{"name":"c","prefix":"/c/","service":"s"},{"name":"c2","prefix":"/c","service":"s"},{"name":"d","host":"h","prefix":"/d/","service":"s"}]}`
	var out bytes.Buffer
	m := &command{stderr: &out}
	m.notePrefixes([]byte(doc))
	if got := out.String(); !strings.HasSuffix(got, ": a (/a/)\n") {
		t.Errorf("got %q", got)
	}
	out.Reset()
	m.notePrefixes([]byte(strings.Replace(doc, `"/a/"`, `"/a"`, 1)))
	if out.Len() > 0 {
		t.Errorf("got %q", out.String())
	}
}
