package ctl

import (
	"fmt"
	"strings"

	"puffincrank/internal/rules"
)

// maxNotedPrefixes is how many paths of a document are named as ending with a slash.
const maxNotedPrefixes = 5

// notePrefixes names the paths of a document whose prefix ends with a slash and whose URL path
// without that slash matches nothing that the document has for it.
func (m *command) notePrefixes(doc []byte) {
	compiled, _, err := rules.Compile(1, doc)
	if err != nil || compiled == nil {
		return
	}
	var noted []string
	for _, route := range compiled.Routes {
		edge, hasSlash := strings.CutSuffix(route.Prefix, "/")
		if hasSlash && edge != "" && compiled.Match(route.Host, route.Method, edge) == nil {
			noted = append(noted, fmt.Sprintf("%s (%s)", route.Name, route.Prefix))
		}
	}
	if len(noted) == 0 {
		return
	}
	more := ""
	if len(noted) > maxNotedPrefixes {
		more = fmt.Sprintf(" and %d more", len(noted)-maxNotedPrefixes)
		noted = noted[:maxNotedPrefixes]
	}
	fmt.Fprintf(m.stderr, "a prefix that ends with a slash doesn't match the URL path without it: %s%s\n", strings.Join(noted, ", "), more)
}
