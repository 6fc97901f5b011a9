package rules

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var portSuffix = regexp.MustCompile(`:[^:\]]*$`)

// beginsPath reports whether a prefix begins a path. A prefix that ends with a slash does so letter
// for letter; one without ends where the path ends or goes on with a slash.
func beginsPath(prefix, path string) bool {
	rest, begins := strings.CutPrefix(path, prefix)
	return begins && (strings.HasSuffix(prefix, "/") || rest == "" || rest[0] == '/')
}

// modelMatch checks every route in turn: the straightforward model of Match.
func modelMatch(r *Rules, host, method, path string) *Route {
	host = strings.ToLower(portSuffix.ReplaceAllString(host, ""))
	var best *Route
	for _, p := range r.Routes {
		if !beginsPath(p.Prefix, path) || p.Host != "" && p.Host != host || p.Method != "any" && p.Method != method {
			continue
		}
		switch {
		case best == nil:
		case (p.Host == "") != (best.Host == ""):
			if p.Host == "" {
				continue
			}
		case len(p.Prefix) != len(best.Prefix):
			if len(p.Prefix) < len(best.Prefix) {
				continue
			}
		case p.Method == "any":
			continue
		}
		best = p
	}
	return best
}

func checkMatch(t interface {
	Helper()
	Fatalf(string, ...any)
}, r *Rules, host, method, url string) {
	t.Helper()
	if got, want := r.Match(host, method, url), modelMatch(r, host, method, url); got != want {
		t.Fatalf("%q %q %q: matched %v, the model %v", host, method, url, got, want)
	}
}

// TestMatchModel checks Match against the model over random routes and requests.
func TestMatchModel(t *testing.T) {
	hosts := []string{"", "one.example", "ONE.example:80", "two.example", "[::1]", "[::1]:443", "one", "[::2]"}
	segment := rapid.SampledFrom([]string{"a", "b", "ab", "%2F", "a.b", "é"})
	rapid.Check(t, func(t *rapid.T) {
		url := func() string {
			out := ""
			for range rapid.IntRange(0, 4).Draw(t, "deep") {
				out += "/" + segment.Draw(t, "part")
			}
			return out
		}
		seen := map[string]bool{}
		var rows []string
		for i := range rapid.IntRange(1, 12).Draw(t, "paths") {
			host, method, prefix := rapid.SampledFrom(hosts).Draw(t, "host"), rapid.SampledFrom([]string{"any", "GET", "POST"}).Draw(t, "method"), url()
			if prefix == "" || rapid.Bool().Draw(t, "slash") {
				prefix += "/"
			}
			if key := fmt.Sprint(strings.ToLower(portSuffix.ReplaceAllString(host, "")), method, prefix); seen[key] {
				continue
			} else {
				seen[key] = true
			}
			row := fmt.Sprintf(`{"name":"p%d","method":%q,"prefix":%q,"service":"a"`, i, method, prefix)
			if host != "" {
				row += fmt.Sprintf(`,"host":%q`, host)
			}
			rows = append(rows, row+"}")
		}
		doc := `{"services":[{"name":"a"}],"paths":[` + strings.Join(rows, ",") + `]}`
		r, problems, err := Compile(1, []byte(doc))
		if r == nil {
			t.Fatalf("%s: %v %v", doc, problems, err)
		}
		for range 20 {
			checkMatch(t, r, rapid.SampledFrom(hosts).Draw(t, "to"), rapid.SampledFrom([]string{"GET", "POST", "PUT", "any", ""}).Draw(t, "by"),
				url()+rapid.SampledFrom([]string{"", "/", "//", "/x", "//a", "x"}).Draw(t, "end"))
		}
	})
}

func FuzzMatch(f *testing.F) {
	doc := `{"services":[{"name":"a"}],"paths":[{"name":"1","prefix":"/","service":"a"},{"name":"2","prefix":"/a/","service":"a"},{"name":"3","prefix":"/a/b","method":"GET","service":"a"},
{"name":"4","host":"h","prefix":"/a","service":"a"},{"name":"8","host":"h","prefix":"/a/","service":"a"},{"name":"5","host":"h","prefix":"/a/b/c","method":"POST","service":"a"},{"name":"6","host":"[::1]","prefix":"/","service":"a"},{"name":"7","host":"H.x:1","prefix":"/a/b","service":"a"}]}`
	r, problems, err := Compile(1, []byte(doc))
	if r == nil {
		f.Fatal(problems, err)
	}
	for _, host := range []string{"", "h", "H:80", "[::1]:8000", "h.X", "h:", ":", "]", "::"} {
		for _, url := range []string{"", "/", "//", "/a", "/a/", "/a//b", "/a/b", "/a/b/", "/a/bc", "/%61/b/", "/a/b/c/d", "/ab", "a", "*", "/a/b?"} {
			f.Add(host, "GET", url)
		}
	}
	f.Fuzz(func(t *testing.T, host, method, url string) { checkMatch(t, r, host, method, url) })
}
