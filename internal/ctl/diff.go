package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// diff returns the lines that differ between two texts, by their longest common
// subsequence of lines.
func diff(a, b []string) []string {
	// Equal lines at both ends are skipped: the table below has quadratic size, which
	// stays small for a small change of a large document.
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	var out []string
	for i, j := 0, 0; i < len(a) || j < len(b); {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i, j = i+1, j+1
		case j >= len(b) || (i < len(a) && common[i+1][j] >= common[i][j+1]):
			out = append(out, "- "+a[i])
			i++
		default:
			out = append(out, "+ "+b[j])
			j++
		}
	}
	return out
}

// diff prints the lines that differ between the active configuration and a document.
func (m *command) diff(doc []byte) int {
	return m.call(http.MethodGet, "/puffin/config", nil, func(raw []byte) error {
		var got struct {
			Version  uint64 `json:"version"`
			Document any    `json:"document"`
		}
		if err := json.Unmarshal(raw, &got); err != nil {
			return err
		}
		var document any
		if err := json.Unmarshal(doc, &document); err != nil {
			return err
		}
		fmt.Fprintf(m.stderr, "against version %d\n", got.Version)
		current, proposed := indentedLines(got.Document), indentedLines(document)
		for _, l := range diff(current, proposed) {
			fmt.Fprintln(m.stdout, l)
		}
		return nil
	})
}

func indentedLines(v any) []string {
	b, _ := json.MarshalIndent(v, "", "  ")
	return strings.Split(string(b), "\n")
}
