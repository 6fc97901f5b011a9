package rules

import (
	"fmt"
	"strings"
	"testing"
)

// edgeDocument has routes of another kind and service inside others, and prefixes with and without
// their last slash.
const edgeDocument = `{"version":1,"services":[{"name":"desk"},{"name":"vault"}],"paths":[
{"name":"loans","host":"h","prefix":"/loans/","repeat":"never","service":"desk"},
{"name":"archive","host":"h","prefix":"/loans/archive/","repeat":"safe","service":"vault"},
{"name":"alone","host":"h","prefix":"/alone/","service":"desk"},
{"name":"bare","host":"h","prefix":"/bare","service":"desk"},
{"name":"both","host":"h","prefix":"/both","service":"desk"},
{"name":"below","host":"h","prefix":"/both/","service":"vault"},
{"name":"method","host":"h","prefix":"/both/m","method":"GET","service":"vault"},
{"name":"any","host":"h","prefix":"/both/m/","service":"vault"}]}`

// TestPrefixEdges guards against a request that gets the route of a prefix which doesn't begin its
// path: with "/loans/archive" taken for the repeatable "/loans/archive/", a request that may run
// only once was sent to a second worker when its answer was lost.
func TestPrefixEdges(t *testing.T) {
	r := mustCompile(t, edgeDocument)
	for path, want := range map[string]string{
		"/loans/archive": "loans", "/loans/archive/": "archive", "/loans/archive/7": "archive", "/loans/archive//": "archive",
		"/loans/archives/7": "loans", "/loans/archivex": "loans", "/loans//archive/7": "loans", "/loans/%61rchive/7": "loans",
		"/loans/archive%2F7": "loans", "/loans/Archive/7": "loans", "/loans/./archive/7": "loans", "/loans/": "loans", "/loans": "", "//loans/7": "", "/loansx": "",
		"/alone": "", "/alone/": "alone", "/alonex/": "", "/": "", "": "", "*": "", "loans/": "",
		"/bare": "bare", "/bare/": "bare", "/bare/7": "bare", "/barefoot": "",
		"/both": "both", "/both/": "below", "/both/7": "below", "/bothx": "",
		"/both/m": "method", "/both/m/": "any", "/both/m/7": "any",
	} {
		got := ""
		if route := r.Match("h", "GET", path); route != nil {
			got = route.Name
		}
		if got != want {
			t.Errorf("%s matched %q, want %q", path, got, want)
		}
	}
}

// TestSamePrefixTwice checks that two routes of one host and method are a fault if their prefixes
// are the same, and not if they differ by the last slash.
func TestSamePrefixTwice(t *testing.T) {
	for _, c := range []struct {
		second string
		valid  bool
	}{{"/bare", false}, {"/bare/", true}, {"/alone", true}, {"/alone/", false}} {
		doc := strings.Replace(edgeDocument, `"prefix":"/loans/archive/"`, `"prefix":"`+c.second+`"`, 1)
		r, problems, err := Compile(1, []byte(doc))
		if err != nil || (r != nil) != c.valid {
			t.Errorf("a second route with prefix %s: compiled %v, problems %v, error %v", c.second, r != nil, problems, err)
		}
	}
}

// TestPathOf checks that the path of a request target is taken as it was sent, without its query.
func TestPathOf(t *testing.T) {
	for target, want := range map[string]string{
		"/loans/archive?next=/loans/archive/": "/loans/archive", "/loans/%61rchive/7": "/loans/%61rchive/7", "/a|b/7": "/a|b/7",
		"//loans/7?": "//loans/7", "/": "/", "?k=1": "", "": "", "*": "*",
	} {
		if got := PathOf(target); got != want {
			t.Errorf("the path of %q is %q, want %q", target, got, want)
		}
	}
}

// BenchmarkMatch measures a match four segments deep among 1000 routes.
func BenchmarkMatch(b *testing.B) {
	var rows []string
	for _, name := range routeNames(1000) {
		rows = append(rows, `{"name":"`+name+`","host":"h.example","prefix":"/a/b/`+name+`/","service":"s"}`)
	}
	r, problems, err := Compile(1, []byte(`{"version":1,"services":[{"name":"s"}],"paths":[`+strings.Join(rows, ",")+`]}`))
	if r == nil {
		b.Fatal(problems, err)
	}
	for b.Loop() {
		if r.Match("h.example", "GET", "/a/b/p7/page") == nil {
			b.Fatal("no route matched")
		}
	}
}

func routeNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("p", i)
	}
	return names
}
